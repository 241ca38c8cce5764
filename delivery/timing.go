package delivery

import (
	"cmp"
	"time"
)

// Timing holds the intervals and timeouts of sessions. Both ends of a session
// must use the same values.
type Timing struct {
	// HeartbeatInterval is the average time between two heartbeats of a
	// subscriber whose version does not change.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without received bytes after which a peer counts as
	// silent and its connection is replaced. It is more than two heartbeat
	// intervals.
	SilenceTimeout time.Duration
	// ShareLease is the duration of the share lease, a proxy's permission to
	// use canary shares. A proxy that receives no further messages keeps it for
	// at most this time.
	ShareLease time.Duration
	// StaleAfter is the age of a session from which a proxy switches to another
	// source if its share lease has ended and the source has answered a later
	// heartbeat without extending it. A relay or a follower switches only after the
	// leader's statement that it leads has been over for this time too.
	StaleAfter time.Duration
	// MaxStaleAfter limits the growth of StaleAfter while no source has contact
	// with the leader.
	MaxStaleAfter time.Duration
	// EvidenceInterval is the shortest time between two messages with
	// observations from a proxy.
	EvidenceInterval time.Duration
	// DialTimeout limits the time to open a connection to a source.
	DialTimeout time.Duration
	// PresenceDelay limits the time for which changes of targets are collected
	// before they are published.
	PresenceDelay time.Duration
	// MaxBackoff limits the wait before a subscriber's next attempt.
	MaxBackoff time.Duration
}

// DefaultTiming returns the timing for a fleet of 20,000 proxies.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 2 * time.Second,
		SilenceTimeout:    7 * time.Second,
		ShareLease:        12 * time.Second,
		StaleAfter:        20 * time.Second,
		EvidenceInterval:  time.Second,

		MaxStaleAfter: 2 * time.Minute,

		DialTimeout:   1200 * time.Millisecond,
		PresenceDelay: 300 * time.Millisecond,
		MaxBackoff:    8 * time.Second,
	}
}

// SiteTiming returns the timing for a few hundred proxies. A proxy whose source
// loses contact with the leader reaches a source with contact within three
// seconds, even if the first other source that it tries has none.
func SiteTiming() Timing {
	return Timing{
		HeartbeatInterval: 300 * time.Millisecond,
		SilenceTimeout:    900 * time.Millisecond,
		ShareLease:        time.Second,
		StaleAfter:        300 * time.Millisecond,
		EvidenceInterval:  250 * time.Millisecond,

		MaxStaleAfter: 600 * time.Millisecond,

		DialTimeout:   300 * time.Millisecond,
		PresenceDelay: 60 * time.Millisecond,
		MaxBackoff:    200 * time.Millisecond,
	}
}

// maxStaleFactor is the default ratio of MaxStaleAfter to StaleAfter.
const maxStaleFactor = 6

// orDefault returns DefaultTiming if t is zero. Otherwise it sets the zero
// fields to their defaults, except for HeartbeatInterval, SilenceTimeout,
// ShareLease and StaleAfter, which must be set.
func (t Timing) orDefault() Timing {
	defaults := DefaultTiming()
	if t == (Timing{}) {
		return defaults
	}
	t.MaxStaleAfter = cmp.Or(t.MaxStaleAfter, maxStaleFactor*t.StaleAfter)
	t.EvidenceInterval = cmp.Or(t.EvidenceInterval, defaults.EvidenceInterval)
	t.DialTimeout = cmp.Or(t.DialTimeout, defaults.DialTimeout)
	t.PresenceDelay = cmp.Or(t.PresenceDelay, defaults.PresenceDelay)
	t.MaxBackoff = cmp.Or(t.MaxBackoff, defaults.MaxBackoff)
	return t
}
