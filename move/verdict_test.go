package move

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// onRoute returns the observation with another route.
func onRoute(route string, o hornbeamwell.Observation) hornbeamwell.Observation {
	o.Key.Route = route
	return o
}

func TestIdleRouteNeedsNoProof(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseStages, 5000)
	e := collected(m, 10, observed("v1", 100, 0), observed("v2", 100, 0), onRoute("gone", observed("v1", 20, 0)))
	last := DefaultPolicy().Stages[len(DefaultPolicy().Stages)-1]
	if missing := e.missingProof(last, m.Share); !strings.Contains(missing, "route gone") {
		t.Fatalf("the missing proof is %q, want one on route gone", missing)
	}
	for i := range idleIntervals + 2 {
		e.Add(start.Add(time.Duration(11+i)*time.Second), observed("v1", 100, 0), observed("v2", 100, 0))
	}
	if missing := e.missingProof(last, m.Share); missing != "" {
		t.Errorf("the missing proof is %q although the route is idle, want none", missing)
	}
}

func TestBadRouteIsNamed(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseStages, 1000)
	e := collected(m, 20, observed("v1", 900, 0), observed("v2", 100, 0),
		onRoute("confirm", observed("v1", 90, 0)), onRoute("confirm", observed("v2", 10, 4)))
	verdict := e.Verdict()
	if !verdict.Bad || verdict.Scope != "route confirm" || e.Figures().WorstRoute != "confirm" {
		t.Errorf("the verdict is %+v and the figures are %+v, want bad because of the route confirm", verdict, e.Figures())
	}
}

func TestSlowCanaryIsBadBeyondTheMargins(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseStages, 1000)
	for _, c := range []struct {
		latency time.Duration
		isBad   bool
	}{{10 * time.Millisecond, false}, {13 * time.Millisecond, false}, {25 * time.Millisecond, true}} {
		canary := hornbeamwell.Observation{Key: observed("v2", 0, 0).Key, Calls: 20}
		for range canary.Calls {
			canary.Latency.Add(c.latency)
		}
		e := collected(m, 30, observed("v1", 180, 0), canary)
		if e.Verdict().Bad != c.isBad {
			t.Errorf("with a latency of %v the verdict is wrong: %+v", c.latency, e.Verdict())
		}
	}
}
