package wire

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// The first byte of a packed part is the encoding of the rest.
const (
	packedPlain   = 0
	packedDeflate = 1
)

// compressThreshold is the size in bytes from which a part is compressed.
const compressThreshold = 400

// maxPartBytes limits the size of a part after decompression.
const maxPartBytes = 256 << 20

// compressors pools writers, because each of them allocates a megabyte of
// tables.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return writer
}}

var (
	errPartEncoding = errors.New("first byte of a packed part is not a known encoding")
	errPartTrailing = errors.New("bytes follow the packed part")
)

// PackPart encodes a part as JSON and compresses it if it is large. A part is
// sent as bytes because JSON that is nested in a JSON message does not keep the
// exact bytes of the items, which their hashes cover.
func PackPart(part *Part) ([]byte, error) {
	data, err := json.Marshal(part)
	if err != nil {
		return nil, fmt.Errorf("encode part: %w", err)
	}
	if len(data) < compressThreshold {
		return append([]byte{packedPlain}, data...), nil
	}
	packed := bytes.NewBuffer([]byte{packedDeflate})
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(packed)
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("compress part: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress part: %w", err)
	}
	return packed.Bytes(), nil
}

// UnpackPart decodes the output of PackPart. It returns nil for empty input.
func UnpackPart(packed []byte) (*Part, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var reader io.Reader = bytes.NewReader(packed[1:])
	switch packed[0] {
	case packedPlain:
	case packedDeflate:
		reader = io.LimitReader(flate.NewReader(reader), maxPartBytes)
	default:
		return nil, errPartEncoding
	}
	var part Part
	decoder := json.NewDecoder(reader)
	if err := decoder.Decode(&part); err != nil {
		return nil, fmt.Errorf("decode part: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errPartTrailing
	}
	return &part, nil
}
