package delivery

import (
	"cmp"
	"time"
)

// Timing holds the times that the two ends of a session agree on.
type Timing struct {
	// Heartbeat is the time between the heartbeats of a subscriber.
	Heartbeat time.Duration
	// Silence is the time after which a peer that was not heard from counts as
	// silent and its connection is replaced. It is more than two heartbeats.
	Silence time.Duration
	// ShareLease is the time for which the leader's word holds at a proxy that
	// hears nothing more.
	ShareLease time.Duration
	// Stale is the time without contact with the leader after which a
	// subscriber tries another source.
	Stale time.Duration
	// LongestStale bounds the growth of Stale while no source has contact with
	// the leader.
	LongestStale time.Duration
	// Evidence is the time between two reports of observations.
	Evidence time.Duration
	// Dial bounds the opening of a connection to a source.
	Dial time.Duration
	// Presence is the time for which news of targets waits for more.
	Presence time.Duration
	// LongestBackoff bounds the wait before a subscriber's next attempt.
	LongestBackoff time.Duration
}

// DefaultTiming returns the times for the target size.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:  2 * time.Second,
		Silence:    7 * time.Second,
		ShareLease: 12 * time.Second,
		Stale:      20 * time.Second,
		Evidence:   time.Second,

		LongestStale: 2 * time.Minute,

		Dial:           1200 * time.Millisecond,
		Presence:       300 * time.Millisecond,
		LongestBackoff: 8 * time.Second,
	}
}

// SiteTiming returns the times for a few hundred proxies. One that follows a
// source without contact to the leader finds another within three seconds, even
// after a second such source.
func SiteTiming() Timing {
	return Timing{
		Heartbeat:  300 * time.Millisecond,
		Silence:    900 * time.Millisecond,
		ShareLease: time.Second,
		Stale:      300 * time.Millisecond,
		Evidence:   250 * time.Millisecond,

		LongestStale: 600 * time.Millisecond,

		Dial:           300 * time.Millisecond,
		Presence:       60 * time.Millisecond,
		LongestBackoff: 200 * time.Millisecond,
	}
}

// longestStaleFactor is LongestStale in relation to Stale where none is given.
const longestStaleFactor = 6

// orDefault fills in what is zero.
func (t Timing) orDefault() Timing {
	standard := DefaultTiming()
	if t == (Timing{}) {
		return standard
	}
	t.LongestStale = cmp.Or(t.LongestStale, longestStaleFactor*t.Stale)
	t.Evidence = cmp.Or(t.Evidence, standard.Evidence)
	t.Dial = cmp.Or(t.Dial, standard.Dial)
	t.Presence = cmp.Or(t.Presence, standard.Presence)
	t.LongestBackoff = cmp.Or(t.LongestBackoff, standard.LongestBackoff)
	return t
}
