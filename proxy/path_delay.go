package proxy

import (
	"net/http"
	"sync"
	"time"
)

const (
	// pathSampleRetention is the time for which a measured delay is used. A connection is
	// silent for most of it before the delay matters.
	pathSampleRetention = 2 * time.Second
	// maxPathDelay bounds what is added to a time limit.
	maxPathDelay = 2 * silenceTimeout
	// minLinkSilence is the time after which a peer is expected to have been heard from: the
	// interval of interim responses, and time for the way there and back.
	minLinkSilence = silenceTimeout / 2
)

// pathMeter measures the delay between this proxy and a peer, in both directions together.
// The peer states how long it held a call before each response to it; the rest of the time
// was spent on the way. It is safe for concurrent use.
type pathMeter struct {
	mu sync.Mutex
	// delay is that of the latest response, heardAt the time of its arrival.
	delay   time.Duration
	heardAt time.Time
	// waiting is the number of calls without a response, waitingSince the time at which
	// the first of them was sent.
	waiting      int
	waitingSince time.Time
}

// pathState is what is known of the path to a peer.
type pathState struct {
	// isMeasured is true if delay was measured recently.
	isMeasured bool
	delay      time.Duration
	// sinceHeard is the time since the last response, maxDuration if there was none, silent
	// the part of it in which a response was awaited.
	sinceHeard, silent time.Duration
}

func (m *pathMeter) begin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting == 0 {
		m.waitingSince = now
	}
	m.waiting++
}

func (m *pathMeter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting--
}

// record records the response to a call that was sent at the given time. A peer of an
// earlier version does not state how long it held the call.
func (m *pathMeter) record(now, sent time.Time, h http.Header) {
	held, valid := parseDuration(headerValue(h, headerHeld))
	if !valid {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay, m.heardAt = max(now.Sub(sent)-held, 0), now
}

func (m *pathMeter) state(now time.Time) pathState {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := pathState{sinceHeard: maxDuration}
	if !m.heardAt.IsZero() {
		s.sinceHeard = now.Sub(m.heardAt)
	}
	s.isMeasured, s.delay = s.sinceHeard < pathSampleRetention, m.delay
	if m.waiting > 0 {
		s.silent = min(s.sinceHeard, now.Sub(m.waitingSince))
	}
	return s
}

// expectedPathDelay returns the delay to expect of a peer. The delay that all other peers
// have is that of the link of this proxy, which the peer shares.
func expectedPathDelay(peer pathState, others []pathState) time.Duration {
	shared, isShared := maxPathDelay, false
	for _, other := range others {
		if other.isMeasured {
			shared, isShared = min(shared, other.delay), true
		}
	}
	delay := time.Duration(0)
	if isShared {
		delay = shared
	}
	if peer.isMeasured {
		delay = max(delay, peer.delay)
	}
	return min(delay, maxPathDelay)
}

// isLinkSilent reports whether nothing is heard from any of several peers. The link of this
// proxy delays them all then, or has failed, and another target could not be heard either.
func isLinkSilent(peer pathState, others []pathState) bool {
	silent := 0
	for _, other := range others {
		if other.sinceHeard < silenceTimeout {
			return false
		}
		if other.silent >= minLinkSilence {
			silent++
		}
	}
	return peer.sinceHeard >= silenceTimeout && silent > 0
}

// silenceLimit returns the time after which a silent connection to a peer counts as lost.
func silenceLimit(peer pathState, others []pathState) time.Duration {
	delay := expectedPathDelay(peer, others)
	if isLinkSilent(peer, others) {
		delay = max(delay, silenceTimeout)
	}
	return silenceTimeout + delay
}

// states returns the state of the peer and those of all others.
func (s *peerSet) states(now time.Time, p *peer) (own pathState, others []pathState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.peers {
		if other != p {
			others = append(others, other.path.state(now))
		}
	}
	return p.path.state(now), others
}
