package wire

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrUnresponsive is returned for a call during which nothing was received for its timeout.
var ErrUnresponsive = errors.New("nothing received within the timeout")

// CallResponsive sends a request and waits for the reply while the other end is responsive.
// It returns ErrUnresponsive after the timeout without received bytes. What has arrived but is
// not read counts as received. A timeout that is noticed late starts again, because this
// process did not run, and the other end may not have run either.
func CallResponsive[Req, Resp any](ctx context.Context, p *Peer, timeout time.Duration, method string, req Req) (Resp, error) {
	var resp Resp
	call, err := p.conn.DispatchCall(ctx, method, req)
	if err != nil {
		return resp, fmt.Errorf("call %s at %s: %w", method, p.remote, err)
	}
	for {
		received, startedAt := p.Received(), time.Now()
		hasEnded, err := waitAtMost(ctx, timeout, func(ctx context.Context) error { return call.Wait(ctx, &resp) })
		if !hasEnded {
			isLate := time.Since(startedAt) > timeout*3/2
			if isLate || p.Received() != received || p.HasBacklog() {
				continue
			}
			err = ErrUnresponsive
		}
		if err != nil {
			err = fmt.Errorf("call %s at %s: %w", method, p.remote, err)
		}
		return resp, err
	}
}

// waitAtMost waits with a context that ends after the timeout. It reports whether the wait
// ended before that.
func waitAtMost(ctx context.Context, timeout time.Duration, wait func(context.Context) error) (bool, error) {
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := wait(waitCtx)
	hasEnded := err == nil || ctx.Err() != nil || waitCtx.Err() == nil
	return hasEnded, err
}
