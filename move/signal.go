package move

import "github.com/hornbeamwell/hornbeamwell"

// The signals of a bad version. The weights add up to 1.
const (
	signalFailures = iota
	signalMedian
	signalTail
	signalCount
)

// The quantiles of the old version that latency is compared at.
const (
	medianQuantile = 0.5
	tailQuantile   = 0.95
)

// signals returns the signals of a policy by index.
func (p Policy) signals() [signalCount]signal {
	return [signalCount]signal{
		signalFailures: {name: "failures", margin: p.FailureMargin, excesses: []float64{0.01, 0.03, 0.12, 0.5}, weight: 0.6},
		signalMedian:   {name: "latency", margin: 0.03, excesses: []float64{0.15, 0.4}, weight: 0.2},
		signalTail:     {name: "slowest calls", margin: 0.02, excesses: []float64{0.08, 0.4}, weight: 0.2},
	}
}

// block is what one interval saw of one route in one availability zone.
type block struct {
	old, canary trials
	// expected is the probability of a hit of the old version, recent the
	// same over the last intervals in which it had calls.
	expected, recent float64
}

// blocks returns the block of each signal. The latency ones are empty while
// the baseline is not usable.
func (p Policy) blocks(seen *pair, base *baseline) [signalCount]block {
	out := [signalCount]block{}
	out[signalFailures] = block{old: seen.old.failed(), canary: seen.canary.failed(), expected: base.long.failureRate(), recent: base.recent.failureRate()}
	if !base.hasLatency() {
		return out
	}
	out[signalMedian] = p.latencyBlock(seen, base, medianQuantile)
	out[signalTail] = p.latencyBlock(seen, base, tailQuantile)
	return out
}

// latencyBlock counts calls above the old version's quantile. The new version
// is given the margin of the policy.
func (p Policy) latencyBlock(seen *pair, base *baseline, quantile float64) block {
	bucket := base.long.quantile(quantile)
	return block{
		old:      seen.old.above(bucket),
		canary:    seen.canary.above(p.marginBucket(bucket)),
		expected: base.long.fractionAbove(bucket),
		recent:   base.recent.fractionAbove(bucket),
	}
}

// marginBucket returns the last bucket that is within the margins of a bucket.
func (p Policy) marginBucket(bucket int) int {
	slack := hornbeamwell.LatencyBucket(hornbeamwell.LatencyBucketBound(bucket) + p.LatencySlack)
	return max(bucket+p.LatencyMargin, slack)
}

// compare scores a block against the new version. It is zero where the old
// version has no calls to compare with.
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

// baselineMargin widens the margin where the new version is compared with the
// old one of earlier intervals.
const baselineMargin = 0.01

// compareHistory scores a block against what the old version did in earlier intervals.
// It can't tell a bad version from a fault that both versions would share.
func (s signal) compareHistory(b block) scores {
	out := scores{}
	expected := max(b.expected, b.recent)
	for i, excess := range s.excesses {
		canary := expected + excess
		out[i] = logEvidenceFixed(b.canary, canary, min(expected+s.margin+baselineMargin, canary))
	}
	return out
}
