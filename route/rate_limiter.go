package route

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// RateLimiter holds the rate limit that a target states in its responses. The zero
// value does not limit. It is not safe for concurrent use.
type RateLimiter struct {
	limit hornbeamwell.RateLimit
	// limitedSince is the time at which the target first stated that it has a limit,
	// zero while it has none.
	limitedSince time.Time
}

// Limit returns the current limit.
func (l *RateLimiter) Limit() hornbeamwell.RateLimit { return l.limit }

// Observe records the limit that the target stated in the response to a call that
// was sent to it at the given time. It returns true if the limit changed.
func (l *RateLimiter) Observe(now, sent time.Time, stated hornbeamwell.RateLimit) bool {
	if stated == l.limit {
		return false
	}
	// Responses on different connections may be read out of order: a response to a
	// call from before the limit may be older than the limit.
	if !stated.IsLimited && !sent.After(l.limitedSince) {
		return false
	}
	switch {
	case !stated.IsLimited:
		l.limitedSince = time.Time{}
	case !l.limit.IsLimited:
		l.limitedSince = now
	}
	l.limit = stated
	return true
}
