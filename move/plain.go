package move

import "fmt"

// PlainBadness are bounds beyond which a version is bad without a further test.
// They are for services with so few calls that the sequential tests need longer
// than the move lasts. The zero value finds nothing.
type PlainBadness struct {
	// Failures is the least number of failures, FailingPart the least part of
	// the calls, FailingRatio the least ratio to the part of the old version's.
	Failures     uint64
	FailingPart  float64
	FailingRatio float64
	// SlowCalls is the least number of calls, and SlowRatio the least ratio of
	// the new version's median latency to the old one's third quartile.
	SlowCalls uint64
	SlowRatio float64
}

// thirdQuartile is the quantile of the old version that a median is compared with.
const thirdQuartile = 0.75

// plainFault says what is plainly bad about the calls of a scope so far. It is
// empty where nothing is.
func (e *Evidence) plainFault() string {
	bounds := e.policy.Plain
	if bounds.Failures == 0 {
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

func (b PlainBadness) fault(seen *pair) string {
	fresh, old := &seen.fresh, &seen.old
	if fresh.calls == 0 || old.calls == 0 {
		return ""
	}
	failing := float64(fresh.failures) / float64(fresh.calls)
	before := (float64(old.failures) + 1) / (float64(old.calls) + 1)
	if fresh.failures >= b.Failures && failing >= b.FailingPart && failing >= b.FailingRatio*before {
		return fmt.Sprintf("failures: new %s, old %s", ratio(fresh.failures, fresh.calls), ratio(old.failures, old.calls))
	}
	if fresh.calls < b.SlowCalls || old.latency.Count() < b.SlowCalls {
		return ""
	}
	median, usual := fresh.latency.Quantile(medianQuantile), old.latency.Quantile(thirdQuartile)
	if float64(median) >= b.SlowRatio*float64(usual) {
		return fmt.Sprintf("latency: new %s, old %s", latencies(fresh), latencies(old))
	}
	return ""
}
