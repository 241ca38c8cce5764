package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// DisturbanceKind is something that happens during a move and is not the new
// version's fault.
type DisturbanceKind string

// The kinds of disturbances.
const (
	// SharedFailures fail calls of both versions.
	SharedFailures DisturbanceKind = "shared_failures"
	// SharedSlowness slows calls of both versions.
	SharedSlowness DisturbanceKind = "shared_slowness"
	// TargetBlip fails the calls of one new target.
	TargetBlip DisturbanceKind = "target_blip"
	// RestartAll restarts every new target once.
	RestartAll DisturbanceKind = "herd"
	// ControlOutage stops all decisions.
	ControlOutage DisturbanceKind = "control_outage"
	// LeaderChange loses the evidence and stops decisions for its time.
	LeaderChange DisturbanceKind = "leader_change"
	// DisconnectProxies cuts a part of the proxies from control.
	DisconnectProxies DisturbanceKind = "cut_proxies"
)

// Disturbance is one disturbance of a move.
type Disturbance struct {
	Kind DisturbanceKind
	// At is the time after the start of the move.
	At, Duration time.Duration
	// Magnitude is the part of calls or proxies concerned, or the factor of
	// latency.
	Magnitude float64
}

func (d *Disturbance) isActive(after time.Duration) bool {
	return after >= d.At && after < d.At+d.Duration
}

// Case is one move with everything that happens to it.
type Case struct {
	Seed           uint64
	Service        Service
	Zones          []string
	Prefer         hornbeamwell.Preference
	Deadline, Hold time.Duration
	// Rate is the number of calls of the service per second.
	Rate float64
	// Proxies is the number of proxies that cut a version they see fail, zero
	// for none.
	Proxies int
	// FailureRate is the part of calls that fail with either version.
	FailureRate float64
	// LatencyFactor is the factor on the latency of a good new version.
	LatencyFactor float64
	// PropagationDelay is the time after which a decision is in force.
	PropagationDelay          time.Duration
	Fault        Fault
	Disturbances []Disturbance
}

// The ranges that cases are drawn from.
const (
	minRate, maxRate         = 30, 600
	minDeadline, maxDeadline = 120 * time.Second, 600 * time.Second
	holdTime                = 30 * time.Second
	minProxies, maxProxies   = 6, 60
	minOnset, maxOnset       = 10 * time.Second, 200 * time.Second
	maxFailureRate               = 0.003
	badFraction                  = 0.5
	disturbedFraction            = 0.4
)

// Generate draws the case with a number from the seed.
func Generate(d Deployment, seed, number uint64) Case {
	rng := rand.New(rand.NewPCG(seed, number))
	c := Case{
		Seed:     seed ^ number<<20,
		Service:  d.Services[rng.IntN(len(d.Services))],
		Zones:    d.Zones,
		Prefer:   d.Prefer,
		Deadline: randomDuration(rng, minDeadline, maxDeadline).Round(time.Second),
		Hold:     holdTime,
		Rate:     minRate * math.Pow(maxRate/minRate, rng.Float64()),
		Proxies:  minProxies + rng.IntN(maxProxies-minProxies),
		FailureRate:  maxFailureRate * rng.Float64(),
		LatencyFactor:    0.9 + 0.2*rng.Float64(),
		PropagationDelay:      randomDuration(rng, time.Second, 3*time.Second).Round(time.Second),
		Fault:    Fault{Kind: Good},
	}
	if rng.Float64() < badFraction {
		c.Fault = drawFault(rng, &c)
	}
	for rng.Float64() < disturbedFraction {
		c.Disturbances = append(c.Disturbances, drawDisturbance(rng, &c))
	}
	return c
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

func drawFault(rng *rand.Rand, c *Case) Fault {
	kinds := BadKinds()
	f := Fault{Kind: kinds[rng.IntN(len(kinds))]}
	extra := math.Pow(10, -1.3+1.3*rng.Float64())
	slowdown := 1.6 + 2.4*rng.Float64()
	routes := c.Service.Routes
	switch f.Kind {
	case FailsSlightly:
		f.ExcessFailures = 0.01 + 0.01*rng.Float64()
	case SlowAtOnce, SlowLater, SlowUnderLoad, SlowOneRoute:
		f.Slowdown = slowdown
	case CrashLoop:
		f.CrashEvery = randomDuration(rng, 3*time.Second, 10*time.Second).Round(time.Second)
	default:
		f.ExcessFailures = extra
	}
	switch f.Kind {
	case FailsLater, SlowLater:
		f.Onset = randomDuration(rng, minOnset, min(maxOnset, c.Deadline)).Round(time.Second)
	case FailsUnderLoad, SlowUnderLoad:
		f.AboveShare = []hornbeamwell.Share{500, 1000, 2500, 5000}[rng.IntN(4)]
	case FailsOneRoute, SlowOneRoute:
		f.Routes = []string{routes[rng.IntN(len(routes))].Name}
	case FailsOneZone:
		f.Zone = c.Zones[rng.IntN(len(c.Zones))]
	case FailsNonIdempotent:
		f.Routes = nonIdempotentRoutes(routes)
	default:
	}
	return f
}

// nonIdempotentRoutes returns the names of the non-idempotent routes, or of the last
// route where all are idempotent.
func nonIdempotentRoutes(routes []Route) []string {
	names := []string{}
	for _, r := range routes {
		if !r.Idempotent {
			names = append(names, r.Name)
		}
	}
	if len(names) == 0 {
		names = append(names, routes[len(routes)-1].Name)
	}
	return names
}

func drawDisturbance(rng *rand.Rand, c *Case) Disturbance {
	kinds := []DisturbanceKind{SharedFailures, SharedSlowness, TargetBlip, RestartAll, ControlOutage, LeaderChange, DisconnectProxies}
	d := Disturbance{
		Kind: kinds[rng.IntN(len(kinds))],
		At:   randomDuration(rng, 0, c.Deadline).Round(time.Second),
		Duration:  randomDuration(rng, 3*time.Second, 20*time.Second).Round(time.Second),
	}
	switch d.Kind {
	case SharedFailures:
		d.Magnitude = 0.02 + 0.3*rng.Float64()
	case SharedSlowness:
		d.Magnitude = 1.3 + 2*rng.Float64()
	case TargetBlip:
		d.Magnitude = 0.3 + 0.7*rng.Float64()
		d.Duration = randomDuration(rng, time.Second, 2*time.Second).Round(time.Second)
	case DisconnectProxies:
		d.Magnitude = 0.02 + 0.2*rng.Float64()
	default:
	}
	return d
}
