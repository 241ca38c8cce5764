package proxy

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// completedSlots is the number of requests that are remembered as answered.
	completedSlots = 4096
	// completedLifetime is the time for which an answer speaks for a request.
	completedLifetime = 10 * time.Second
)

// completedSet remembers the requests that the target answered lately. One of
// them in flight at a crash is more likely a bystander. Later requests push out
// earlier ones. The zero value is empty.
type completedSet struct {
	slots [completedSlots]completedSlot
}

type completedSlot struct {
	fingerprint atomic.Uint64
	// at is a time in Unix nanoseconds.
	at atomic.Int64
}

func (s *completedSet) slot(fingerprint route.Fingerprint) *completedSlot {
	return &s.slots[fingerprint%completedSlots]
}

// add remembers an answer to the request.
func (s *completedSet) add(now time.Time, fingerprint route.Fingerprint) {
	slot := s.slot(fingerprint)
	slot.fingerprint.Store(uint64(fingerprint))
	slot.at.Store(now.UnixNano())
}

// has reports whether the request was answered lately.
func (s *completedSet) has(now time.Time, fingerprint route.Fingerprint) bool {
	slot := s.slot(fingerprint)
	return slot.fingerprint.Load() == uint64(fingerprint) && now.UnixNano()-slot.at.Load() < int64(completedLifetime)
}
