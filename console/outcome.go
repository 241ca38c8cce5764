package console

import (
	"fmt"
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// outcome is what the error of an attempt proves about the command.
type outcome int

const (
	// outcomeFinal means that the response is final; no other instance is
	// tried.
	outcomeFinal outcome = iota
	// outcomeNotRun means that the command did not run; another instance may
	// accept it.
	outcomeNotRun
	// outcomeUnknown means that the command may have run.
	outcomeUnknown
)

// classify returns the outcome of an attempt that failed with err. An error that
// was not sent by the instance proves that the command did not run only if no
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

// toRootError converts the final error of an instance to an error of package
// hornbeamwell. It returns an error that has no counterpart there unchanged.
func toRootError(err error) error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return err
	}
	switch connectErr.Code() {
	case connect.CodeAborted:
		return conflictError(connectErr)
	case connect.CodeInvalidArgument:
		return invalidError(connectErr)
	case connect.CodeNotFound:
		return fmt.Errorf("%s: %w", connectErr.Message(), hornbeamwell.ErrNotFound)
	default:
		return connectErr
	}
}

func conflictError(connectErr *connect.Error) error {
	if detail, found := findDetail[*schema.ConflictDetail](connectErr); found {
		return &hornbeamwell.ConflictError{
			Expected: hornbeamwell.ConfigVersion(detail.GetExpectedVersion()),
			Current:  hornbeamwell.ConfigVersion(detail.GetCurrentVersion()),
		}
	}
	return connectErr
}

func invalidError(connectErr *connect.Error) error {
	detail, found := findDetail[*schema.InvalidDetail](connectErr)
	if !found {
		return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: "request", Problem: connectErr.Message()}}}
	}
	invalid := &hornbeamwell.InvalidError{}
	for _, f := range detail.GetFaults() {
		invalid.Faults = append(invalid.Faults, hornbeamwell.Fault{Field: f.GetField(), Problem: f.GetProblem()})
	}
	return invalid
}

// findDetail returns the first error detail of type T.
func findDetail[T any](connectErr *connect.Error) (T, bool) {
	for _, detail := range connectErr.Details() {
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
