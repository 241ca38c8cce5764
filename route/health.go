package route

import (
	"sync/atomic"
	"time"
)

const (
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 5
	// firstEjection is the length of the first ejection. Each further one in
	// a row is longer by the same time, up to longestEjection.
	firstEjection   = 2 * time.Second
	longestEjection = 30 * time.Second
)

// Health is what a proxy saw of one target's answers. It outweighs the health
// that the target announces. Its methods may be called by any goroutine.
type Health struct {
	failures  atomic.Int32
	ejections atomic.Int32
	// ejectedUntil is a time in Unix nanoseconds, 0 if never ejected.
	ejectedUntil atomic.Int64
}

// Report counts the end of a call. It returns true if this ejected the target.
func (h *Health) Report(now time.Time, failed bool) bool {
	if !failed {
		if h.failures.Load() != 0 {
			h.failures.Store(0)
		}
		if h.ejections.Load() != 0 && !h.IsEjected(now) {
			h.ejections.Store(0)
		}
		return false
	}
	if h.failures.Add(1) < failuresToEject || h.IsEjected(now) {
		return false
	}
	h.failures.Store(0)
	length := min(time.Duration(h.ejections.Add(1))*firstEjection, longestEjection)
	h.ejectedUntil.Store(now.Add(length).UnixNano())
	return true
}

// IsEjected reports whether the target is to receive no call while others can.
func (h *Health) IsEjected(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}
