package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures that eject a
	// target.
	failuresToEject = 5
	// ejectionStep is the length of the first ejection. Each consecutive
	// ejection is longer by this time, up to maxEjection.
	ejectionStep = 2 * time.Second
	maxEjection  = 30 * time.Second
)

// Health is the passive health check of one target by one proxy. An ejection
// applies even if the target announces that it is ready. Package proxy also
// uses a Health for the failure rate of a whole service. It is safe for
// concurrent use.
type Health struct {
	failures  atomic.Int32
	ejections atomic.Int32
	// ejectedUntil is a time in Unix nanoseconds, 0 if the target was never
	// ejected.
	ejectedUntil atomic.Int64
	// failureRate holds the bits of the failure rate at failureRateAt, a time
	// in Unix nanoseconds.
	failureRate   atomic.Uint64
	failureRateAt atomic.Int64
	// leaving is the highest incarnation of the target that stated that it is about
	// to stop, 0 if none did. It never decreases.
	leaving atomic.Uint64
}

const (
	// failureRateWeight is the weight of one call in the failure rate.
	failureRateWeight = 0.1
	// failureRateHalfLife is the half-life of the failure rate without calls.
	// The rate decays so that an avoided target is tried again.
	failureRateHalfLife = 2 * time.Second
	// unreachableEjection is the length of the ejection of a target whose proxy
	// cannot be reached.
	unreachableEjection = 700 * time.Millisecond
)

// FailureRate returns the fraction of recent calls that failed. It decays over
// time.
func (h *Health) FailureRate(now time.Time) float64 {
	rate := math.Float64frombits(h.failureRate.Load())
	if rate == 0 {
		return 0
	}
	age := max(now.UnixNano()-h.failureRateAt.Load(), 0)
	return rate * math.Exp2(-float64(age)/float64(failureRateHalfLife))
}

// updateFailureRate adds the end of a call to the failure rate. Of two
// concurrent updates one may be lost.
func (h *Health) updateFailureRate(now time.Time, failed bool) {
	rate := h.FailureRate(now)
	if !failed && rate == 0 {
		return
	}
	rate *= 1 - failureRateWeight
	if failed {
		rate += failureRateWeight
	}
	h.failureRate.Store(math.Float64bits(rate))
	h.failureRateAt.Store(now.UnixNano())
}

// ReportUnreachable ejects a target for a short time because its proxy cannot
// be reached.
func (h *Health) ReportUnreachable(now time.Time) {
	h.ejectedUntil.Store(max(h.ejectedUntil.Load(), now.Add(unreachableEjection).UnixNano()))
}

// Report records the end of a call. It returns true if this call ejected the
// target.
func (h *Health) Report(now time.Time, failed bool) bool {
	h.updateFailureRate(now, failed)
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
	length := min(time.Duration(h.ejections.Add(1))*ejectionStep, maxEjection)
	h.ejectedUntil.Store(now.Add(length).UnixNano())
	return true
}

// ReportLeaving records that an incarnation of the target stated that it is about to
// stop. It returns true if this was not known.
func (h *Health) ReportLeaving(incarnation uint64) bool {
	for {
		known := h.leaving.Load()
		if incarnation <= known {
			return false
		}
		if h.leaving.CompareAndSwap(known, incarnation) {
			return true
		}
	}
}

// IsLeaving reports whether the incarnation of the target, or a later one, stated that
// it is about to stop.
func (h *Health) IsLeaving(incarnation uint64) bool {
	leaving := h.leaving.Load()
	return leaving != 0 && incarnation <= leaving
}

// IsEjected reports whether the target must not receive calls while others can.
func (h *Health) IsEjected(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}
