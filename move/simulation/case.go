package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// DisturbanceKind is a kind of event during a move that is not caused by the
// canary.
type DisturbanceKind string

// The kinds of disturbances.
const (
	// SharedFailures makes calls of both versions fail.
	SharedFailures DisturbanceKind = "shared_failures"
	// SharedSlowness increases the latency of both versions.
	SharedSlowness DisturbanceKind = "shared_slowness"
	// TargetBlip makes calls of one canary target fail for a short time.
	TargetBlip DisturbanceKind = "target_blip"
	// RestartAll restarts every canary target once.
	RestartAll DisturbanceKind = "herd"
	// ControlOutage stops all decisions. The evidence from before it is kept, that
	// of calls during it is lost.
	ControlOutage DisturbanceKind = "control_outage"
	// LeaderChange stops all decisions and discards the evidence.
	LeaderChange DisturbanceKind = "leader_change"
	// DisconnectProxies disconnects some proxies from the control instances.
	DisconnectProxies DisturbanceKind = "cut_proxies"
)

// Disturbance is one event of a DisturbanceKind.
type Disturbance struct {
	Kind DisturbanceKind
	// At is the time after the start of the move, Duration that from At to the
	// end of the disturbance.
	At, Duration time.Duration
	// Magnitude is the fraction of affected calls or proxies, or the factor on
	// the latency.
	Magnitude float64
}

func (d *Disturbance) isActive(after time.Duration) bool {
	return after >= d.At && after < d.At+d.Duration
}

// Case is the input of one simulated move.
type Case struct {
	Seed           uint64
	Service        Service
	Zones          []string
	Prefer         hornbeamwell.Preference
	Deadline, Hold time.Duration
	// Rate is the number of calls of the service per second.
	Rate float64
	// Proxies is the number of proxies with a circuit breaker on the canary, zero
	// for none.
	Proxies int
	// FailureRate is the failure rate of both versions without faults.
	FailureRate float64
	// LatencyFactor is the factor on the latency of the canary, apart from its
	// fault.
	LatencyFactor float64
	// PropagationDelay is the time from a decision until it is in force.
	PropagationDelay time.Duration
	Fault            Fault
	Disturbances     []Disturbance
}

// The ranges that cases are drawn from. minRate and maxRate are in calls per second.
// badFraction is the probability of a fault, disturbedFraction that of each further
// disturbance.
const (
	minRate, maxRate         = 30, 600
	minDeadline, maxDeadline = 120 * time.Second, 600 * time.Second
	holdTime                 = 30 * time.Second
	minProxies, maxProxies   = 6, 60
	minOnset, maxOnset       = 10 * time.Second, 200 * time.Second
	maxFailureRate           = 0.003
	badFraction              = 0.5
	disturbedFraction        = 0.4
)

// Generate returns the random case that the seed and number determine.
func Generate(d Deployment, seed, number uint64) Case {
	rng := rand.New(rand.NewPCG(seed, number))
	c := Case{
		Seed:             seed ^ number<<20,
		Service:          d.Services[rng.IntN(len(d.Services))],
		Zones:            d.Zones,
		Prefer:           d.Prefer,
		Deadline:         randomDuration(rng, minDeadline, maxDeadline).Round(time.Second),
		Hold:             holdTime,
		Rate:             minRate * math.Pow(maxRate/minRate, rng.Float64()),
		Proxies:          minProxies + rng.IntN(maxProxies-minProxies),
		FailureRate:      maxFailureRate * rng.Float64(),
		LatencyFactor:    0.9 + 0.2*rng.Float64(),
		PropagationDelay: randomDuration(rng, time.Second, 3*time.Second).Round(time.Second),
		Fault:            Fault{Kind: Good},
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
	excessFailures := math.Pow(10, -1.3+1.3*rng.Float64())
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
		f.ExcessFailures = excessFailures
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

// nonIdempotentRoutes returns the names of the non-idempotent routes. If all routes
// are idempotent, it returns that of the last one.
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
		Kind:     kinds[rng.IntN(len(kinds))],
		At:       randomDuration(rng, 0, c.Deadline).Round(time.Second),
		Duration: randomDuration(rng, 3*time.Second, 20*time.Second).Round(time.Second),
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
