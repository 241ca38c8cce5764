package proxy

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// completedSlots bounds the number of requests that are remembered.
	completedSlots = 4096
	// completedLifetime is the time for which a request is remembered.
	completedLifetime = 10 * time.Second
)

// completedSet remembers the requests to which the target recently responded.
// If one of them is in flight at a crash, it is probably not the cause. A
// request overwrites an earlier one with the same slot. The zero value is empty.
type completedSet struct {
	slots [completedSlots]completedSlot
}

type completedSlot struct {
	fingerprint atomic.Uint64
	// at is the time of the response in Unix nanoseconds.
	at atomic.Int64
}

func (s *completedSet) slot(fingerprint route.Fingerprint) *completedSlot {
	return &s.slots[fingerprint%completedSlots]
}

// add records a response to the request.
func (s *completedSet) add(now time.Time, fingerprint route.Fingerprint) {
	slot := s.slot(fingerprint)
	slot.fingerprint.Store(uint64(fingerprint))
	slot.at.Store(now.UnixNano())
}

// has reports whether the target recently responded to the request.
func (s *completedSet) has(now time.Time, fingerprint route.Fingerprint) bool {
	slot := s.slot(fingerprint)
	return slot.fingerprint.Load() == uint64(fingerprint) && now.UnixNano()-slot.at.Load() < int64(completedLifetime)
}
