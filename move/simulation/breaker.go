package simulation

import "github.com/hornbeamwell/hornbeamwell"

const (
	// breakerFailures is the number of failures after which a proxy stops
	// sending calls to the new version until the next step.
	breakerFailures = 5
	// breakerFailureRate is the part of calls that must fail besides, breakerFactor
	// the ratio to the part that fails with the old version.
	breakerFailureRate, breakerFactor = 0.05, 4
	// breakerWindows is the number of windows over which a proxy counts.
	breakerWindows = 10
)

// breaker estimates how many proxies cut the new version by themselves.
type breaker struct {
	// proxies is the number of proxies, zero for none that cut.
	proxies    int
	windows    int
	canary, old callCount
	// cut is the part of the proxies that cut it since the last step.
	cut float64
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
		b.cut = max(b.cut, min(float64(b.canary.failures)/float64(breakerFailures*b.proxies), 1))
	}
}

// reset ends the cuts at a new step.
func (b *breaker) reset() { *b = breaker{proxies: b.proxies} }

// limit returns the share that is left by the proxies that cut none.
func (b *breaker) limit(share hornbeamwell.Share) hornbeamwell.Share {
	return hornbeamwell.Share(float64(share) * (1 - b.cut))
}

func (p callCount) rate() float64 {
	return float64(p.failures) / float64(p.calls+1)
}
