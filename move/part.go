package move

import (
	"fmt"
	"math"
)

// PartThresholds bound faults in a part of the canary's calls. Such a fault moves neither the
// median nor, with few calls, a sequential test. The zero value disables them.
type PartThresholds struct {
	// MaxChance is the probability of the canary's failures, if it failed as often as the
	// old version, below which it is bad. MinFailures is their least number.
	MaxChance   float64
	MinFailures uint64
	// RateFactor and RateMargin widen the failure rate of the old version, since calls are
	// not quite independent.
	RateFactor, RateMargin float64
	// MinSlowness is the evidence for slow calls, in nats, from which a canary is bad (see
	// slowness).
	MinSlowness float64
	// MinOldCalls is the least number of calls of the old version to compare with.
	MinOldCalls uint64
}

// partFault describes a part of the canary's calls that fails or is slow. It is empty if
// there is none.
func (e *Evidence) partFault() string {
	bounds := e.policy.PartThresholds
	if bounds.MinFailures == 0 {
		return ""
	}
	for _, kind := range []scopeKind{scopeOverall, scopeRoute} {
		for _, key := range e.sortedScopes(kind) {
			if fault := bounds.failures(&e.scopes[key].seen); fault != "" {
				return fault + " on " + key.String()
			}
		}
	}
	if e.slowness.nats >= bounds.MinSlowness {
		return e.slowness.String()
	}
	return ""
}

// isDoubtfullySlow reports whether half of the evidence is there from which a canary is bad
// for slow calls.
func (e *Evidence) isDoubtfullySlow() bool {
	bound := e.policy.PartThresholds.MinSlowness
	return bound > 0 && e.slowness.nats >= bound/2
}

// failures describes an excess of failed calls. It is empty if there is none.
func (t PartThresholds) failures(seen *pair) string {
	old, canary := &seen.old, &seen.canary
	if old.calls < t.MinOldCalls || canary.failures < t.MinFailures {
		return ""
	}
	rate := (float64(old.failures) + 1) / (float64(old.calls) + 1)
	if t.isLikely(canary.calls, canary.failures, rate) {
		return ""
	}
	return fmt.Sprintf("failures: new %s, old %s", formatRatio(canary.failures, canary.calls), formatRatio(old.failures, old.calls))
}

// isLikely reports whether a version with the rate has this many hits with a probability of
// MaxChance or more.
func (t PartThresholds) isLikely(calls, hits uint64, rate float64) bool {
	rate = min(rate*t.RateFactor+t.RateMargin, 1)
	return binomialTail(calls, hits, rate) >= t.MaxChance
}

// binomialTail returns the probability of at least k hits in n trials with the probability p.
func binomialTail(n, k uint64, p float64) float64 {
	if k == 0 || p >= 1 {
		return 1
	}
	if p <= 0 || k > n {
		return 0
	}
	trials := float64(n)
	logP, logQ := math.Log(p), math.Log1p(-p)
	whole, _ := math.Lgamma(trials + 1)
	total := 0.0
	for i := float64(k); i <= trials; i++ {
		hits, _ := math.Lgamma(i + 1)
		misses, _ := math.Lgamma(trials - i + 1)
		term := math.Exp(whole - hits - misses + i*logP + (trials-i)*logQ)
		total += term
		if i > trials*p && term < total*1e-12 {
			break
		}
	}
	return min(total, 1)
}
