package settings

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"github.com/hornbeamwell/hornbeamwell"
)

//go:embed schema.json
var schemaFile []byte

const schemaName = "settings.schema.json"

// Schema returns the JSON schema of a settings file.
func Schema() []byte { return bytes.Clone(schemaFile) }

var compileSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaFile))
	if err != nil {
		return nil, fmt.Errorf("read the settings schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		return nil, fmt.Errorf("add the settings schema: %w", err)
	}
	schema, err := compiler.Compile(schemaName)
	if err != nil {
		return nil, fmt.Errorf("compile the settings schema: %w", err)
	}
	return schema, nil
})

// schemaFaults returns all violations of the schema.
func schemaFaults(document any) ([]hornbeamwell.Fault, error) {
	schema, err := compileSchema()
	if err != nil {
		return nil, err
	}
	err = schema.Validate(document)
	if err == nil {
		return nil, nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil, fmt.Errorf("validate settings: %w", err)
	}
	faults := leafFaults(nil, invalid)
	slices.SortStableFunc(faults, func(a, b hornbeamwell.Fault) int { return strings.Compare(a.Field, b.Field) })
	return faults, nil
}

// leafFaults appends the faults of the leaves of a validation error's causes.
func leafFaults(faults []hornbeamwell.Fault, e *jsonschema.ValidationError) []hornbeamwell.Fault {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			faults = leafFaults(faults, cause)
		}
		return faults
	}
	field := fieldPath(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			faults = append(faults, hornbeamwell.Fault{Field: joinField(field, name), Problem: "is not a known field; remove it or correct its name"})
		}
	case *kind.Required:
		for _, name := range k.Missing {
			faults = append(faults, hornbeamwell.Fault{Field: joinField(field, name), Problem: "is missing"})
		}
	case *kind.Type:
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf("is a %s; give a %s", k.Got, strings.Join(k.Want, " or "))})
	case *kind.Enum:
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf("is not one of %v", k.Want)})
	case *kind.MinLength:
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: "is empty"})
	case *kind.MinItems:
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf("has %d items; give at least %d", k.Got, k.Want)})
	default:
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: "violates the schema rule " + strings.Join(e.ErrorKind.KeywordPath(), "/")})
	}
	return faults
}

// fieldPath joins the parts of a location to a path such as
// control.members[2].zone.
func fieldPath(location []string) string {
	path := ""
	for _, part := range location {
		if _, err := strconv.Atoi(part); err == nil {
			path += "[" + part + "]"
			continue
		}
		path = joinField(path, part)
	}
	return path
}

func joinField(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
