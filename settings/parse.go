package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/hornbeamwell/hornbeamwell"
)

// DefaultHold is the hold time of moves if the settings give none.
const DefaultHold = 30 * time.Second

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Load reads, parses and checks a settings file.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, fmt.Errorf("open settings: %w", err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	if len(data) > MaxFileBytes {
		return Settings{}, &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{
			{Field: path, Problem: fmt.Sprintf("is larger than %d bytes; give the settings of one process", MaxFileBytes)},
		}}
	}
	return Parse(data)
}

// Parse parses settings from JSON and checks them. It returns all faults at once in
// an InvalidError. The faults of values that can't be decoded do not contain them, since
// a file that was mistaken for settings may hold API keys.
func Parse(data []byte) (Settings, error) {
	document, err := decodeDocument(data)
	if err != nil {
		return Settings{}, err
	}
	faults, err := schemaFaults(document)
	if err != nil {
		return Settings{}, err
	}
	var file settingsFile
	if err := json.Unmarshal(data, &file); err != nil && len(faults) == 0 {
		return Settings{}, typeError(err)
	}
	s, mappingFaults := file.toSettings()
	faults = mergeFaults(faults, mappingFaults)
	faults = mergeFaults(faults, checkFaults(s))
	if len(faults) > 0 {
		return Settings{}, &hornbeamwell.InvalidError{Faults: faults}
	}
	return s, nil
}

// decodeDocument decodes one JSON value for validation against the schema.
func decodeDocument(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return nil, syntaxError(data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{
			{Field: placeOf(data, decoder.InputOffset()), Problem: "has data after the settings; give one JSON object"},
		}}
	}
	return document, nil
}

func syntaxError(data []byte, err error) error {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		// Offset counts the byte at which the error was found.
		offset = max(syntax.Offset-1, 0)
	}
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{
		{Field: placeOf(data, offset), Problem: "is not JSON"},
	}}
}

// typeError returns the fault of a value that does not fit the type of its field, such
// as a number out of range. The text of err contains the value.
func typeError(err error) error {
	fault := hornbeamwell.Fault{Field: "settings", Problem: "can't be decoded"}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		fault = hornbeamwell.Fault{Field: mismatch.Field, Problem: fmt.Sprintf("does not fit the type %s", mismatch.Type)}
	}
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{fault}}
}

// placeOf returns the line and the column of the byte at the offset, such as "line 3,
// column 11". Columns count characters.
func placeOf(data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return fmt.Sprintf("line %d, column %d", 1+bytes.Count(before, []byte("\n")), 1+utf8.RuneCount(before[lineStart:]))
}

// mergeFaults appends the faults of fields that have no fault yet and are not within
// a field that has one.
func mergeFaults(faults, more []hornbeamwell.Fault) []hornbeamwell.Fault {
	known := len(faults)
	for _, f := range more {
		if !isCovered(faults[:known], f.Field) {
			faults = append(faults, f)
		}
	}
	return faults
}

func isCovered(faults []hornbeamwell.Fault, field string) bool {
	for _, f := range faults {
		if isWithin(field, f.Field) {
			return true
		}
	}
	return false
}

func isWithin(field, outer string) bool {
	rest, found := strings.CutPrefix(field, outer)
	return found && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
