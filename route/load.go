package route

import (
	"sync/atomic"
	"time"
)

// ReportLifetime is the time for which a reported load is used.
const ReportLifetime = time.Second

// Load is the load of one target as seen by one proxy. It is safe for
// concurrent use.
type Load struct {
	outstanding atomic.Int32
	// reported is the number of calls that run or wait at the target, without
	// those of this proxy.
	reported atomic.Int32
	// reportedAt is the time of the last report in Unix nanoseconds.
	reportedAt atomic.Int64
	// duration is the mean duration of a call at the target in nanoseconds, 0
	// if it is not known.
	duration atomic.Int64
}

// ReportDuration records the mean call duration that the target's proxy sent
// with a response.
func (l *Load) ReportDuration(mean time.Duration) { l.duration.Store(int64(mean)) }

// Duration returns the mean duration of a call at the target, 0 if it is not
// known.
func (l *Load) Duration() time.Duration { return time.Duration(l.duration.Load()) }

// Begin records a call that this proxy sends.
func (l *Load) Begin() { l.outstanding.Add(1) }

// End records the end of a call that this proxy sent.
func (l *Load) End() { l.outstanding.Add(-1) }

// Outstanding returns the number of calls of this proxy in flight.
func (l *Load) Outstanding() int { return int(l.outstanding.Load()) }

// Report records the load that the target's proxy sent with a response: the
// calls that run or wait there, including those of this proxy.
func (l *Load) Report(now time.Time, total int) {
	others := max(total-l.Outstanding(), 0)
	l.reported.Store(int32(min(others, 1<<20)))
	l.reportedAt.Store(now.UnixNano())
}

// Current returns the estimated number of calls that run or wait at the target.
// The weight of a report decreases with its age.
func (l *Load) Current(now time.Time) float64 {
	own := float64(l.outstanding.Load())
	reported := l.reported.Load()
	if reported == 0 {
		return own
	}
	age := time.Duration(now.UnixNano() - l.reportedAt.Load())
	if age >= ReportLifetime {
		return own
	}
	weight := 1 - float64(max(age, 0))/float64(ReportLifetime)
	return own + float64(reported)*weight
}
