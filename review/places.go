package review

import (
	"math"
	"strings"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// Places are the positions of the fields of a file that Decode accepts.
type Places struct {
	data []byte
	// offsets holds the offset of the value of each field by its path.
	offsets map[string]int64
}

// FindPlaces returns the places of the fields in a file.
func FindPlaces(data []byte) Places {
	s := newScanner(data, math.MaxInt)
	s.places = map[string]int64{}
	s.data = data
	s.value(place{message: (&schema.Configuration{}).ProtoReflect().Descriptor()})
	return Places{data: data, offsets: s.places}
}

// Find returns the line and the column of a field, or of the innermost field around it
// that the file contains. It returns 0 if there is none.
func (p Places) Find(path string) (line, column int) {
	for path != "" {
		if offset, found := p.offsets[path]; found {
			return lineColumn(p.data, int(offset))
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0, 0
}

// record stores the offset of the value that follows.
func (s *scanner) record(path string) {
	if _, isKnown := s.places[path]; isKnown || s.places == nil {
		return
	}
	offset := s.decoder.InputOffset()
	for int(offset) < len(s.data) && strings.IndexByte(" \t\r\n,:", s.data[offset]) >= 0 {
		offset++
	}
	s.places[path] = offset
}
