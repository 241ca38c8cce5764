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
	m := openMove(hornbeamwell.PhaseStages, 5000)
	e := collected(m, 10, observed("v1", 100, 0), observed("v2", 100, 0), onRoute("gone", observed("v1", 20, 0)))
	last := DefaultPolicy().Stages[len(DefaultPolicy().Stages)-1]
	if missing := e.missingProof(last, m.Share); !strings.Contains(missing, "route gone") {
		t.Fatalf("missing %q", missing)
	}
	for i := range idleIntervals + 2 {
		e.Add(start.Add(time.Duration(11+i)*time.Second), observed("v1", 100, 0), observed("v2", 100, 0))
	}
	if missing := e.missingProof(last, m.Share); missing != "" {
		t.Errorf("missing %q although the route is idle", missing)
	}
}

func TestBadRouteIsNamed(t *testing.T) {
	m := openMove(hornbeamwell.PhaseStages, 1000)
	e := collected(m, 20, observed("v1", 900, 0), observed("v2", 100, 0),
		onRoute("confirm", observed("v1", 90, 0)), onRoute("confirm", observed("v2", 10, 4)))
	verdict := e.Verdict()
	if !verdict.Bad || verdict.Scope != "route confirm" || e.Figures().WorstRoute != "confirm" {
		t.Errorf("verdict %+v, figures %+v", verdict, e.Figures())
	}
}

func TestSlowCanaryIsBadBeyondTheMargins(t *testing.T) {
	m := openMove(hornbeamwell.PhaseStages, 1000)
	for _, c := range []struct {
		latency time.Duration
		bad     bool
	}{{10 * time.Millisecond, false}, {13 * time.Millisecond, false}, {25 * time.Millisecond, true}} {
		canary := hornbeamwell.Observation{Key: observed("v2", 0, 0).Key, Calls: 20}
		for range canary.Calls {
			canary.Latency.Add(c.latency)
		}
		e := collected(m, 30, observed("v1", 180, 0), canary)
		if e.Verdict().Bad != c.bad {
			t.Errorf("%v: %+v", c.latency, e.Verdict())
		}
	}
}
