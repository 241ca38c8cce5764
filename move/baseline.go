package move

import "github.com/hornbeamwell/hornbeamwell"

const (
	// baselineDecay and recentDecay are the weights that a slot's counts keep
	// per further slot.
	baselineDecay, recentDecay = 0.99, 0.8
	// priorCalls and priorFailures stand for what is expected before calls.
	priorCalls, priorFailures = 200, 0.4
	// baselineCalls is the number of calls that make a baseline usable.
	baselineCalls = 50
)

// baseline is what the old version did on a route in the slots before.
type baseline struct {
	long, recent history
}

// durableCalls bounds the weight of the durable figures in a baseline.
const durableCalls = 2000

// newBaseline returns a baseline that knows the failures of earlier leaders'
// figures and no latencies.
func newBaseline(figures hornbeamwell.MoveFigures) *baseline {
	if figures.OldCalls == 0 {
		return &baseline{}
	}
	calls := float64(min(figures.OldCalls, durableCalls))
	failing := float64(figures.OldFailures) / float64(figures.OldCalls)
	return &baseline{long: history{calls: calls, failures: calls * failing}}
}

// fold adds the calls of one slot.
func (b *baseline) fold(old *sample) {
	if old.calls == 0 {
		return
	}
	b.long.fold(old, baselineDecay)
	b.recent.fold(old, recentDecay)
}

// knowsFailures reports whether there were enough calls to expect failures.
func (b *baseline) knowsFailures() bool {
	return b.long.calls >= baselineCalls
}

// knowsLatency reports whether there were enough calls to expect a latency.
func (b *baseline) knowsLatency() bool {
	return b.long.total() >= baselineCalls
}

// history counts calls with a weight that falls with their age.
type history struct {
	calls, failures float64
	latency         [hornbeamwell.LatencyBuckets]float64
}

func (h *history) fold(s *sample, decay float64) {
	h.calls = h.calls*decay + float64(s.calls)
	h.failures = h.failures*decay + float64(s.failures)
	for i, n := range s.latency {
		h.latency[i] = h.latency[i]*decay + float64(n)
	}
}

// failing is the expected part of calls that fail.
func (h *history) failing() float64 {
	return (h.failures + priorFailures) / (h.calls + priorCalls)
}

// quantile returns the bucket that holds the quantile q.
func (h *history) quantile(q float64) int {
	total := h.total()
	seen := 0.0
	for i, n := range h.latency {
		seen += n
		if seen >= q*total {
			return i
		}
	}
	return hornbeamwell.LatencyBuckets - 1
}

// above returns the part of calls in the buckets above the given one.
func (h *history) above(bucket int) float64 {
	over := 0.0
	for _, n := range h.latency[bucket+1:] {
		over += n
	}
	return over / max(h.total(), 1)
}

func (h *history) total() float64 {
	total := 0.0
	for _, n := range h.latency {
		total += n
	}
	return total
}
