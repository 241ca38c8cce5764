package route

import (
	"sync/atomic"
	"time"
)

// ReportLifetime is the time for which a reported load counts.
const ReportLifetime = time.Second

// Load is what a proxy knows of the load of one target. Its methods may be
// called by any goroutine.
type Load struct {
	outstanding atomic.Int32
	// reported is the number of calls that run or wait at the target beyond
	// those of this proxy.
	reported   atomic.Int32
	reportedAt atomic.Int64
	// duration is the mean duration of a call at the target in nanoseconds, 0
	// where it is not known.
	duration atomic.Int64
}

// ReportDuration takes the mean duration of a call that the target's proxy sent
// with an answer.
func (l *Load) ReportDuration(mean time.Duration) { l.duration.Store(int64(mean)) }

// Duration returns the mean duration of a call at the target, 0 where it is not
// known.
func (l *Load) Duration() time.Duration { return time.Duration(l.duration.Load()) }

// Begin counts a call that this proxy sends.
func (l *Load) Begin() { l.outstanding.Add(1) }

// End counts the end of a call that this proxy sent.
func (l *Load) End() { l.outstanding.Add(-1) }

// Outstanding returns the number of calls of this proxy in flight.
func (l *Load) Outstanding() int { return int(l.outstanding.Load()) }

// Report takes the load that the target's proxy sent with an answer: the calls
// that run or wait there, this proxy's own included.
func (l *Load) Report(now time.Time, total int) {
	others := max(total-l.Outstanding(), 0)
	l.reported.Store(int32(min(others, 1<<20)))
	l.reportedAt.Store(now.UnixNano())
}

// Current returns the calls believed to run or wait at the target. A report
// loses weight with its age.
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
