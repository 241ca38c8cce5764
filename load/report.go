package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of the latencies.
const (
	lowestLatency  = time.Microsecond
	highestLatency = 2 * time.Minute
	latencyDigits  = 3
)

// Report says how a load went.
type Report struct {
	// Sent counts the calls, resends left out.
	Sent uint64
	// Verdicts counts the calls by how they ended.
	Verdicts map[Verdict]uint64
	// Resent counts the calls that were sent a second time with their key.
	Resent uint64
	// Duplicated counts non-idempotent calls that ran more than once.
	Duplicated uint64
	// NeverRun counts answered non-idempotent calls that ran nowhere.
	NeverRun uint64
	// FalseRefusals counts non-idempotent calls that ran although they were
	// refused as not run.
	FalseRefusals uint64
	// RunsChecked is true where the runs were counted, and UncheckedTargets is
	// the number of targets that could not be asked.
	RunsChecked      bool
	UncheckedTargets int
	// Versions counts the calls by the version that answered.
	Versions map[string]uint64
	// Reasons counts the calls without an answer of a target by why.
	Reasons map[string]uint64
	// Latency holds the answered calls, measured from the time at which each
	// was due.
	Latency  Latency
	Duration time.Duration
}

// Latency holds quantiles of the latency.
type Latency struct {
	Mean, P50, P90, P99, P999, Max time.Duration
}

// Passed reports whether every promise to callers held.
func (r *Report) Passed() bool {
	return r.Duplicated == 0 && r.NeverRun == 0 && r.FalseRefusals == 0 &&
		r.Verdicts[VerdictLost] == 0 && r.Verdicts[VerdictTruncated] == 0 && r.Verdicts[VerdictMismatched] == 0
}

// recorder collects a report. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	report  Report
	latency *hdrhistogram.Histogram
	// verdicts holds the verdict on each non-idempotent call by id.
	verdicts map[string]Verdict
}

func newRecorder() *recorder {
	return &recorder{
		report:   Report{Verdicts: map[Verdict]uint64{}, Versions: map[string]uint64{}, Reasons: map[string]uint64{}},
		latency:  hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), latencyDigits),
		verdicts: map[string]Verdict{},
	}
}

// add counts a call that ended.
func (r *recorder) add(req request, end ending, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	r.report.Verdicts[end.verdict]++
	if end.version != "" {
		r.report.Versions[end.version]++
	}
	if end.reason != "" {
		r.report.Reasons[end.reason]++
	}
	if end.verdict == VerdictAnswered {
		_ = r.latency.RecordValue(min(latency, highestLatency).Microseconds())
	}
	if !req.call.Idempotent {
		r.verdicts[req.id] = end.verdict
	}
}

func (r *recorder) addResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Resent++
}

// compareRuns sets what the counted runs prove.
func (r *recorder) compareRuns(runs Runs) {
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
