package delivery

import (
	"sync/atomic"
	"time"
)

// leaderLease is the time until which a process knows that its state follows
// the leader's. Any goroutine may use it.
type leaderLease struct {
	until atomic.Pointer[time.Time]
}

// extend moves the end of the lease to until, and never back.
func (l *leaderLease) extend(until time.Time) {
	for {
		held := l.until.Load()
		if held != nil && !until.After(*held) {
			return
		}
		if l.until.CompareAndSwap(held, &until) {
			return
		}
	}
}

// end returns the end of the lease, the zero time where there was none.
func (l *leaderLease) end() time.Time {
	held := l.until.Load()
	if held == nil {
		return time.Time{}
	}
	return *held
}

// remaining returns the rest of the lease, at least 0.
func (l *leaderLease) remaining(now time.Time) time.Duration {
	return max(l.end().Sub(now), 0)
}
