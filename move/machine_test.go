package move

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// moveMachine is a model-based test of one move. Two controllers decide about it
// at once, operators send controls, the leader, targets and proxies change, and
// calls fail at random.
type moveMachine struct {
	now      time.Time
	board    *blackboard.Board
	leaders  [2]*Controller
	proposed []hornbeamwell.Move
	history  []hornbeamwell.Move
}

func newMoveMachine(t *rapid.T) *moveMachine {
	m := moveInPhase(hornbeamwell.PhaseAccepted, 0)
	m.Deadline = start.Add(time.Duration(rapid.IntRange(5, 300).Draw(t, "deadline")) * time.Second)
	m.Hold = time.Duration(rapid.IntRange(0, 60).Draw(t, "hold")) * time.Second
	m.Prefer = rapid.SampledFrom([]hornbeamwell.Preference{hornbeamwell.PreferSafety, hornbeamwell.PreferDeadline}).Draw(t, "prefer")
	x := &moveMachine{now: start, board: boardWith(m), history: []hornbeamwell.Move{m}}
	for i := range x.leaders {
		x.leaders[i] = NewController(ControllerOptions{
			Policy:  DefaultPolicy(),
			Propose: func(m hornbeamwell.Move) { x.proposed = append(x.proposed, m) },
		})
	}
	return x
}

func (x *moveMachine) move() hornbeamwell.Move { return x.board.Configuration.Moves[0] }

// commit commits a step unless another one was committed first.
func (x *moveMachine) commit(m hornbeamwell.Move) {
	if m.Step != x.move().Step+1 || x.move().Phase.IsFinal() {
		return
	}
	before := x.board.Configuration
	x.board.Configuration = &hornbeamwell.Configuration{Version: before.Version + 1, Services: before.Services, Moves: []hornbeamwell.Move{m}}
	x.history = append(x.history, m)
}

// advance advances the time by some seconds with random calls.
func (x *moveMachine) advance(t *rapid.T) {
	seconds := rapid.IntRange(1, 15).Draw(t, "seconds")
	calls := rapid.Uint64Range(0, 400).Draw(t, "calls")
	oldFailing := rapid.SampledFrom([]float64{0, 0, 0.01, 0.5}).Draw(t, "old failing")
	newFailing := rapid.SampledFrom([]float64{0, 0, 0.01, 0.3, 1}).Draw(t, "new failing")
	for range seconds {
		x.now = x.now.Add(time.Second)
		canary := uint64(float64(calls) * fractionOf(x.move().Share))
		x.board.Evidence = []hornbeamwell.Observation{
			observed("v1", calls-canary, uint64(oldFailing*float64(calls-canary))),
			observed("v2", canary, uint64(newFailing*float64(canary))),
		}
		x.step()
	}
}

// step runs both controllers and commits what they proposed.
func (x *moveMachine) step() {
	observations := x.board.Evidence
	for _, leader := range x.leaders {
		x.board.Evidence = observations
		leader.Step(x.now, x.board)
	}
	proposed := x.proposed
	x.proposed = nil
	for _, m := range proposed {
		x.commit(m)
	}
}

func (x *moveMachine) control(t *rapid.T) {
	control := rapid.SampledFrom([]hornbeamwell.MoveControl{
		hornbeamwell.MovePause, hornbeamwell.MoveResume, hornbeamwell.MoveHasten, hornbeamwell.MoveTakeBack,
	}).Draw(t, "control")
	next, err := ApplyControl(x.now, x.move(), control)
	if x.move().Phase.IsFinal() != (err != nil) && x.move().Phase != hornbeamwell.PhaseTakingBack {
		t.Fatalf("control %s in phase %s returned the error %v", control, x.move().Phase, err)
	}
	if err == nil && next != x.move() {
		x.commit(next)
	}
}

func (x *moveMachine) changeTargets(t *rapid.T) {
	id := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "target")
	target := x.board.Targets[id]
	target.Incarnation++
	target.State = rapid.SampledFrom([]hornbeamwell.TargetState{hornbeamwell.TargetReady, hornbeamwell.TargetReady, hornbeamwell.TargetGone}).Draw(t, "state")
	x.board.Targets[id] = target
	x.board.TargetsVersion++
}

func (x *moveMachine) changeProxies(t *rapid.T) {
	x.board.Convergence.Watermark = x.board.Configuration.Version - hornbeamwell.ConfigVersion(rapid.IntRange(0, 2).Draw(t, "behind"))
	x.board.Convergence.SilentCount = rapid.IntRange(0, 2).Draw(t, "silent")
}

func (x *moveMachine) changeLeader(*rapid.T) { x.board.Leadership.Term++ }

// check checks the invariants of the committed steps, whoever decided them.
func (x *moveMachine) check(t *rapid.T) {
	for i, m := range x.history[1:] {
		before := x.history[i]
		if before.Phase.IsFinal() {
			t.Fatalf("the final phase %s changed to %s", before.Phase, m.Phase)
		}
		if before.Phase == hornbeamwell.PhaseTakingBack && (m.Share != 0 || m.Phase == hornbeamwell.PhaseDone) {
			t.Fatalf("after taking_back the move has share %d in %s", m.Share, m.Phase)
		}
		if m.Phase == hornbeamwell.PhaseDone && m.Share != hornbeamwell.FullShare || m.Phase == hornbeamwell.PhaseTakenBack && m.Share != 0 {
			t.Fatalf("the move ended as %s with share %d", m.Phase, m.Share)
		}
		if m.Phase.IsFinal() && (m.EndedAt.IsZero() || m.Reason == "") {
			t.Fatalf("the move ended as %s without an end time or a reason: %+v", m.Phase, m)
		}
	}
}

func TestMoveMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newMoveMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass":    x.advance,
			"control": x.control,
			"targets": x.changeTargets,
			"proxies": x.changeProxies,
			"leader":  x.changeLeader,
			"":        x.check,
		})
		x.finish(t)
	})
}

// finish checks that the move ends without further events, whatever happened
// before.
func (x *moveMachine) finish(t *rapid.T) {
	bound := x.now
	if x.move().Deadline.After(bound) {
		bound = x.move().Deadline
	}
	bound = bound.Add(x.move().Hold + 4*DefaultPolicy().InForceTimeout)
	for !x.move().Phase.IsFinal() && x.now.Before(bound) {
		x.now = x.now.Add(time.Second)
		x.step()
	}
	if !x.move().Phase.IsFinal() {
		t.Fatalf("move has not ended after %v: %+v", x.now.Sub(start), x.move())
	}
	x.check(t)
}
