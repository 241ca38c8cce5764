package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// errLinkBusy means that a response can't be sent to its end in time, since it would have to
// wait too long for the link.
var errLinkBusy = errors.New("link is busy beyond the deadline")

// linkPoll is the interval at which a response that waits for the link notices that a
// stop has begun, or that it may be sent earlier.
const linkPoll = 50 * time.Millisecond

// waitForLink reserves time on the link and waits for it, unless the response is complete.
// Nothing of the response has been written then: a proxy goes on to send interim responses,
// and can still refuse the call. An error wraps errCallerWrite. It also wraps errStopEnds or
// errLinkBusy if the end of a planned stop or the deadline comes before the end of the
// response, and means that the context ended first otherwise.
func (t *targetResponse) waitForLink(ctx context.Context, link *route.Link, routeName string, now func() time.Time, end responseEnd) error {
	if t.complete || t.buffered == 0 {
		return nil
	}
	began := now()
	endAt, _ := end()
	t.reserve(link, routeName, began, endAt)
	for at := began; ; at = now() {
		endAt, isStop := end()
		t.reservation.SetEnd(at, endAt)
		sendAt, finish := t.reservation.SendTime(0), t.reservation.Finish()
		if at.After(sendAt) {
			// The process got the processor late.
			finish = at.Add(finish.Sub(sendAt))
		}
		if isStop && finish.After(endAt) {
			return fmt.Errorf("%w: wait for link: %w", errCallerWrite, errStopEnds)
		}
		if lastAt := t.reservation.SendTime(max(t.ContentLength-chunkBytes, 0)); outlasts(ctx, lastAt.Sub(at)) {
			return fmt.Errorf("%w: %w", errCallerWrite, errLinkBusy)
		}
		if !sendAt.After(at) {
			t.linkWait = at.Sub(began)
			return nil
		}
		if poll := at.Add(linkPoll); poll.Before(sendAt) {
			sendAt = poll
		}
		if !sleepUntil(ctx, at, sendAt) {
			return fmt.Errorf("%w: wait for link: %w", errCallerWrite, ctx.Err())
		}
	}
}

// reserve reserves time on the link for a response that has to be sent by the end.
func (t *targetResponse) reserve(link *route.Link, routeName string, now, end time.Time) {
	// A response without a length is probably as long as others of its route.
	mean := link.MeanSize(routeName)
	switch {
	case t.ContentLength >= 0:
		t.reservation = link.ReserveBy(now, t.ContentLength, end)
	case mean < route.LongResponse:
		t.reservation = link.ReserveShort(now)
	default:
		t.reservation = link.ReserveBy(now, mean, end)
	}
}

// outlasts reports whether the context ends before the wait.
func outlasts(ctx context.Context, wait time.Duration) bool {
	deadline, isBounded := ctx.Deadline()
	return isBounded && wait > 0 && wait > time.Until(deadline)
}
