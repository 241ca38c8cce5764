package move

import "github.com/hornbeamwell/hornbeamwell"

// sample counts calls of one version.
type sample struct {
	calls, failures uint64
	// cold counts calls to targets in their cold start. They are in no other
	// count.
	cold    uint64
	latency hornbeamwell.LatencyHistogram
}

func (s *sample) add(o *hornbeamwell.Observation) {
	s.calls += o.Calls
	s.cold += o.ColdCalls
	s.failures += min(o.Failures, o.Calls)
	s.latency.Merge(&o.Latency)
}

func (s *sample) merge(other *sample) {
	s.calls += other.calls
	s.cold += other.cold
	s.failures += other.failures
	s.latency.Merge(&other.latency)
}

// received returns the number of all calls, cold ones included.
func (s *sample) received() uint64 {
	return s.calls + s.cold
}

// failureTrials returns the calls, with the failures as hits.
func (s *sample) failureTrials() trials {
	return trials{n: float64(s.calls), hits: float64(s.failures)}
}

// latencyTrials returns the calls that did not fail, with those in a latency bucket
// above the given one as hits.
func (s *sample) latencyTrials(bucket int) trials {
	t := trials{}
	for i, n := range s.latency {
		t.n += float64(n)
		if i > bucket {
			t.hits += float64(n)
		}
	}
	return t
}

// pair holds the calls of the old version and the canary.
type pair struct {
	old, canary sample
}

func (p *pair) merge(other *pair) {
	p.old.merge(&other.old)
	p.canary.merge(&other.canary)
}

func (p *pair) figures() hornbeamwell.MoveFigures {
	return hornbeamwell.MoveFigures{
		NewCalls:    p.canary.calls,
		NewFailures: p.canary.failures,
		OldCalls:    p.old.calls,
		OldFailures: p.old.failures,
		NewP99:      p.canary.latency.Quantile(0.99),
		OldP99:      p.old.latency.Quantile(0.99),
	}
}
