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
		signalFailures: {name: "failures", gap: p.FailureMargin, excesses: []float64{0.01, 0.03, 0.12, 0.5}, weight: 0.6},
		signalMedian:   {name: "latency", gap: 0.03, excesses: []float64{0.15, 0.4}, weight: 0.2},
		signalTail:     {name: "slowest calls", gap: 0.02, excesses: []float64{0.08, 0.4}, weight: 0.2},
	}
}

// block is what one slot saw of one route in one availability zone.
type block struct {
	old, fresh trials
	// expected is the probability of a hit of the old version, recent the
	// same over the last slots in which it had calls.
	expected, recent float64
}

// blocks returns the block of each signal. The latency ones are empty while
// the baseline is not usable.
func (p Policy) blocks(seen *pair, base *baseline) [signalCount]block {
	out := [signalCount]block{}
	out[signalFailures] = block{old: seen.old.failed(), fresh: seen.fresh.failed(), expected: base.long.failing(), recent: base.recent.failing()}
	if !base.knowsLatency() {
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
		fresh:    seen.fresh.above(p.slowerBucket(bucket)),
		expected: base.long.above(bucket),
		recent:   base.recent.above(bucket),
	}
}

// slowerBucket returns the last bucket that is within the margins of a bucket.
func (p Policy) slowerBucket(bucket int) int {
	slack := hornbeamwell.LatencyBucket(hornbeamwell.LatencyBucketBound(bucket) + p.LatencySlack)
	return max(bucket+p.LatencyMargin, slack)
}

// against scores a block against the new version. It is zero where the old
// version has no calls to compare with.
func (s signal) against(b block) scores {
	out := scores{}
	if b.fresh.n == 0 || b.old.n == 0 {
		return out
	}
	for i, excess := range s.excesses {
		out[i] = logEvidence(b.old, b.fresh, hypothesis{old: b.expected, fresh: b.expected + excess}, s.gap)
	}
	return out
}

// baselineMargin widens the margin where the new version is compared with the
// old one of earlier slots.
const baselineMargin = 0.01

// surprise scores a block against what the old version did in earlier slots.
// It can't tell a bad version from a fault that both versions would share.
func (s signal) surprise(b block) scores {
	out := scores{}
	expected := max(b.expected, b.recent)
	for i, excess := range s.excesses {
		fresh := expected + excess
		out[i] = logEvidenceFixed(b.fresh, fresh, min(expected+s.gap+baselineMargin, fresh))
	}
	return out
}
