package cli

import (
	"context"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/console"
)

// call sends one request to the control instances and returns the reply. If the
// request has a request id and its outcome is unknown, the error contains the id.
func call[Req, Resp any](ctx context.Context, cmd *urfave.Command, method console.Method[Req, Resp], req *Req) (*Resp, error) {
	ctx, cancel, client, err := connectOperator(ctx, cmd)
	if err != nil {
		return nil, err
	}
	defer cancel()
	resp, err := console.Call(ctx, client, method, req)
	if err == nil {
		return resp, nil
	}
	if identified, ok := any(req).(interface{ GetRequestId() string }); ok {
		return nil, withRequestID(err, identified.GetRequestId())
	}
	return nil, err
}
