package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// errLinkBusy means that a response can't be sent to its end in time, since it would have to
// wait too long for the link.
var errLinkBusy = errors.New("link is busy beyond the deadline")

// waitForLink reserves time on the link and waits for it, unless the response is complete.
// Nothing of the response has been written then: a proxy goes on to send interim responses,
// and can still refuse the call. An error wraps errCallerWrite. It also wraps errLinkBusy or
// errStopEnds, without a wait, if the deadline or the end of a planned stop comes before the
// end of the response, and means that the context ended first or that the wait was abandoned
// otherwise.
func (p *Proxy) waitForLink(ctx context.Context, side callSide, routeName string, t *targetResponse) error {
	if t.complete || t.buffered == 0 {
		return nil
	}
	began := p.options.Now()
	t.reserve(p.link, routeName, began)
	lastAt := t.reservation.SendTime(max(t.ContentLength-chunkBytes, 0))
	schedule := p.stopping.schedule.Load()
	switch {
	case outlasts(ctx, lastAt.Sub(began)):
		return fmt.Errorf("%w: %w", errCallerWrite, errLinkBusy)
	case schedule != nil && lastAt.After(schedule.EndAt()):
		return fmt.Errorf("%w: wait for link: %w", errCallerWrite, errStopEnds)
	case t.reservation.SendTime(0).Sub(began) <= 0:
		return nil
	}
	// Only the wait has this context: a response that begins at the moment at which the
	// wait is abandoned can still be read.
	ctx, pending := p.beginPending(ctx, began, side, routeName, lastAt)
	defer pending.release()
	if !sleepUntil(ctx, began, t.reservation.SendTime(0)) {
		return fmt.Errorf("%w: wait for link: %w", errCallerWrite, context.Cause(ctx))
	}
	t.linkWait = p.options.Now().Sub(began)
	return nil
}

// reserve reserves time on the link.
func (t *targetResponse) reserve(link *route.Link, routeName string, now time.Time) {
	// A response without a length is probably as long as others of its route.
	mean := link.MeanSize(routeName)
	switch {
	case t.ContentLength >= 0:
		t.reservation = link.Reserve(now, t.ContentLength)
	case mean < route.LongResponse:
		t.reservation = link.ReserveShort(now)
	default:
		t.reservation = link.Reserve(now, mean)
	}
}

// outlasts reports whether the context ends before the wait.
func outlasts(ctx context.Context, wait time.Duration) bool {
	deadline, isBounded := ctx.Deadline()
	return isBounded && wait > 0 && wait > time.Until(deadline)
}

// missedLink returns the refusal of a call that has run and whose response did not get the
// link, given the error of waitForLink.
func missedLink(ctx context.Context, err error) *refusal {
	switch {
	case errors.Is(err, errLinkBusy):
		return unknownOutcome(http.StatusGatewayTimeout, ReasonLinkBusy, defaultRetryAfter)
	case errors.Is(err, errStopEnds):
		return abandonedCall()
	default:
		return lostExchange(ctx, err)
	}
}
