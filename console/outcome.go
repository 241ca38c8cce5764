package console

import (
	"fmt"
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// outcome is what a failed attempt proves about the command.
type outcome int

const (
	// outcomeFinal means that the instance answered the command.
	outcomeFinal outcome = iota
	// outcomeNotRun means that the command did not run; another instance may
	// take it.
	outcomeNotRun
	// outcomeUnknown means that the command may have run.
	outcomeUnknown
)

// classify returns what the error of an attempt proves. An error that did not
// come from the instance proves that the command did not run only where no
// connection was opened.
func classify(err error) outcome {
	if !connect.IsWireError(err) {
		if isDialError(err) {
			return outcomeNotRun
		}
		return outcomeUnknown
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeResourceExhausted:
		return outcomeNotRun
	case connect.CodeUnknown, connect.CodeCanceled, connect.CodeDeadlineExceeded:
		return outcomeUnknown
	default:
		return outcomeFinal
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// toRootError maps the final answer of an instance to an error of the root
// package.
func toRootError(err error) error {
	var answer *connect.Error
	if !errors.As(err, &answer) {
		return err
	}
	switch answer.Code() {
	case connect.CodeAborted:
		return conflictError(answer)
	case connect.CodeInvalidArgument:
		return invalidError(answer)
	case connect.CodeNotFound:
		return fmt.Errorf("%s: %w", answer.Message(), hornbeamwell.ErrNotFound)
	default:
		return answer
	}
}

func conflictError(answer *connect.Error) error {
	if detail, found := findDetail[*schema.ConflictDetail](answer); found {
		return &hornbeamwell.ConflictError{
			Expected: hornbeamwell.ConfigVersion(detail.GetExpectedVersion()),
			Current:  hornbeamwell.ConfigVersion(detail.GetCurrentVersion()),
		}
	}
	return answer
}

func invalidError(answer *connect.Error) error {
	detail, found := findDetail[*schema.InvalidDetail](answer)
	if !found {
		return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: "request", Problem: answer.Message()}}}
	}
	invalid := &hornbeamwell.InvalidError{}
	for _, f := range detail.GetFaults() {
		invalid.Faults = append(invalid.Faults, hornbeamwell.Fault{Field: f.GetField(), Problem: f.GetProblem()})
	}
	return invalid
}

// findDetail returns the first detail of the type.
func findDetail[T any](answer *connect.Error) (T, bool) {
	for _, detail := range answer.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if found, ok := value.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}
