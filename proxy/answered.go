package proxy

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// answeredSlots is the number of requests that are remembered as answered.
	answeredSlots = 4096
	// answeredLifetime is the time for which an answer speaks for a request.
	answeredLifetime = 10 * time.Second
)

// answeredSet remembers the requests that the target answered lately. One of
// them in flight at a crash is more likely a bystander. Later requests push out
// earlier ones. The zero value is empty.
type answeredSet struct {
	slots [answeredSlots]answeredSlot
}

type answeredSlot struct {
	fingerprint atomic.Uint64
	// at is a time in Unix nanoseconds.
	at atomic.Int64
}

func (s *answeredSet) slot(fingerprint route.Fingerprint) *answeredSlot {
	return &s.slots[fingerprint%answeredSlots]
}

// add remembers an answer to the request.
func (s *answeredSet) add(now time.Time, fingerprint route.Fingerprint) {
	slot := s.slot(fingerprint)
	slot.fingerprint.Store(uint64(fingerprint))
	slot.at.Store(now.UnixNano())
}

// has reports whether the request was answered lately.
func (s *answeredSet) has(now time.Time, fingerprint route.Fingerprint) bool {
	slot := s.slot(fingerprint)
	return slot.fingerprint.Load() == uint64(fingerprint) && now.UnixNano()-slot.at.Load() < int64(answeredLifetime)
}
