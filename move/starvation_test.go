package move

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestStarvedCanaryIsComparedAndThenTakenBack(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseStages, 500)
	starved := collected(m, 20, observed("v1", 200, 0))
	next, _ := DefaultPolicy().Decide(start.Add(20*time.Second), m, starved, healthyMesh())
	if next.Share != 500 || !strings.Contains(next.Reason, "proxies stopped") {
		t.Fatalf("after 20 s the move is %s with share %d (%s), want a comparison with share 500", next.Phase, next.Share, next.Reason)
	}
	starved.StartStage(start.Add(20*time.Second), next.Share)
	for i := range 20 {
		starved.Add(start.Add(time.Duration(21+i)*time.Second), observed("v1", 200, 0))
	}
	next, _ = DefaultPolicy().Decide(start.Add(41*time.Second), next, starved, healthyMesh())
	if next.Phase != hornbeamwell.PhaseTakingBack {
		t.Fatalf("after 41 s the move is %s with share %d (%s), want it taken back", next.Phase, next.Share, next.Reason)
	}
}

func TestColdCallsDoNotCountAsStarvation(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseStages, 500)
	cold := observed("v2", 0, 0)
	cold.ColdCalls = 10
	e := collected(m, 20, observed("v1", 190, 0), cold)
	if e.isStarved() {
		t.Error("cold calls count as starvation")
	}
	if f := e.Figures(); f.NewCalls != 0 {
		t.Errorf("cold calls were judged: %+v", f)
	}
}

func TestTakeBackWaitsForTheLeaseOfSilentProxies(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseTakingBack, 0)
	s := healthyMesh()
	s.SilentCount = 2
	if _, changed := DefaultPolicy().Decide(start.Add(5*time.Second), m, nil, s); changed {
		t.Error("the take-back ended before the lease of the silent proxies expired")
	}
	next, _ := DefaultPolicy().Decide(start.Add(DefaultPolicy().InForceTimeout), m, nil, s)
	if next.Phase != hornbeamwell.PhaseTakenBack || !strings.Contains(next.Reason, "2 silent proxies") {
		t.Errorf("after InForceTimeout the move is %s (%s), want taken_back with 2 silent proxies", next.Phase, next.Reason)
	}
}

// TestEvacuatedCanaryKeepsItsStage guards against a fallback or a raised share of a move
// whose canary gets no calls because all its ready targets are in evacuated zones.
func TestEvacuatedCanaryKeepsItsStage(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseStages, 500)
	s := healthyMesh()
	s.To.Evacuated, s.To.Slots = s.To.Ready, 0
	e := collected(m, 20, observed("v1", 200, 0))
	e.markEvacuated(start.Add(20 * time.Second))
	if next, changed := DefaultPolicy().Decide(start.Add(20*time.Second), m, e, s); changed {
		t.Errorf("during the evacuation the move became %s with share %d (%s)", next.Phase, next.Share, next.Reason)
	}
	if next, changed := DefaultPolicy().Decide(start.Add(21*time.Second), m, e, healthyMesh()); changed && next.Share <= m.Share {
		t.Errorf("after the evacuation the move became %s with share %d (%s)", next.Phase, next.Share, next.Reason)
	}
}

func TestShareNotYetInForceDoesNotCountAsStarvation(t *testing.T) {
	m := moveInPhase(hornbeamwell.PhaseStages, 500)
	e := collected(m, 14, observed("v1", 200, 0))
	if e.isStarved() {
		t.Error("the canary counts as starved before its share is in force")
	}
}
