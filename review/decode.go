package review

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// Decode decodes the configuration file with the name. Fields that are not in the schema
// are an error. An error is a *hornbeamwell.InvalidError that names the line, the column
// and the field. It contains no text of the file, since any value may be an API key, also
// one that stands where a field name is expected.
func Decode(name string, data []byte) (*schema.Configuration, error) {
	configuration := &schema.Configuration{}
	err := protojson.Unmarshal(data, configuration)
	if err == nil {
		return configuration, nil
	}
	// The text of err quotes values. Only its position is used.
	found := locate(data, err, configuration.ProtoReflect().Descriptor())
	line, column := lineColumn(data, found.offset)
	field := found.path
	if field == "" {
		field = name
	}
	return nil, &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{
		{Field: field, Problem: fmt.Sprintf("%s (line %d, column %d of %s)", found.problem, line, column, name)},
	}}
}

// decodeFault is the first fault of a file.
type decodeFault struct {
	offset int
	// path is empty for the whole file.
	path, problem string
}

// errorPosition matches the position at the start of an error of protojson.
var errorPosition = regexp.MustCompile(`\(line (\d+):(\d+)\)`)

// locate returns the fault at which protojson failed with the error.
func locate(data []byte, err error, root protoreflect.MessageDescriptor) decodeFault {
	var document any
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(data, &document), &syntax) {
		offset := max(int(syntax.Offset)-1, 0)
		if syntax.Error() == "unexpected end of JSON input" {
			offset = len(data)
		}
		s := newScanner(data, offset)
		s.value(place{message: root, expected: "an object"})
		return decodeFault{offset: offset, path: s.fault.path, problem: "is not JSON"}
	}
	position := errorPosition.FindStringSubmatch(err.Error())
	if position == nil {
		return decodeFault{problem: "is not a configuration"}
	}
	offset := offsetOf(data, position[1], position[2])
	s := newScanner(data, offset)
	s.value(place{message: root, expected: "an object"})
	s.fault.offset = offset
	return s.fault
}

// offsetOf returns the offset of a line and column, which count from 1. Columns count
// characters.
func offsetOf(data []byte, lineText, columnText string) int {
	line, _ := strconv.Atoi(lineText)
	column, _ := strconv.Atoi(columnText)
	offset := 0
	for ; line > 1; line-- {
		end := bytes.IndexByte(data[offset:], '\n')
		if end < 0 {
			return len(data)
		}
		offset += end + 1
	}
	for ; column > 1 && offset < len(data); column-- {
		_, size := utf8.DecodeRune(data[offset:])
		offset += size
	}
	return offset
}

// lineColumn is the inverse of offsetOf.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return 1 + bytes.Count(before, []byte("\n")), 1 + utf8.RuneCount(before[lineStart:])
}

// scanner finds the field that an offset of a JSON document belongs to.
type scanner struct {
	decoder *json.Decoder
	offset  int64
	// fault is set once the token at the offset was read.
	fault decodeFault
	// places receives the offset of the value of each field in data, unless it is nil.
	places map[string]int64
	data   []byte
}

func newScanner(data []byte, offset int) *scanner {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return &scanner{decoder: decoder, offset: int64(offset), fault: decodeFault{problem: "is not a configuration"}}
}

// place is a value of the document.
type place struct {
	// path contains only names of the schema.
	path string
	// expected describes the value.
	expected string
	// message describes the fields of an object, nil if there are none to describe.
	message protoreflect.MessageDescriptor
	// element is the place of each element of a list, nil if the value is no list.
	element *place
}

// token reads a token. It reports false and sets the fault if the token is at the offset
// or can't be read.
func (s *scanner) token(path, problem string) (json.Token, bool) {
	token, err := s.decoder.Token()
	if err != nil || s.decoder.InputOffset() > s.offset {
		s.fault.path, s.fault.problem = path, problem
		return token, false
	}
	return token, true
}

// value reads a value. It reports whether the offset is behind it.
func (s *scanner) value(p place) bool {
	s.record(p.path)
	token, isBefore := s.token(p.path, "is not "+p.expected)
	if !isBefore {
		return false
	}
	switch token {
	case json.Delim('{'):
		return s.object(p)
	case json.Delim('['):
		return s.list(p)
	}
	return true
}

func (s *scanner) object(p place) bool {
	seen := map[protoreflect.Name]bool{}
	for s.decoder.More() {
		token, isBefore := s.token(p.path, "has an unknown field")
		name, _ := token.(string)
		field := fieldByName(p.message, name)
		child := place{path: p.path, expected: "a known value"}
		if field != nil {
			child = fieldPlace(p.path, field)
		}
		if !isBefore {
			if field != nil && seen[field.Name()] {
				s.fault.path, s.fault.problem = child.path, "is given twice"
			}
			return false
		}
		if field != nil {
			seen[field.Name()] = true
		}
		if !s.value(child) {
			return false
		}
	}
	_, isBefore := s.token(p.path, "is not "+p.expected)
	return isBefore
}

func (s *scanner) list(p place) bool {
	for i := 0; s.decoder.More(); i++ {
		element := place{path: p.path, expected: "a known value"}
		if p.element != nil {
			element = *p.element
			element.path = fmt.Sprintf("%s[%d]", p.path, i)
		}
		if !s.value(element) {
			return false
		}
	}
	_, isBefore := s.token(p.path, "is not "+p.expected)
	return isBefore
}

// fieldByName returns the field with a name in either form that protojson accepts, nil
// if there is none.
func fieldByName(message protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if message == nil {
		return nil
	}
	if field := message.Fields().ByJSONName(name); field != nil {
		return field
	}
	return message.Fields().ByTextName(name)
}

func fieldPlace(parent string, field protoreflect.FieldDescriptor) place {
	path := string(field.Name())
	if parent != "" {
		path = parent + "." + path
	}
	value := place{path: path, expected: expectedValue(field)}
	if field.Kind() == protoreflect.MessageKind {
		value.message = field.Message()
	}
	if field.IsList() {
		return place{path: path, expected: "a list", element: &value}
	}
	return value
}

// expectedValue describes the values of a field, or the elements of a list.
func expectedValue(field protoreflect.FieldDescriptor) string {
	switch field.Kind() {
	case protoreflect.MessageKind:
		switch field.Message().FullName() {
		case "google.protobuf.Duration":
			return `a duration in seconds, such as "2.5s"`
		case "google.protobuf.Timestamp":
			return `a time, such as "2026-01-02T15:04:05Z"`
		default:
			return "an object"
		}
	case protoreflect.BytesKind:
		return "base64"
	case protoreflect.StringKind:
		return "a string in UTF-8"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.DoubleKind, protoreflect.FloatKind:
		return "a number"
	default:
		return "a whole number in the range of the field"
	}
}
