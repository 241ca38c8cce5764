package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// cutCause says why a response was not sent to its end.
type cutCause string

const (
	// cutLink means that the link could not send it in time. Nothing of it was sent.
	cutLink cutCause = "link"
	// cutStop means that this proxy stopped.
	cutStop cutCause = "stop"
	// cutDeadline means that the call ended first.
	cutDeadline cutCause = "deadline"
	// cutReceiver means that the caller, or at the exit side the entry proxy, left or did not
	// take it.
	cutReceiver cutCause = "receiver"
	// cutSource means that the target, or at the entry side the exit proxy, did not send it to
	// its end.
	cutSource cutCause = "source"
)

var responsesCutBy = newCutCounters()

func newCutCounters() map[callSide]map[cutCause]*metrics.Counter {
	counters := make(map[callSide]map[cutCause]*metrics.Counter)
	for side, name := range map[callSide]string{entrySide: "entry", exitSide: "exit"} {
		counters[side] = make(map[cutCause]*metrics.Counter)
		for _, cause := range []cutCause{cutLink, cutStop, cutDeadline, cutReceiver, cutSource} {
			counters[side][cause] = metrics.NewCounter(fmt.Sprintf("hornbeamwell_responses_cut_total{side=%q,cause=%q}", name, string(cause)))
		}
	}
	return counters
}

// cutCauseOf returns the cause of an error of waitForLink or copyTo. The stop is nil where the
// proxy does not stop.
func cutCauseOf(ctx context.Context, now time.Time, stop *route.Stop, err error) cutCause {
	switch {
	case errors.Is(err, errLinkBusy):
		return cutLink
	case isAbandoned(ctx), errors.Is(err, errStopEnds), stop != nil && !now.Before(stop.EndAt()):
		return cutStop
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cutDeadline
	case ctx.Err() != nil, errors.Is(err, errCallerWrite):
		return cutReceiver
	default:
		return cutSource
	}
}

// countCut counts a response that was not sent to its end and returns the cause.
func (p *Proxy) countCut(ctx context.Context, side callSide, err error) cutCause {
	cause := cutCauseOf(ctx, p.options.Now(), p.stopping.schedule.Load(), err)
	responsesCutBy[side][cause].Inc()
	return cause
}
