package move

import "fmt"

// Thresholds are bounds beyond which a version is bad without a further test.
// They are for services with so few calls that the sequential tests need longer
// than the move lasts. The zero value finds nothing.
type Thresholds struct {
	// MinFailures is the least number of failures, FailingPart the least part of
	// the calls, FailingRatio the least ratio to the part of the old version's.
	MinFailures     uint64
	MinFailureRate  float64
	MinFailureRatio float64
	// MinLatencyCalls is the least number of calls, and SlowRatio the least ratio of
	// the new version's median latency to the old one's third quartile.
	MinLatencyCalls uint64
	MinLatencyRatio float64
}

// thirdQuartile is the quantile of the old version that a median is compared with.
const thirdQuartile = 0.75

// thresholdFault says what is plainly bad about the calls of a scope so far. It is
// empty where nothing is.
func (e *Evidence) thresholdFault() string {
	bounds := e.policy.Thresholds
	if bounds.MinFailures == 0 {
		return ""
	}
	for _, kind := range []scopeKind{scopeOverall, scopeRoute} {
		for _, key := range e.sortedScopes(kind) {
			if fault := bounds.fault(&e.scopes[key].seen); fault != "" {
				return fault + " on " + key.String()
			}
		}
	}
	return ""
}

func (b Thresholds) fault(seen *pair) string {
	canary, old := &seen.canary, &seen.old
	if canary.calls == 0 || old.calls == 0 {
		return ""
	}
	failing := float64(canary.failures) / float64(canary.calls)
	before := (float64(old.failures) + 1) / (float64(old.calls) + 1)
	if canary.failures >= b.MinFailures && failing >= b.MinFailureRate && failing >= b.MinFailureRatio*before {
		return fmt.Sprintf("failures: new %s, old %s", formatRatio(canary.failures, canary.calls), formatRatio(old.failures, old.calls))
	}
	if canary.calls < b.MinLatencyCalls || old.latency.Count() < b.MinLatencyCalls {
		return ""
	}
	median, usual := canary.latency.Quantile(medianQuantile), old.latency.Quantile(thirdQuartile)
	if float64(median) >= b.MinLatencyRatio*float64(usual) {
		return fmt.Sprintf("latency: new %s, old %s", formatLatencies(canary), formatLatencies(old))
	}
	return ""
}
