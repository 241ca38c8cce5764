package move

import "github.com/hornbeamwell/hornbeamwell"

// The indexes of the signals. The weights of all signals add up to 1.
const (
	signalFailures = iota
	signalMedian
	signalTail
	signalCount
)

// The quantiles of the old version's latency that the canary is compared with.
const (
	medianQuantile = 0.5
	tailQuantile   = 0.95
)

// signal is one measure of the calls that both versions are compared by.
type signal struct {
	// name is part of the reasons of stored moves.
	name string
	// margin is the excess over the old version that is not judged bad.
	margin float64
	// excesses are the alternative hypotheses: the excesses tested for, each
	// above margin.
	excesses []float64
	// weight is the fraction of the false alarm rate allotted to the signal.
	weight float64
}

// signals returns the signals of a policy by index.
func (p Policy) signals() [signalCount]signal {
	return [signalCount]signal{
		signalFailures: {name: "failures", margin: p.FailureMargin, excesses: []float64{0.01, 0.03, 0.12, 0.5}, weight: 0.6},
		signalMedian:   {name: "latency", margin: 0.03, excesses: []float64{0.15, 0.4}, weight: 0.2},
		signalTail:     {name: "slowest calls", margin: 0.02, excesses: []float64{0.08, 0.4}, weight: 0.2},
	}
}

// block holds the calls of one interval on one route in one availability zone. Those
// of the old version are from all zones if it has none in that zone.
type block struct {
	old, canary trials
	// expected is the probability of a hit of the old version, recent the same
	// over the most recent intervals with calls.
	expected, recent float64
}

// blocks returns the block of each signal. Those for latency are empty while the
// baseline has too few calls.
func (p Policy) blocks(seen *pair, base *baseline) [signalCount]block {
	out := [signalCount]block{}
	out[signalFailures] = block{old: seen.old.failureTrials(), canary: seen.canary.failureTrials(), expected: base.long.failureRate(), recent: base.recent.failureRate()}
	if !base.hasLatency() {
		return out
	}
	out[signalMedian] = p.latencyBlock(seen, base, medianQuantile)
	out[signalTail] = p.latencyBlock(seen, base, tailQuantile)
	return out
}

// latencyBlock counts calls above the old version's quantile, for the canary
// above the policy's margin over it.
func (p Policy) latencyBlock(seen *pair, base *baseline, quantile float64) block {
	bucket := base.long.quantile(quantile)
	return block{
		old:      seen.old.latencyTrials(bucket),
		canary:   seen.canary.latencyTrials(p.marginBucket(bucket)),
		expected: base.long.fractionAbove(bucket),
		recent:   base.recent.fractionAbove(bucket),
	}
}

// marginBucket returns the last bucket within the latency margins of a bucket.
func (p Policy) marginBucket(bucket int) int {
	slack := hornbeamwell.LatencyBucket(hornbeamwell.LatencyBucketBound(bucket) + p.LatencySlack)
	return max(bucket+p.LatencyMargin, slack)
}

// compare scores the evidence of a block against the canary. The scores are zero
// if one of the versions has no calls.
func (s signal) compare(b block) scores {
	out := scores{}
	if b.canary.n == 0 || b.old.n == 0 {
		return out
	}
	for i, excess := range s.excesses {
		out[i] = logEvidence(b.old, b.canary, hypothesis{old: b.expected, canary: b.expected + excess}, s.margin)
	}
	return out
}

// baselineMargin is added to the margin if the canary is compared with earlier
// intervals of the old version.
const baselineMargin = 0.01

// compareHistory scores the evidence of a block against the canary, compared with
// the old version in earlier intervals. It can't distinguish a bad canary from a
// fault that both versions would share.
func (s signal) compareHistory(b block) scores {
	out := scores{}
	expected := max(b.expected, b.recent)
	for i, excess := range s.excesses {
		canary := expected + excess
		out[i] = logEvidenceFixed(b.canary, canary, min(expected+s.margin+baselineMargin, canary))
	}
	return out
}
