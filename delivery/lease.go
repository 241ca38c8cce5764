package delivery

import (
	"sync/atomic"
	"time"
)

const (
	// shareLease is the time for which the leader's word holds at a proxy that
	// hears nothing more.
	shareLease = 12 * time.Second
	// heartbeatInterval is the time between the heartbeats of a subscriber.
	heartbeatInterval = 2 * time.Second
	// silenceTimeout is the time after which a peer that was not heard from
	// counts as silent and its connection is replaced.
	silenceTimeout = 7 * time.Second
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
