package move

import "math"

// proofExcesses are the excess failure rates that a proof can rule out, from
// coarse to fine.
var proofExcesses = [...]float64{0.20, 0.10, 0.05, 0.02, 0.01}

// latencyProofExcess is the excess of slow calls that a proof rules out.
const latencyProofExcess = 0.25

// proofStartWeight is the weight with which a proof restarts in each interval, so
// that a burst of failures does not count for the rest of the move.
const proofStartWeight = 0.005

// proofScores holds the evidence for the health of the canary: for each of
// proofExcesses the evidence against an excess failure rate of that size, and the
// same for latency.
type proofScores struct {
	calls    uint64
	failures [len(proofExcesses)]float64
	latency  float64
}

// scoreHealth scores the evidence for the health of the canary from the blocks of
// its failures and of its median latency.
func scoreHealth(blocks [signalCount]block, calls uint64) proofScores {
	out := proofScores{calls: calls}
	b := blocks[signalFailures]
	if b.canary.n == 0 || b.old.n == 0 {
		return out
	}
	same := hypothesis{old: b.expected, canary: b.expected}
	for i, excess := range proofExcesses {
		out.failures[i] = logEvidence(b.old, b.canary, same, excess)
	}
	m := blocks[signalMedian]
	if m.canary.n > 0 && m.old.n > 0 {
		out.latency = logEvidence(m.old, m.canary, hypothesis{old: m.expected, canary: m.expected}, latencyProofExcess)
	}
	return out
}

func (s *proofScores) add(other *proofScores) {
	s.calls += other.calls
	s.latency += other.latency
	for i, v := range other.failures {
		s.failures[i] += v
	}
}

// proof is the evidence for the health of the canary in one scope. The evidence in
// sum restarts with proofStartWeight in each interval. All evidence is logarithmic.
type proof struct {
	interval, sum proofScores
}

// closeInterval adds the evidence of the interval to the sum.
func (p *proof) closeInterval() {
	logStart := math.Log(proofStartWeight)
	p.sum.calls += p.interval.calls
	p.sum.latency = logAdd(p.sum.latency, logStart) + p.interval.latency
	for i, v := range p.interval.failures {
		p.sum.failures[i] = logAdd(p.sum.failures[i], logStart) + v
	}
	p.interval = proofScores{}
}

// excludes reports whether an excess failure rate is ruled out at the level.
func (p *proof) excludes(excess, level float64) bool {
	for i, e := range proofExcesses {
		if e <= excess && p.sum.failures[i] >= -math.Log(level) {
			return true
		}
	}
	return false
}

// excludesSlowness reports whether excess latency is ruled out at the level.
func (p *proof) excludesSlowness(level float64) bool {
	return p.sum.latency >= -math.Log(level)
}
