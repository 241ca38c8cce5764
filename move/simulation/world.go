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
	// noiseSpread is that of a version's latency over one window.
	noiseSpread = 0.04
	// leaseTime is the lease on the share of an unproved version.
	leaseTime = 10 * time.Second
	window    = time.Second
	// crossing is the time that a call to another availability zone and back
	// takes. Callers of the old version find a target in their own zone.
	crossing = 3 * time.Millisecond
)

// world draws the calls of one case.
type world struct {
	c   *Case
	rng *rand.Rand
}

func newWorld(c *Case) *world {
	return &world{c: c, rng: rand.New(rand.NewPCG(c.Seed, 1))}
}

// outcome is what one window of calls did.
type outcome struct {
	observations []hornbeamwell.Observation
	// harmed counts the calls that the fault failed or slowed.
	harmed uint64
}

// traffic is how the calls of a window are split.
type traffic struct {
	after time.Duration
	share hornbeamwell.Share
	// cut is the part of calls through proxies cut from control. They send
	// cutShare to the new version and their evidence is lost.
	cut      float64
	cutShare hornbeamwell.Share
}

// draw returns the calls of one window.
func (w *world) draw(t traffic) outcome {
	out := outcome{}
	for _, route := range w.c.Service.Routes {
		for _, zone := range w.c.Zones {
			rate := w.c.Rate * window.Seconds() * route.Part / float64(len(w.c.Zones))
			reached := rate * (1 - t.cut)
			fresh := w.calls(t, route, zone, newVersion, reached*partOf(t.share))
			old := w.calls(t, route, zone, oldVersion, reached*(1-partOf(t.share)))
			lost := w.calls(t, route, zone, newVersion, rate*t.cut*partOf(t.cutShare))
			out.harmed += fresh.harmed + lost.harmed
			out.observations = append(out.observations, fresh.observations...)
			out.observations = append(out.observations, old.observations...)
		}
	}
	return out
}

// calls draws the calls of one version on one route in one zone.
func (w *world) calls(t traffic, route Route, zone, version string, expected float64) outcome {
	n := w.poisson(expected)
	if n == 0 {
		return outcome{}
	}
	failing, slowdown := w.c.Failing, 1.0
	for i := range w.c.Disturbances {
		failing, slowdown = w.disturb(&w.c.Disturbances[i], t.after, version, failing, slowdown)
	}
	out := outcome{}
	if version == newVersion {
		slowdown *= w.c.Speed
		if w.c.Fault.isActive(t.after, t.share, route.Name, zone) {
			extra := w.c.Fault.Extra + w.crashing(t.after)
			out.harmed = w.binomial(n, extra)
			failing += extra
			if w.c.Fault.Slowdown > 1 {
				slowdown *= w.c.Fault.Slowdown
				out.harmed = n
			}
		}
	}
	failures := w.binomial(n, failing)
	o := hornbeamwell.Observation{
		Key:   hornbeamwell.EvidenceKey{Service: w.c.Service.Name, Version: version, Route: route.Name, Zone: zone},
		Calls: n, Failures: failures,
	}
	w.latencies(&o.Latency, n-failures, float64(route.Median)*slowdown, w.crossings(t.share, version))
	out.observations = append(out.observations, o)
	return out
}

// disturb applies a disturbance to the failing part and the slowdown.
func (w *world) disturb(d *Disturbance, after time.Duration, version string, failing, slowdown float64) (float64, float64) {
	if !d.isActive(after) {
		return failing, slowdown
	}
	switch d.Kind {
	case SharedFailures:
		return failing + d.Size, slowdown
	case SharedSlowness:
		return failing, slowdown * d.Size
	case TargetBlip:
		if version == newVersion {
			return failing + d.Size/float64(w.c.Service.Targets), slowdown
		}
	case Herd:
		if version == newVersion && after < d.At+window {
			return failing + 0.5, slowdown
		}
	default:
	}
	return failing, slowdown
}

// crashing is the part of calls that fail because a new target crashed within
// the window.
func (w *world) crashing(after time.Duration) float64 {
	every := w.c.Fault.CrashEvery
	if every == 0 || after%every >= window {
		return 0
	}
	return 1 / float64(w.c.Service.Targets)
}

func (w *world) latencies(h *hornbeamwell.LatencyHistogram, n uint64, median, crossings float64) {
	median *= math.Exp(noiseSpread * w.rng.NormFloat64())
	for range n {
		latency := time.Duration(median * math.Exp(latencySpread*w.rng.NormFloat64()))
		if crossings > 0 && w.rng.Float64() < crossings {
			latency += crossing
		}
		h.Add(latency)
	}
}

// crossings is the part of the calls that reach a target in another zone. A
// small share is served by few targets, which not every zone has.
func (w *world) crossings(share hornbeamwell.Share, version string) float64 {
	if version == oldVersion {
		return 0
	}
	targets := math.Ceil(float64(w.c.Service.Targets) * partOf(share))
	return max(0, 1-targets/float64(len(w.c.Zones)))
}

func (w *world) poisson(expected float64) uint64 {
	if expected <= 0 {
		return 0
	}
	return uint64(distuv.Poisson{Lambda: expected, Src: w.rng}.Rand())
}

func (w *world) binomial(n uint64, p float64) uint64 {
	p = min(max(p, 0), 1)
	if p == 0 || n == 0 {
		return 0
	}
	return uint64(distuv.Binomial{N: float64(n), P: p, Src: w.rng}.Rand())
}

func partOf(share hornbeamwell.Share) float64 {
	return float64(share) / float64(hornbeamwell.FullShare)
}
