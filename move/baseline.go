package move

import "github.com/hornbeamwell/hornbeamwell"

const (
	// baselineDecay and recentDecay are the factors by which the weight of older
	// calls decays with each interval of each availability zone in which the old
	// version has calls.
	baselineDecay, recentDecay = 0.99, 0.8
	// priorCalls and priorFailures are the prior of the failure rate: a number
	// of calls and the failures among them.
	priorCalls, priorFailures = 200, 0.4
	// baselineCalls is the least number of calls of a usable baseline.
	baselineCalls = 50
)

// baseline holds the failures and latencies of the old version on a route over
// the earlier intervals. While an interval is scored, it also holds those of the
// availability zones that were scored before.
type baseline struct {
	long, recent decayedCounts
}

// maxDurableCalls bounds the weight of the durable figures in a baseline.
const maxDurableCalls = 2000

// newBaseline returns a baseline with the failures that earlier leaders recorded
// in the figures, and without latencies.
func newBaseline(figures hornbeamwell.MoveFigures) *baseline {
	if figures.OldCalls == 0 {
		return &baseline{}
	}
	calls := float64(min(figures.OldCalls, maxDurableCalls))
	failureRate := float64(figures.OldFailures) / float64(figures.OldCalls)
	return &baseline{long: decayedCounts{calls: calls, failures: calls * failureRate}}
}

// add adds the calls of one interval in one availability zone.
func (b *baseline) add(old *sample) {
	if old.calls == 0 {
		return
	}
	b.long.add(old, baselineDecay)
	b.recent.add(old, recentDecay)
}

// hasFailureRate reports whether there were enough calls for a failure rate.
func (b *baseline) hasFailureRate() bool {
	return b.long.calls >= baselineCalls
}

// hasLatency reports whether there were enough calls for latency quantiles.
func (b *baseline) hasLatency() bool {
	return b.long.total() >= baselineCalls
}

// decayedCounts counts calls with a weight that decays exponentially with their
// age.
type decayedCounts struct {
	calls, failures float64
	latency         [hornbeamwell.LatencyBuckets]float64
}

func (d *decayedCounts) add(s *sample, decay float64) {
	d.calls = d.calls*decay + float64(s.calls)
	d.failures = d.failures*decay + float64(s.failures)
	for i, n := range s.latency {
		d.latency[i] = d.latency[i]*decay + float64(n)
	}
}

// failureRate returns the expected failure rate.
func (d *decayedCounts) failureRate() float64 {
	return (d.failures + priorFailures) / (d.calls + priorCalls)
}

// quantile returns the index of the bucket that holds the quantile q.
func (d *decayedCounts) quantile(q float64) int {
	total := d.total()
	seen := 0.0
	for i, n := range d.latency {
		seen += n
		if seen >= q*total {
			return i
		}
	}
	return hornbeamwell.LatencyBuckets - 1
}

// fractionAbove returns the fraction of calls in the buckets above the given one.
func (d *decayedCounts) fractionAbove(bucket int) float64 {
	above := 0.0
	for _, n := range d.latency[bucket+1:] {
		above += n
	}
	return above / max(d.total(), 1)
}

func (d *decayedCounts) total() float64 {
	total := 0.0
	for _, n := range d.latency {
		total += n
	}
	return total
}
