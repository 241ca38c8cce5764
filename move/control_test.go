package move

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestControl(t *testing.T) {
	stages := openMove(hornbeamwell.PhaseStages, 500)
	paused, err := ApplyControl(start, stages, hornbeamwell.MovePause)
	if err != nil || !paused.Paused || paused.Step != 2 {
		t.Fatalf("pause: %+v, %v", paused, err)
	}
	again, err := ApplyControl(start, paused, hornbeamwell.MovePause)
	if err != nil || again != paused {
		t.Fatalf("a second pause changed the move: %+v, %v", again, err)
	}
	resumed, err := ApplyControl(start, paused, hornbeamwell.MoveResume)
	if err != nil || resumed.Paused {
		t.Fatalf("resume: %+v, %v", resumed, err)
	}
	hastened, err := ApplyControl(start, stages, hornbeamwell.MoveHasten)
	if err != nil || !hastened.Hastened || hastened.Share != stages.Share {
		t.Fatalf("hasten: %+v, %v", hastened, err)
	}
	takenBack, err := ApplyControl(start, stages, hornbeamwell.MoveTakeBack)
	if err != nil || takenBack.Phase != hornbeamwell.PhaseTakingBack || takenBack.Share != 0 {
		t.Fatalf("take back: %+v, %v", takenBack, err)
	}
	_, err = ApplyControl(start, takenBack, hornbeamwell.MovePause)
	var controlErr *ControlError
	if !errors.As(err, &controlErr) || !errors.Is(err, hornbeamwell.ErrNotRun) {
		t.Fatalf("pause while taking back: %v", err)
	}
	_, err = ApplyControl(start, openMove(hornbeamwell.PhaseDone, hornbeamwell.FullShare), hornbeamwell.MoveTakeBack)
	var finalErr *FinalError
	if !errors.As(err, &finalErr) || finalErr.Phase != hornbeamwell.PhaseDone || !errors.Is(err, hornbeamwell.ErrNotRun) {
		t.Fatalf("take back after done: %v", err)
	}
	_, err = ApplyControl(start, stages, "stop")
	if !errors.As(err, &controlErr) {
		t.Fatalf("unknown control: %v", err)
	}
}
