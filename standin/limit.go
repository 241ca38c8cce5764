package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Headers of responses by which a target states something about itself.
const (
	// HeaderRateLimit is the number of calls per second that the target takes.
	HeaderRateLimit = "Hornbeamwell-Rate-Limit"
	// HeaderLeaving is set by a target that is about to stop.
	HeaderLeaving = "Hornbeamwell-Leaving"
)

const (
	// RateNotice is the time after its first statement from which on a rate limit
	// holds.
	RateNotice = 3 * time.Second
	// RateWindow is the time over which the calls to a target with a rate limit are
	// counted. In each such window it may get rateTolerance times its limit and
	// rateSlack calls more.
	RateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
)

// rateStatement is the rate limit that a target states, with the calls since.
type rateStatement struct {
	mu    sync.Mutex
	limit hornbeamwell.RateLimit
	// since is when the target first stated the limit, zero before.
	since    time.Time
	arrivals []time.Time
}

// StateRateLimit makes the target state in its responses that it takes so many calls per
// second.
func (t *Target) StateRateLimit(perSecond float64) {
	t.rate.mu.Lock()
	defer t.rate.mu.Unlock()
	t.rate.limit = hornbeamwell.RateLimit{IsLimited: true, PerSecond: perSecond}
	t.rate.since, t.rate.arrivals = time.Time{}, nil
}

// LiftRateLimit ends the statement. It returns the highest number of calls within a
// RateWindow that began RateNotice or more after the first statement, and the number
// that was allowed.
func (t *Target) LiftRateLimit() (calls, allowed int) {
	t.rate.mu.Lock()
	defer t.rate.mu.Unlock()
	allowed = int(rateTolerance*t.rate.limit.PerSecond*RateWindow.Seconds()) + rateSlack
	end := 0
	for begin, first := range t.rate.arrivals {
		for end < len(t.rate.arrivals) && t.rate.arrivals[end].Sub(first) < RateWindow {
			end++
		}
		if first.Sub(t.rate.since) >= RateNotice {
			calls = max(calls, end-begin)
		}
	}
	t.rate.limit = hornbeamwell.RateLimit{}
	return calls, allowed
}

// record counts a call while a limit is stated.
func (r *rateStatement) record(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit.IsLimited && !r.since.IsZero() {
		r.arrivals = append(r.arrivals, now)
	}
}

// setHeader states the limit in a response.
func (r *rateStatement) setHeader(now time.Time, h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limit.IsLimited {
		return
	}
	if r.since.IsZero() {
		r.since = now
	}
	h.Set(HeaderRateLimit, r.limit.String())
}
