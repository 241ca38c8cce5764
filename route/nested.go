package route

import (
	"math"
	"time"
)

const (
	// nestedWindow is the time constant of the share of runs in vain.
	nestedWindow = time.Second
	// minNestedAdmission is the least probability with which a call is admitted, so that
	// the end of a shortage is noticed.
	minNestedAdmission = 0.1
	// nestedPrior is the number of runs that is added to those seen, so that a single
	// run in vain refuses no more than a third of the next calls.
	nestedPrior = 2
	// maxNestedRoutes bounds the number of routes, whose names are those of other proxies.
	maxNestedRoutes = 10_000
)

// NestedShortage is the recent share of a target's runs that were in vain, because a
// call that the target made for them was refused. The zero value is empty. It is not safe
// for concurrent use.
type NestedShortage struct {
	routes map[string]nestedRuns
}

// nestedRuns counts the runs of a route, decayed to the time asOf.
type nestedRuns struct {
	all, inVain float64
	asOf        time.Time
}

func (n nestedRuns) at(now time.Time) nestedRuns {
	weight := math.Exp(-float64(max(now.Sub(n.asOf), 0)) / float64(nestedWindow))
	return nestedRuns{all: weight * n.all, inVain: weight * n.inVain, asOf: now}
}

// Record records the end of a run of the route.
func (s *NestedShortage) Record(now time.Time, route string, inVain bool) {
	if s.routes == nil {
		s.routes = make(map[string]nestedRuns)
	}
	if _, known := s.routes[route]; !known && len(s.routes) >= maxNestedRoutes {
		clear(s.routes)
	}
	runs := s.routes[route].at(now)
	runs.all++
	if inVain {
		runs.inVain++
	}
	s.routes[route] = runs
}

// Share returns the recent share of the route's runs that were in vain.
func (s *NestedShortage) Share(now time.Time, route string) float64 {
	runs := s.routes[route].at(now)
	return runs.inVain / (runs.all + nestedPrior)
}

// Admits reports whether a call of a route with the share is admitted. The probability is
// the square of the share of runs that are not in vain. These are only the admitted ones:
// where a fraction f of all calls could run to an end, the square makes the admitted
// settle at f^(2/3), above f, and the share itself only at f^(1/2).
func (s *NestedShortage) Admits(share float64, random Random) bool {
	const resolution = 1 << 20
	useful := 1 - share
	return float64(random.IntN(resolution)) < resolution*max(useful*useful, minNestedAdmission)
}

// RetryAfter returns the time after which a call that was refused because of the share
// is expected to be admitted.
func (s *NestedShortage) RetryAfter(share float64) time.Duration {
	return time.Duration(share * float64(nestedWindow))
}
