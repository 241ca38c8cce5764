package move

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

func boardWith(m hornbeamwell.Move) *blackboard.Board {
	board := &blackboard.Board{
		Configuration: &hornbeamwell.Configuration{
			Version:  7,
			Services: []hornbeamwell.Service{{Name: "credit", Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}, {Name: "v2"}}}},
			Moves:    []hornbeamwell.Move{m},
		},
		Leadership:  blackboard.Leadership{HoldsLease: true, Term: 1},
		Targets:     map[string]hornbeamwell.Target{},
		Convergence: hornbeamwell.Convergence{Version: 7, Watermark: 7},
	}
	for _, id := range []string{"v1", "v2"} {
		board.Targets[id] = hornbeamwell.Target{ID: id, Service: "credit", Version: id, Slots: 10, State: hornbeamwell.TargetReady, Incarnation: 1}
	}
	return board
}

func TestControllerRepeatsAProposalOnlyAfterItsTimeout(t *testing.T) {
	proposed := []hornbeamwell.Move{}
	c := NewController(ControllerOptions{Policy: DefaultPolicy(), Propose: func(m hornbeamwell.Move) { proposed = append(proposed, m) }})
	board := boardWith(moveInPhase(hornbeamwell.PhaseAccepted, 0))
	c.Step(start, board)
	c.Step(start.Add(time.Second), board)
	if len(proposed) != 1 || proposed[0].Phase != hornbeamwell.PhaseWarming {
		t.Fatalf("proposed %+v, want one step to warming", proposed)
	}
	c.Step(start.Add(proposalTimeout), board)
	if len(proposed) != 2 || proposed[1].Step != proposed[0].Step {
		t.Fatalf("after the timeout proposed %+v, want the same step again", proposed)
	}
	board.Configuration = &hornbeamwell.Configuration{Version: 8, Services: board.Configuration.Services, Moves: proposed[1:]}
	c.Step(start.Add(3*time.Second), board)
	if len(proposed) != 3 || proposed[2].Phase != hornbeamwell.PhaseStages {
		t.Fatalf("after the step was committed proposed %+v, want a step to the stages", proposed)
	}
}

func TestControllerWithoutLeadershipProposesNothing(t *testing.T) {
	c := NewController(ControllerOptions{Policy: DefaultPolicy(), Propose: func(m hornbeamwell.Move) { t.Fatalf("proposed %+v", m) }})
	board := boardWith(moveInPhase(hornbeamwell.PhaseAccepted, 0))
	board.Leadership.HoldsLease = false
	board.Evidence = []hornbeamwell.Observation{observed("v2", 5, 0)}
	c.Step(start, board)
	if len(board.Evidence) != 0 {
		t.Error("evidence of the board was not consumed")
	}
	report, ok := c.Report(start, "m1")
	if !ok || report.WaitsFor == "" {
		t.Errorf("the report is %+v (found %v), want one that says what the move waits for", report, ok)
	}
}

func TestControllerDropsEvidenceWhenTheTermChanges(t *testing.T) {
	c := NewController(ControllerOptions{Policy: DefaultPolicy(), Propose: func(hornbeamwell.Move) {}})
	board := boardWith(moveInPhase(hornbeamwell.PhaseStages, 500))
	for i := range 5 {
		board.Evidence = []hornbeamwell.Observation{observed("v1", 95, 0), observed("v2", 5, 0)}
		c.Step(start.Add(time.Duration(i)*time.Second), board)
	}
	report, _ := c.Report(start.Add(5*time.Second), "m1")
	if report.ShareInForce != 500 || report.Routes[0].Figures.NewCalls != 25 {
		t.Fatalf("the report is %+v, want a share of 500 in force and 25 calls of the new version", report)
	}
	board.Leadership.Term = 2
	c.Step(start.Add(5*time.Second), board)
	report, _ = c.Report(start.Add(5*time.Second), "m1")
	if len(report.Routes) != 0 {
		t.Fatalf("evidence of the previous term was kept: %+v", report)
	}
}

func TestControllerCountsRestartsOfTheNewVersion(t *testing.T) {
	proposed := []hornbeamwell.Move{}
	c := NewController(ControllerOptions{Policy: DefaultPolicy(), Propose: func(m hornbeamwell.Move) { proposed = append(proposed, m) }})
	board := boardWith(moveInPhase(hornbeamwell.PhaseStages, 500))
	for i := range 4 {
		target := board.Targets["v2"]
		target.Incarnation = uint64(i + 1)
		board.Targets["v2"] = target
		board.TargetsVersion++
		c.Step(start.Add(time.Duration(i)*time.Second), board)
	}
	if len(proposed) != 1 || proposed[0].Phase != hornbeamwell.PhaseTakingBack {
		t.Fatalf("proposed %+v, want one step to taking_back", proposed)
	}
}
