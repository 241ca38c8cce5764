package delivery

import (
	"sync/atomic"
	"time"
)

// shareLease is the time until which the state of a process is known to follow
// the leader's, and until which a proxy may use canary shares. It is safe for
// concurrent use.
type shareLease struct {
	until atomic.Pointer[time.Time]
}

// extend sets the end of the lease to until, but never to an earlier time.
func (l *shareLease) extend(until time.Time) {
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
func (l *shareLease) end() time.Time {
	current := l.until.Load()
	if current == nil {
		return time.Time{}
	}
	return *current
}

// remaining returns the remaining time of the lease, at least 0.
func (l *shareLease) remaining(now time.Time) time.Duration {
	return max(l.end().Sub(now), 0)
}
