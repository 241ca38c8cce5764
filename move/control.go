package move

import (
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// FinalError is returned for a control of a move that has ended. The control is
// not applied.
type FinalError struct {
	ID    string
	Phase hornbeamwell.Phase
}

// Error returns the text of the error.
func (e *FinalError) Error() string {
	return fmt.Sprintf("move %s is %s, which is final; start a new move", e.ID, e.Phase)
}

// Is reports that a FinalError is an ErrNotRun.
func (e *FinalError) Is(target error) bool { return target == hornbeamwell.ErrNotRun }

// ControlError is returned for a control that is unknown or not possible in the
// phase of the move. The control is not applied.
type ControlError struct {
	ID      string
	Control hornbeamwell.MoveControl
	Problem string
}

// Error returns the text of the error.
func (e *ControlError) Error() string {
	return fmt.Sprintf("move %s: %s: %s", e.ID, e.Control, e.Problem)
}

// Is reports that a ControlError is an ErrNotRun.
func (e *ControlError) Is(target error) bool { return target == hornbeamwell.ErrNotRun }

// ApplyControl applies an operator's control to a move. It returns the move
// unchanged if the control has no effect, such as pausing a paused move. It runs
// in the replicated state machine, so its result, texts included, depends on
// its arguments alone.
func ApplyControl(now time.Time, m hornbeamwell.Move, control hornbeamwell.MoveControl) (hornbeamwell.Move, error) {
	if m.Phase.IsFinal() {
		return m, &FinalError{ID: m.ID, Phase: m.Phase}
	}
	switch control {
	case hornbeamwell.MovePause:
		return pause(m)
	case hornbeamwell.MoveResume:
		return resume(m)
	case hornbeamwell.MoveHasten:
		return hasten(m)
	case hornbeamwell.MoveTakeBack:
		return takeBack(now, m)
	}
	return m, &ControlError{ID: m.ID, Control: control, Problem: "unknown; use pause, resume, hasten or take_back"}
}

func pause(m hornbeamwell.Move) (hornbeamwell.Move, error) {
	if m.Phase == hornbeamwell.PhaseTakingBack {
		return m, &ControlError{ID: m.ID, Control: hornbeamwell.MovePause, Problem: "the move is being taken back"}
	}
	if m.Paused {
		return m, nil
	}
	m.Paused = true
	m.Reason = "paused by an operator; the share stays until resume, and bad evidence or the deadline still ends the move"
	return nextStep(m), nil
}

func resume(m hornbeamwell.Move) (hornbeamwell.Move, error) {
	if !m.Paused {
		return m, nil
	}
	m.Paused = false
	m.Reason = "resumed by an operator"
	return nextStep(m), nil
}

// hasten waives the waiting times of the present stage and ends a pause. It waives
// no evidence.
func hasten(m hornbeamwell.Move) (hornbeamwell.Move, error) {
	if m.Phase == hornbeamwell.PhaseTakingBack {
		return m, &ControlError{ID: m.ID, Control: hornbeamwell.MoveHasten, Problem: "the move is being taken back"}
	}
	if m.Hastened && !m.Paused {
		return m, nil
	}
	m.Paused = false
	m.Hastened = true
	m.Reason = "hastened by an operator; waiting times of this stage are waived, evidence is not"
	return nextStep(m), nil
}

func takeBack(now time.Time, m hornbeamwell.Move) (hornbeamwell.Move, error) {
	if m.Phase == hornbeamwell.PhaseTakingBack {
		return m, nil
	}
	return nextStep(takingBack(now, m, "taken back by an operator")), nil
}

// nextStep returns the move with its step incremented. Each decision and each
// control takes one step.
func nextStep(m hornbeamwell.Move) hornbeamwell.Move {
	m.Step++
	return m
}
