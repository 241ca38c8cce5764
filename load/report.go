package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histogram.
const (
	lowestLatency  = time.Microsecond
	highestLatency = 2 * time.Minute
	latencyDigits  = 3
)

// Report holds the results of a load.
type Report struct {
	// Sent counts the calls, without resends.
	Sent uint64
	// Verdicts counts the calls by verdict.
	Verdicts map[Verdict]uint64
	// Resent counts the calls that were sent a second time with the same key.
	Resent uint64
	// Duplicated counts non-idempotent calls that ran more than once.
	Duplicated uint64
	// NeverRun counts non-idempotent calls that were answered although no target
	// ran them. It is counted only if the runs of every target could be read
	// completely.
	NeverRun uint64
	// FalseRefusals counts non-idempotent calls that ran although they were
	// refused as not run.
	FalseRefusals uint64
	// RunsChecked is true if the runs were counted. UncheckedTargets is the number
	// of targets whose runs could not be read completely.
	RunsChecked      bool
	UncheckedTargets int
	// Versions counts the calls by the version that responded.
	Versions map[string]uint64
	// Reasons counts the calls without a response of a target by reason.
	Reasons map[string]uint64
	// Latency covers the answered calls, measured from the time at which each was
	// due.
	Latency  Latency
	Duration time.Duration
}

// Latency holds the mean, quantiles and maximum of the latency.
type Latency struct {
	Mean, P50, P90, P99, P999, Max time.Duration
}

// Passed reports whether no guarantee to callers was violated.
func (r *Report) Passed() bool {
	return r.Duplicated == 0 && r.NeverRun == 0 && r.FalseRefusals == 0 &&
		r.Verdicts[VerdictLost] == 0 && r.Verdicts[VerdictTruncated] == 0 && r.Verdicts[VerdictMismatched] == 0
}

// recorder accumulates a report. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	report  Report
	latency *hdrhistogram.Histogram
	// verdicts holds the verdict on each non-idempotent call by request id.
	verdicts map[string]Verdict
}

func newRecorder() *recorder {
	return &recorder{
		report:   Report{Verdicts: map[Verdict]uint64{}, Versions: map[string]uint64{}, Reasons: map[string]uint64{}},
		latency:  hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), latencyDigits),
		verdicts: map[string]Verdict{},
	}
}

// add records a call that ended.
func (r *recorder) add(req request, res result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	r.report.Verdicts[res.verdict]++
	if res.version != "" {
		r.report.Versions[res.version]++
	}
	if res.reason != "" {
		r.report.Reasons[res.reason]++
	}
	if res.verdict == VerdictAnswered {
		_ = r.latency.RecordValue(min(latency, highestLatency).Microseconds())
	}
	if !req.call.Idempotent {
		r.verdicts[req.id] = res.verdict
	}
}

func (r *recorder) addResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Resent++
}

// checkRuns compares the verdicts with the counted runs.
func (r *recorder) checkRuns(runs RunCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.RunsChecked = true
	r.report.UncheckedTargets = runs.Unchecked
	r.report.Duplicated, r.report.NeverRun, r.report.FalseRefusals = 0, 0, 0
	for id, verdict := range r.verdicts {
		count := runs.Counts[id]
		if count > 1 {
			r.report.Duplicated++
		}
		if count == 0 && verdict == VerdictAnswered && runs.Unchecked == 0 {
			r.report.NeverRun++
		}
		if count > 0 && verdict == VerdictRefused {
			r.report.FalseRefusals++
		}
	}
}

// snapshot returns the report so far.
func (r *recorder) snapshot() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Verdicts = maps.Clone(r.report.Verdicts)
	report.Versions = maps.Clone(r.report.Versions)
	report.Reasons = maps.Clone(r.report.Reasons)
	report.Latency = Latency{
		Mean: time.Duration(r.latency.Mean() * float64(time.Microsecond)),
		P50:  r.quantile(50),
		P90:  r.quantile(90),
		P99:  r.quantile(99),
		P999: r.quantile(99.9),
		Max:  time.Duration(r.latency.Max()) * time.Microsecond,
	}
	return report
}

func (r *recorder) quantile(percent float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}
