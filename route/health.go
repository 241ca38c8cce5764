package route

import (
	"math"
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
	// failing is the bits of the failing part of the calls at failingAt, a time
	// in Unix nanoseconds.
	failing   atomic.Uint64
	failingAt atomic.Int64
}

const (
	// failingWeight is the weight of one call in the failing part.
	failingWeight = 0.1
	// failingHalfLife is the time in which the failing part halves without
	// calls, so that a target that was avoided is tried again.
	failingHalfLife = 2 * time.Second
	// lostEjection is the length of the ejection of a target whose proxy can't
	// be reached.
	lostEjection = 700 * time.Millisecond
)

// FailureRate returns the part of the latest calls that failed. It fades with time.
func (h *Health) FailureRate(now time.Time) float64 {
	part := math.Float64frombits(h.failing.Load())
	if part == 0 {
		return 0
	}
	age := max(now.UnixNano()-h.failingAt.Load(), 0)
	return part * math.Exp2(-float64(age)/float64(failingHalfLife))
}

// addOutcome takes the end of a call into the failing part. Of two ends at once
// one may get lost.
func (h *Health) addOutcome(now time.Time, failed bool) {
	part := h.FailureRate(now)
	if !failed && part == 0 {
		return
	}
	part *= 1 - failingWeight
	if failed {
		part += failingWeight
	}
	h.failing.Store(math.Float64bits(part))
	h.failingAt.Store(now.UnixNano())
}

// ReportUnreachable ejects a target whose proxy can't be reached, for a short
// time.
func (h *Health) ReportUnreachable(now time.Time) {
	h.ejectedUntil.Store(max(h.ejectedUntil.Load(), now.Add(lostEjection).UnixNano()))
}

// Report counts the end of a call. It returns true if this ejected the target.
func (h *Health) Report(now time.Time, failed bool) bool {
	h.addOutcome(now, failed)
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
