package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	oldVersion, newVersion = "v1", "v2"
	// latencySpread is the standard deviation of the logarithm of a latency.
	latencySpread = 0.5
	// noiseSpread is the standard deviation of the logarithm of a version's median
	// latency from window to window.
	noiseSpread = 0.04
	// leaseTime is the lease of a disconnected proxy on the share of the canary, and
	// window the time over which calls are generated and counted before each
	// decision.
	leaseTime = 10 * time.Second
	window    = time.Second
	// crossZoneLatency is the round-trip time to another availability zone.
	// Callers of the old version find a target in their own zone.
	crossZoneLatency = 3 * time.Millisecond
)

// callGenerator generates the random calls of one case.
type callGenerator struct {
	c   *Case
	rng *rand.Rand
}

func newCallGenerator(c *Case) *callGenerator {
	return &callGenerator{c: c, rng: rand.New(rand.NewPCG(c.Seed, 1))}
}

// windowCalls holds the generated calls of one window.
type windowCalls struct {
	observations []hornbeamwell.Observation
	// harmed counts the calls that failed or were slow because of the fault.
	harmed uint64
}

// traffic describes how the calls of a window are split between the versions.
type traffic struct {
	// after is the time since the start of the move.
	after time.Duration
	share hornbeamwell.Share
	// disconnected is the fraction of calls through proxies that are disconnected
	// from the control instances. They send disconnectedShare to the canary, and
	// their evidence is lost.
	disconnected      float64
	disconnectedShare hornbeamwell.Share
}

// draw generates the calls of one window.
func (g *callGenerator) draw(t traffic) windowCalls {
	out := windowCalls{}
	for _, route := range g.c.Service.Routes {
		for _, zone := range g.c.Zones {
			rate := g.c.Rate * window.Seconds() * route.Fraction / float64(len(g.c.Zones))
			reached := rate * (1 - t.disconnected)
			canary := g.calls(t, route, zone, newVersion, reached*fractionOf(t.share))
			old := g.calls(t, route, zone, oldVersion, reached*(1-fractionOf(t.share)))
			lost := g.calls(t, route, zone, newVersion, rate*t.disconnected*fractionOf(t.disconnectedShare))
			out.harmed += canary.harmed + lost.harmed
			out.observations = append(out.observations, canary.observations...)
			out.observations = append(out.observations, old.observations...)
		}
	}
	return out
}

// calls generates the calls of one version on one route in one zone.
func (g *callGenerator) calls(t traffic, route Route, zone, version string, expected float64) windowCalls {
	n := g.poisson(expected)
	if n == 0 {
		return windowCalls{}
	}
	failureRate, slowdown := g.c.FailureRate, 1.0
	for i := range g.c.Disturbances {
		failureRate, slowdown = g.disturb(&g.c.Disturbances[i], t.after, version, failureRate, slowdown)
	}
	out := windowCalls{}
	if version == newVersion {
		slowdown *= g.c.LatencyFactor
		if g.c.Fault.isActive(t.after, t.share, route.Name, zone) {
			extra := g.c.Fault.ExcessFailures + g.crashFailureRate(t.after)
			out.harmed = g.binomial(n, extra)
			failureRate += extra
			if g.c.Fault.Slowdown > 1 {
				slowdown *= g.c.Fault.Slowdown
				out.harmed = n
			}
		}
	}
	failures := g.binomial(n, failureRate)
	o := hornbeamwell.Observation{
		Key:   hornbeamwell.EvidenceKey{Service: g.c.Service.Name, Version: version, Route: route.Name, Zone: zone},
		Calls: n, Failures: failures,
	}
	g.latencies(&o.Latency, n-failures, float64(route.Median)*slowdown, g.crossZoneFraction(t.share, version))
	out.observations = append(out.observations, o)
	return out
}

// disturb applies a disturbance to the failure rate and the slowdown.
func (g *callGenerator) disturb(d *Disturbance, after time.Duration, version string, failureRate, slowdown float64) (float64, float64) {
	if !d.isActive(after) {
		return failureRate, slowdown
	}
	switch d.Kind {
	case SharedFailures:
		return failureRate + d.Magnitude, slowdown
	case SharedSlowness:
		return failureRate, slowdown * d.Magnitude
	case TargetBlip:
		if version == newVersion {
			return failureRate + d.Magnitude/float64(g.c.Service.Targets), slowdown
		}
	case RestartAll:
		if version == newVersion && after < d.At+window {
			return failureRate + 0.5, slowdown
		}
	default:
	}
	return failureRate, slowdown
}

// crashFailureRate returns the fraction of calls that fail because a canary target
// crashed in the window.
func (g *callGenerator) crashFailureRate(after time.Duration) float64 {
	every := g.c.Fault.CrashEvery
	if every == 0 || after%every >= window {
		return 0
	}
	return 1 / float64(g.c.Service.Targets)
}

func (g *callGenerator) latencies(h *hornbeamwell.LatencyHistogram, n uint64, median, crossZone float64) {
	median *= math.Exp(noiseSpread * g.rng.NormFloat64())
	for range n {
		latency := time.Duration(median * math.Exp(latencySpread*g.rng.NormFloat64()))
		if crossZone > 0 && g.rng.Float64() < crossZone {
			latency += crossZoneLatency
		}
		h.Add(latency)
	}
}

// crossZoneFraction returns the fraction of the calls that go to a target in
// another zone. The few targets that serve a small share are not in every zone.
func (g *callGenerator) crossZoneFraction(share hornbeamwell.Share, version string) float64 {
	if version == oldVersion {
		return 0
	}
	targets := math.Ceil(float64(g.c.Service.Targets) * fractionOf(share))
	return max(0, 1-targets/float64(len(g.c.Zones)))
}

func (g *callGenerator) poisson(expected float64) uint64 {
	if expected <= 0 {
		return 0
	}
	return uint64(distuv.Poisson{Lambda: expected, Src: g.rng}.Rand())
}

func (g *callGenerator) binomial(n uint64, p float64) uint64 {
	p = min(max(p, 0), 1)
	if p == 0 || n == 0 {
		return 0
	}
	return uint64(distuv.Binomial{N: float64(n), P: p, Src: g.rng}.Rand())
}

func fractionOf(share hornbeamwell.Share) float64 {
	return float64(share) / float64(hornbeamwell.FullShare)
}
