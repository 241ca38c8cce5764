package move

import "math"

// proofExcesses are the excess failures that a version can be proved not to
// have, from coarse to fine.
var proofExcesses = [...]float64{0.20, 0.10, 0.05, 0.02, 0.01}

// latencyProofExcess is the excess of slow calls that a version is proved not
// to have.
const latencyProofExcess = 0.25

// proof is the evidence for the health of a version in one scope: for each of
// proofExcesses the logarithm of an e-value against "fails that much more
// often", and the same for latency.
type proof struct {
	calls    uint64
	failures [len(proofExcesses)]float64
	latency  float64
}

// fold adds the evidence of one block of each signal.
func (p *proof) fold(blocks [signalCount]block, calls uint64) {
	p.calls += calls
	b := blocks[signalFailures]
	if b.fresh.n == 0 || b.old.n == 0 {
		return
	}
	same := hypothesis{old: b.expected, fresh: b.expected}
	for i, excess := range proofExcesses {
		p.failures[i] += logEvidence(b.old, b.fresh, same, excess)
	}
	m := blocks[signalMedian]
	if m.fresh.n == 0 || m.old.n == 0 {
		return
	}
	p.latency += logEvidence(m.old, m.fresh, hypothesis{old: m.expected, fresh: m.expected}, latencyProofExcess)
}

// excludes reports whether an excess of failures is excluded at the level.
func (p *proof) excludes(excess, level float64) bool {
	for i, e := range proofExcesses {
		if e <= excess && p.failures[i] >= -math.Log(level) {
			return true
		}
	}
	return false
}

// excludesSlowness reports whether slowness is excluded at the level.
func (p *proof) excludesSlowness(level float64) bool {
	return p.latency >= -math.Log(level)
}

// merge adds the evidence of other calls.
func (p *proof) merge(other *proof) {
	p.calls += other.calls
	p.latency += other.latency
	for i, v := range other.failures {
		p.failures[i] += v
	}
}
