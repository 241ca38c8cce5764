package hornbeamwell

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// The sentinel errors of operator commands.
var (
	// ErrNotRun means that the command provably did not run and will not run.
	ErrNotRun = errors.New("the command did not run")
	// ErrUnknownOutcome means that the command may have run. A resend with the
	// same request id returns the outcome.
	ErrUnknownOutcome = errors.New("the outcome of the command is unknown; resend it with the same request_id")
	// ErrNotFound means that an object named in the command does not exist.
	ErrNotFound = errors.New("not found")
)

// NotLeaderError is returned by a control instance that is not the leader. The
// command did not run.
type NotLeaderError struct {
	// Leader is the id of the leader, empty when none is known.
	Leader string
}

// Error implements the error interface.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control instance is not the leader and knows of no leader; try again"
	}
	return fmt.Sprintf("this control instance is not the leader; send the command to %s", e.Leader)
}

// Is reports whether the target is ErrNotRun.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotRun }

// ConflictError is returned for a command whose expected version is not the
// current one. The command did not run.
type ConflictError struct {
	Expected, Current ConfigVersion
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected version %d, but version %d is current; read the current version before you try again", e.Expected, e.Current)
}

// Is reports whether the target is ErrNotRun.
func (e *ConflictError) Is(target error) bool { return target == ErrNotRun }

// Fault is a validation error in one field of a command, a configuration, a
// settings file or an announcement.
type Fault struct {
	// Field is the path of the field, such as routes[2].service.
	Field string
	// Problem describes what is wrong and how to fix it.
	Problem string
}

// InvalidError lists the validation errors of a command, a configuration, a
// settings file or an announcement. A command with validation errors did not
// run.
type InvalidError struct {
	// Faults holds at least one fault.
	Faults []Fault
}

// Error lists the faults, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Field+": "+f.Problem)
	}
	return strings.Join(lines, "\n")
}

// Is reports whether the target is ErrNotRun.
func (e *InvalidError) Is(target error) bool { return target == ErrNotRun }
