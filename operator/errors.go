package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// toConnectError converts an error to a Connect error with the code and the
// detail that the schema documents.
func toConnectError(err error) error {
	if err == nil {
		return nil
	}
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		return err
	}
	var conflict *hornbeamwell.ConflictError
	if errors.As(err, &conflict) {
		return withDetail(connect.CodeAborted, err, &schema.ConflictDetail{
			ExpectedVersion: uint64(conflict.Expected),
			CurrentVersion:  uint64(conflict.Current),
		})
	}
	var invalid *hornbeamwell.InvalidError
	if errors.As(err, &invalid) {
		detail := &schema.InvalidDetail{}
		for _, f := range invalid.Faults {
			detail.Faults = append(detail.Faults, &schema.Fault{Field: f.Field, Problem: f.Problem})
		}
		return withDetail(connect.CodeInvalidArgument, err, detail)
	}
	return connect.NewError(codeOf(err), err)
}

func codeOf(err error) connect.Code {
	switch {
	case errors.Is(err, hornbeamwell.ErrNotFound):
		return connect.CodeNotFound
	case errors.Is(err, hornbeamwell.ErrNotRun):
		return connect.CodeUnavailable
	case errors.Is(err, hornbeamwell.ErrUnknownOutcome),
		errors.Is(err, context.DeadlineExceeded),
		errors.Is(err, context.Canceled):
		return connect.CodeUnknown
	default:
		return connect.CodeInternal
	}
}

func withDetail(code connect.Code, err error, message proto.Message) error {
	connectErr := connect.NewError(code, err)
	detail, detailErr := connect.NewErrorDetail(message)
	if detailErr == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}
