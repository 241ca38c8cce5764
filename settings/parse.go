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

	"github.com/hornbeamwell/hornbeamwell"
)

// DefaultHold is the hold time of moves where the settings give none.
const DefaultHold = 30 * time.Second

// MaxFileBytes bounds a settings file.
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
			{Field: path, Problem: fmt.Sprintf("has over %d bytes; give the settings of one process", MaxFileBytes)},
		}}
	}
	return Parse(data)
}

// Parse reads settings from JSON and checks them. Every fault is returned at
// once in an InvalidError.
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
		return Settings{}, fmt.Errorf("decode settings: %w", err)
	}
	s, mapped := file.toSettings()
	faults = addFaults(faults, mapped)
	faults = addFaults(faults, checkFaults(s))
	if len(faults) > 0 {
		return Settings{}, &hornbeamwell.InvalidError{Faults: faults}
	}
	return s, nil
}

// decodeDocument reads one JSON value for the schema.
func decodeDocument(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return nil, syntaxFault(data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{
			{Field: lineOf(data, decoder.InputOffset()), Problem: "something follows the settings; give one JSON object"},
		}}
	}
	return document, nil
}

func syntaxFault(data []byte, err error) error {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{
		{Field: lineOf(data, offset), Problem: fmt.Sprintf("is not JSON: %v", err)},
	}}
}

// lineOf names the line that holds the byte at the offset.
func lineOf(data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	return fmt.Sprintf("line %d", 1+bytes.Count(before, []byte("\n")))
}

// addFaults appends the faults of fields that have no fault yet and do not lie
// within a field that has one.
func addFaults(faults, more []hornbeamwell.Fault) []hornbeamwell.Fault {
	known := len(faults)
	for _, f := range more {
		if !coversField(faults[:known], f.Field) {
			faults = append(faults, f)
		}
	}
	return faults
}

func coversField(faults []hornbeamwell.Fault, field string) bool {
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
