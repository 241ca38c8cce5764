package hornbeamwell

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// The sentinel errors of operator commands.
var (
	// ErrNotRun means that the command provably did not run and will not.
	ErrNotRun = errors.New("the command did not run")
	// ErrUnknownOutcome means that the command may have run. A resend with
	// the same request id gets the outcome.
	ErrUnknownOutcome = errors.New("the outcome is unknown; resend with the same request_id")
	// ErrNotFound means that what the command names does not exist.
	ErrNotFound = errors.New("not found")
)

// NotLeaderError is the answer of a control instance that does not lead. The
// command did not run.
type NotLeaderError struct {
	// Leader is the id of the leader, empty when none is known.
	Leader string
}

// Error describes the error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control instance does not lead and knows no leader; try again"
	}
	return fmt.Sprintf("this control instance does not lead; ask %s", e.Leader)
}

// Is reports that a NotLeaderError is an ErrNotRun.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotRun }

// ConflictError is the answer to a command whose expected version is not the
// current one. The command did not run.
type ConflictError struct {
	Expected, Current ConfigVersion
}

// Error describes the error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected version %d, but version %d is current; read it and decide again", e.Expected, e.Current)
}

// Is reports that a ConflictError is an ErrNotRun.
func (e *ConflictError) Is(target error) bool { return target == ErrNotRun }

// Fault is one thing that is wrong with a value that an operator gave.
type Fault struct {
	// Field is the path of the field, such as routes[2].service.
	Field string
	// Problem says what is wrong and what to do.
	Problem string
}

// InvalidError lists everything that is wrong with a command or a settings
// file. The command did not run.
type InvalidError struct {
	// Faults holds at least one fault.
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Field+": "+f.Problem)
	}
	return strings.Join(lines, "\n")
}

// Is reports that an InvalidError is an ErrNotRun.
func (e *InvalidError) Is(target error) bool { return target == ErrNotRun }
