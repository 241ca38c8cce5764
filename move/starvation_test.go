package move

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestStarvedCanaryIsComparedAndThenTakenBack(t *testing.T) {
	m := openMove(hornbeamwell.PhaseStages, 500)
	starved := collected(m, 20, observed("v1", 200, 0))
	next, _ := DefaultPolicy().Decide(start.Add(20*time.Second), m, starved, healthy())
	if next.Share != 500 || !strings.Contains(next.Reason, "proxies stopped") {
		t.Fatalf("after 20 s: %s at %d: %s", next.Phase, next.Share, next.Reason)
	}
	starved.StartStage(start.Add(20*time.Second), next.Share)
	for i := range 20 {
		starved.Add(start.Add(time.Duration(21+i)*time.Second), observed("v1", 200, 0))
	}
	next, _ = DefaultPolicy().Decide(start.Add(41*time.Second), next, starved, healthy())
	if next.Phase != hornbeamwell.PhaseTakingBack {
		t.Fatalf("after 41 s: %s at %d: %s", next.Phase, next.Share, next.Reason)
	}
}

func TestColdCallsDoNotCountAsStarvation(t *testing.T) {
	m := openMove(hornbeamwell.PhaseStages, 500)
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
	m := openMove(hornbeamwell.PhaseTakingBack, 0)
	s := healthy()
	s.SilentProxies = 2
	if _, changed := DefaultPolicy().Decide(start.Add(5*time.Second), m, nil, s); changed {
		t.Error("ended before the lease of the silent proxies")
	}
	next, _ := DefaultPolicy().Decide(start.Add(DefaultPolicy().InForceTimeout), m, nil, s)
	if next.Phase != hornbeamwell.PhaseTakenBack || !strings.Contains(next.Reason, "2 silent proxies") {
		t.Errorf("%s: %s", next.Phase, next.Reason)
	}
}

func TestShareNotYetInForceDoesNotCountAsStarvation(t *testing.T) {
	m := openMove(hornbeamwell.PhaseStages, 500)
	e := collected(m, 14, observed("v1", 200, 0))
	if e.isStarved() {
		t.Error("starved before the share was in force")
	}
}
