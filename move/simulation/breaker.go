package simulation

import "github.com/hornbeamwell/hornbeamwell"

const (
	// breakerFailures is the number of failures after which a proxy sends no more
	// calls to the canary until the next step.
	breakerFailures = 5
	// breakerFailureRate is the failure rate that must be exceeded as well, and
	// breakerFactor the ratio to the failure rate of the old version.
	breakerFailureRate, breakerFactor = 0.05, 4
	// breakerWindows is the number of windows after which the counts of a proxy
	// restart.
	breakerWindows = 10
)

// breaker estimates how many proxies opened their circuit breaker on the canary.
type breaker struct {
	// proxies is the number of proxies with a circuit breaker.
	proxies     int
	windows     int
	canary, old callCount
	// openFraction is the fraction of the proxies whose circuit breaker is open.
	openFraction float64
}

// observe counts the calls of one window.
func (b *breaker) observe(observations []hornbeamwell.Observation) {
	if b.windows == breakerWindows {
		b.windows, b.canary, b.old = 0, callCount{}, callCount{}
	}
	b.windows++
	for i := range observations {
		count := &b.old
		if observations[i].Key.Version == newVersion {
			count = &b.canary
		}
		count.calls += observations[i].Calls
		count.failures += observations[i].Failures
	}
	rate := b.canary.rate()
	if b.proxies > 0 && rate > breakerFailureRate && rate > breakerFactor*b.old.rate() {
		b.openFraction = max(b.openFraction, min(float64(b.canary.failures)/float64(breakerFailures*b.proxies), 1))
	}
}

// reset closes all circuit breakers at a new step.
func (b *breaker) reset() { *b = breaker{proxies: b.proxies} }

// limit returns the share that remains from the proxies whose circuit breaker is
// closed.
func (b *breaker) limit(share hornbeamwell.Share) hornbeamwell.Share {
	return hornbeamwell.Share(float64(share) * (1 - b.openFraction))
}

func (c callCount) rate() float64 {
	// One more call that succeeded keeps the rate defined without calls.
	return float64(c.failures) / float64(c.calls+1)
}
