package simulation

import "github.com/hornbeamwell/hornbeamwell"

const (
	// guardFailures is the number of failures after which a proxy stops
	// sending calls to the new version until the next step.
	guardFailures = 5
	// guardFailing is the part of calls that must fail besides, guardFactor
	// the ratio to the part that fails with the old version.
	guardFailing, guardFactor = 0.05, 4
	// guardWindows is the number of windows over which a proxy counts.
	guardWindows = 10
)

// guard estimates how many proxies cut the new version by themselves.
type guard struct {
	// proxies is the number of proxies, zero for none that cut.
	proxies    int
	windows    int
	fresh, old pairCount
	// cut is the part of the proxies that cut it since the last step.
	cut float64
}

// see counts the calls of one window.
func (g *guard) see(observations []hornbeamwell.Observation) {
	if g.windows == guardWindows {
		g.windows, g.fresh, g.old = 0, pairCount{}, pairCount{}
	}
	g.windows++
	for i := range observations {
		count := &g.old
		if observations[i].Key.Version == newVersion {
			count = &g.fresh
		}
		count.calls += observations[i].Calls
		count.failures += observations[i].Failures
	}
	rate := g.fresh.rate()
	if g.proxies > 0 && rate > guardFailing && rate > guardFactor*g.old.rate() {
		g.cut = max(g.cut, min(float64(g.fresh.failures)/float64(guardFailures*g.proxies), 1))
	}
}

// lift ends the cuts at a new step.
func (g *guard) lift() { *g = guard{proxies: g.proxies} }

// limit returns the share that is left by the proxies that cut none.
func (g *guard) limit(share hornbeamwell.Share) hornbeamwell.Share {
	return hornbeamwell.Share(float64(share) * (1 - g.cut))
}

func (p pairCount) rate() float64 {
	return float64(p.failures) / float64(p.calls+1)
}
