package move

import "fmt"

// Thresholds are bounds beyond which a canary is bad without a sequential test.
// They are for services with so few calls that the tests take longer than the
// move. A MinFailures of zero disables all of them.
type Thresholds struct {
	// MinFailures is the least number of failures of a bad canary, MinFailureRate
	// the least failure rate, and MinFailureRatio the least ratio to the failure
	// rate of the old version with one more failed call. All three must be reached.
	MinFailures     uint64
	MinFailureRate  float64
	MinFailureRatio float64
	// MinLatencyCalls is the least number of calls of each version for a
	// comparison of latencies, and MinLatencyRatio the least ratio of the
	// canary's median latency to the third quartile of the old version.
	MinLatencyCalls uint64
	MinLatencyRatio float64
}

// thirdQuartile is the quantile of the old version that the canary's median is
// compared with.
const thirdQuartile = 0.75

// thresholdFault describes the first threshold that is reached over all calls or on
// a route. It is empty if none is reached.
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
	canaryRate := float64(canary.failures) / float64(canary.calls)
	oldRate := (float64(old.failures) + 1) / (float64(old.calls) + 1)
	if canary.failures >= b.MinFailures && canaryRate >= b.MinFailureRate && canaryRate >= b.MinFailureRatio*oldRate {
		return fmt.Sprintf("failures: new %s, old %s", formatRatio(canary.failures, canary.calls), formatRatio(old.failures, old.calls))
	}
	if canary.calls < b.MinLatencyCalls || old.latency.Count() < b.MinLatencyCalls {
		return ""
	}
	median, oldThirdQuartile := canary.latency.Quantile(medianQuantile), old.latency.Quantile(thirdQuartile)
	if float64(median) >= b.MinLatencyRatio*float64(oldThirdQuartile) {
		return fmt.Sprintf("latency: new %s, old %s", formatLatencies(canary), formatLatencies(old))
	}
	return ""
}
