package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/console"
)

// Exit codes of the program.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnknown     = 5
	ExitUnavailable = 6
	ExitWaitTimeout = 7
	ExitTakenBack   = 8
)

// ExitReviewFindings is the exit code of a review with findings. Every failure of a
// review, also wrong usage, has ExitFailure.
const ExitReviewFindings = 2

const exitCodesHelp = `Exit codes:
  0  done
  1  failed; see the error message
  2  wrong usage or invalid input; nothing was changed
  3  conflict: the expected version is not the current one; nothing was changed
  4  the named object does not exist; nothing was changed
  5  the outcome is unknown; send the command again, with the same --request-id if it has one
  6  no control instance accepted the command; nothing was changed
  7  --wait timed out
  8  the move was taken back
review has codes of its own: 0 nothing found, 1 failed, wrong usage or invalid input, 2 findings`

// UsageError means that the command line is invalid.
type UsageError struct {
	// Problem describes what is wrong and how to correct it.
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// WaitTimeoutError means that a command with --wait timed out.
type WaitTimeoutError struct {
	// Pending describes what the command still waits for.
	Pending string
}

// Error implements error.
func (e *WaitTimeoutError) Error() string { return e.Pending }

// TakenBackError means that a move was taken back.
type TakenBackError struct {
	ID, Reason string
}

// Error implements error.
func (e *TakenBackError) Error() string {
	return fmt.Sprintf("move %s was taken back: %s", e.ID, e.Reason)
}

// ReviewError means that a review failed or has findings. Its exit codes differ from
// those of the other commands: scripts tell a file with findings from one that can't be
// sent.
type ReviewError struct {
	// Problem says what was found.
	Problem string
	// Cause is the reason why the review failed, nil for findings.
	Cause error
	// HasFindings is true if the file is valid and has findings.
	HasFindings bool
}

// Error implements error.
func (e *ReviewError) Error() string { return e.Problem }

// Unwrap returns the cause.
func (e *ReviewError) Unwrap() error { return e.Cause }

func (e *ReviewError) status() exitStatus {
	if e.HasFindings {
		return exitStatus{ExitReviewFindings, "findings"}
	}
	status := exitStatus{ExitFailure, "failed"}
	if e.Cause != nil {
		status.kind = exitStatusFor(e.Cause).kind
	}
	return status
}

// exitStatus is an exit code with its name in JSON output.
type exitStatus struct {
	code int
	kind string
}

func exitStatusFor(err error) exitStatus {
	var usage *UsageError
	var invalid *hornbeamwell.InvalidError
	var conflict *hornbeamwell.ConflictError
	var waitTimeout *WaitTimeoutError
	var takenBack *TakenBackError
	var review *ReviewError
	switch {
	case errors.As(err, &review):
		return review.status()
	case errors.As(err, &usage), errors.As(err, &invalid):
		return exitStatus{ExitInvalid, "invalid"}
	case errors.As(err, &conflict):
		return exitStatus{ExitConflict, "conflict"}
	case errors.As(err, &waitTimeout):
		return exitStatus{ExitWaitTimeout, "not_yet"}
	case errors.As(err, &takenBack):
		return exitStatus{ExitTakenBack, "taken_back"}
	case errors.Is(err, hornbeamwell.ErrNotFound):
		return exitStatus{ExitNotFound, "not_found"}
	case errors.Is(err, hornbeamwell.ErrUnknownOutcome):
		return exitStatus{ExitUnknown, "unknown"}
	case errors.Is(err, console.ErrUnavailable):
		return exitStatus{ExitUnavailable, "unavailable"}
	default:
		return exitStatus{ExitFailure, "failed"}
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

// faultOutputs returns the faults of an InvalidError, nil for other errors.
func faultOutputs(err error) []faultOutput {
	var invalid *hornbeamwell.InvalidError
	if !errors.As(err, &invalid) {
		return nil
	}
	faults := make([]faultOutput, 0, len(invalid.Faults))
	for _, fault := range invalid.Faults {
		faults = append(faults, faultOutput{Field: fault.Field, Problem: fault.Problem})
	}
	return faults
}

// reportError prints an error in the output format and returns its exit code.
func reportError(stderr io.Writer, format string, err error) int {
	status := exitStatusFor(err)
	if format != formatJSON {
		_, _ = fmt.Fprintf(stderr, "hornbeamwell: %v\n", err)
		return status.code
	}
	output := errorOutput{Error: err.Error(), Kind: status.kind, ExitCode: status.code}
	output.Faults = faultOutputs(err)
	data, marshalErr := json.Marshal(output)
	if marshalErr != nil {
		_, _ = fmt.Fprintf(stderr, "hornbeamwell: %v\n", err)
		return status.code
	}
	_, _ = fmt.Fprintf(stderr, "%s\n", data)
	return status.code
}
