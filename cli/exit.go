package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/console"
)

// The exit codes of the program.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnknown     = 5
	ExitUnavailable = 6
	ExitNotYet      = 7
	ExitTakenBack   = 8
)

const exitCodesHelp = `Exit codes:
  0  done
  1  failed; the message says what
  2  wrong usage or invalid input; nothing was changed
  3  another command won: the expected version is not current; nothing was changed
  4  what the command names does not exist; nothing was changed
  5  the outcome is unknown; send the command again with the same --request-id
  6  no control instance took the command; nothing was changed
  7  --wait ended before what it waited for
  8  the move was taken back`

// UsageError means that the command line is wrong.
type UsageError struct {
	// Problem says what is wrong and what to do.
	Problem string
}

// Error describes the error.
func (e *UsageError) Error() string { return e.Problem }

// NotYetError means that a wait ended before what it waited for.
type NotYetError struct {
	// Pending says what has not come.
	Pending string
}

// Error describes the error.
func (e *NotYetError) Error() string { return e.Pending }

// TakenBackError means that a move was taken back.
type TakenBackError struct {
	ID, Reason string
}

// Error describes the error.
func (e *TakenBackError) Error() string {
	return fmt.Sprintf("move %s was taken back: %s", e.ID, e.Reason)
}

// failure names an exit code in JSON output.
type failure struct {
	code int
	kind string
}

func failureOf(err error) failure {
	var usage *UsageError
	var invalid *hornbeamwell.InvalidError
	var conflict *hornbeamwell.ConflictError
	var notYet *NotYetError
	var takenBack *TakenBackError
	switch {
	case errors.As(err, &usage), errors.As(err, &invalid):
		return failure{ExitInvalid, "invalid"}
	case errors.As(err, &conflict):
		return failure{ExitConflict, "conflict"}
	case errors.As(err, &notYet):
		return failure{ExitNotYet, "not_yet"}
	case errors.As(err, &takenBack):
		return failure{ExitTakenBack, "taken_back"}
	case errors.Is(err, hornbeamwell.ErrNotFound):
		return failure{ExitNotFound, "not_found"}
	case errors.Is(err, hornbeamwell.ErrUnknownOutcome):
		return failure{ExitUnknown, "unknown"}
	case errors.Is(err, console.ErrUnavailable):
		return failure{ExitUnavailable, "unavailable"}
	default:
		return failure{ExitFailure, "failed"}
	}
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error    string        `json:"error"`
	Kind     string        `json:"kind"`
	ExitCode int           `json:"exit_code"`
	Faults   []faultOutput `json:"faults,omitempty"`
}

type faultOutput struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// reportError prints the error and returns the exit code.
func reportError(stderr io.Writer, format string, err error) int {
	f := failureOf(err)
	if format != formatJSON {
		_, _ = fmt.Fprintf(stderr, "hornbeamwell: %v\n", err)
		return f.code
	}
	output := errorOutput{Error: err.Error(), Kind: f.kind, ExitCode: f.code}
	var invalid *hornbeamwell.InvalidError
	if errors.As(err, &invalid) {
		for _, fault := range invalid.Faults {
			output.Faults = append(output.Faults, faultOutput{Field: fault.Field, Problem: fault.Problem})
		}
	}
	data, marshalErr := json.Marshal(output)
	if marshalErr != nil {
		_, _ = fmt.Fprintf(stderr, "hornbeamwell: %v\n", err)
		return f.code
	}
	_, _ = fmt.Fprintf(stderr, "%s\n", data)
	return f.code
}
