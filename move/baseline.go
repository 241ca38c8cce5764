package move

import "github.com/hornbeamwell/hornbeamwell"

const (
	// baselineDecay is the weight that a slot's counts keep per further slot.
	baselineDecay = 0.99
	// priorCalls and priorFailures stand for what is expected before calls.
	priorCalls, priorFailures = 200, 0.4
	// baselineCalls is the number of calls that make a baseline usable.
	baselineCalls = 50
)

// baseline is what the old version did on a route in the slots before.
type baseline struct {
	calls, failures float64
	latency         [hornbeamwell.LatencyBuckets]float64
}

// fold adds the calls of one slot.
func (b *baseline) fold(old *sample) {
	if old.calls == 0 {
		return
	}
	b.calls = b.calls*baselineDecay + float64(old.calls)
	b.failures = b.failures*baselineDecay + float64(old.failures)
	for i, n := range old.latency {
		b.latency[i] = b.latency[i]*baselineDecay + float64(n)
	}
}

// failing is the expected part of calls that fail.
func (b *baseline) failing() float64 {
	return (b.failures + priorFailures) / (b.calls + priorCalls)
}

func (b *baseline) isUsable() bool {
	return b.calls >= baselineCalls
}

// quantile returns the bucket that holds the quantile q and the part of calls
// in the buckets above it.
func (b *baseline) quantile(q float64) (int, float64) {
	total := 0.0
	for _, n := range b.latency {
		total += n
	}
	seen := 0.0
	for i, n := range b.latency {
		seen += n
		if seen >= q*total {
			return i, (total - seen) / max(total, 1)
		}
	}
	return hornbeamwell.LatencyBuckets - 1, 0
}
