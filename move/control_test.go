package move

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestControl(t *testing.T) {
	stages := moveInPhase(hornbeamwell.PhaseStages, 500)
	paused, err := ApplyControl(start, stages, hornbeamwell.MovePause)
	if err != nil || !paused.Paused || paused.Step != 2 {
		t.Fatalf("pause returned %+v, %v, want a paused move at step 2", paused, err)
	}
	again, err := ApplyControl(start, paused, hornbeamwell.MovePause)
	if err != nil || again != paused {
		t.Fatalf("a second pause changed the move: %+v, %v", again, err)
	}
	resumed, err := ApplyControl(start, paused, hornbeamwell.MoveResume)
	if err != nil || resumed.Paused {
		t.Fatalf("resume returned %+v, %v, want a move that is not paused", resumed, err)
	}
	hastened, err := ApplyControl(start, stages, hornbeamwell.MoveHasten)
	if err != nil || !hastened.Hastened || hastened.Share != stages.Share {
		t.Fatalf("hasten returned %+v, %v, want a hastened move with the same share", hastened, err)
	}
	takenBack, err := ApplyControl(start, stages, hornbeamwell.MoveTakeBack)
	if err != nil || takenBack.Phase != hornbeamwell.PhaseTakingBack || takenBack.Share != 0 {
		t.Fatalf("take_back returned %+v, %v, want taking_back with share 0", takenBack, err)
	}
	_, err = ApplyControl(start, takenBack, hornbeamwell.MovePause)
	var controlErr *ControlError
	if !errors.As(err, &controlErr) || !errors.Is(err, hornbeamwell.ErrNotRun) {
		t.Fatalf("pause while taking back returned %v, want a ControlError", err)
	}
	_, err = ApplyControl(start, moveInPhase(hornbeamwell.PhaseDone, hornbeamwell.FullShare), hornbeamwell.MoveTakeBack)
	var finalErr *FinalError
	if !errors.As(err, &finalErr) || finalErr.Phase != hornbeamwell.PhaseDone || !errors.Is(err, hornbeamwell.ErrNotRun) {
		t.Fatalf("take_back after done returned %v, want a FinalError", err)
	}
	_, err = ApplyControl(start, stages, "stop")
	if !errors.As(err, &controlErr) {
		t.Fatalf("an unknown control returned %v, want a ControlError", err)
	}
}
