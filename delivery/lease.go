package delivery

import (
	"sync/atomic"
	"time"
)

// leaderLease is the time until which the state of a process is known to follow
// the leader's. It is safe for concurrent use.
type leaderLease struct {
	until atomic.Pointer[time.Time]
}

// extend sets the end of the lease to until, but never to an earlier time.
func (l *leaderLease) extend(until time.Time) {
	for {
		current := l.until.Load()
		if current != nil && !until.After(*current) {
			return
		}
		if l.until.CompareAndSwap(current, &until) {
			return
		}
	}
}

// end returns the end of the lease, or the zero time if there has been none.
func (l *leaderLease) end() time.Time {
	current := l.until.Load()
	if current == nil {
		return time.Time{}
	}
	return *current
}

// remaining returns the remaining time of the lease, at least 0.
func (l *leaderLease) remaining(now time.Time) time.Duration {
	return max(l.end().Sub(now), 0)
}
