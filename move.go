package hornbeamwell

import "time"

// Phase is the phase of a move.
type Phase string

// The phases of a move. PhaseDone and PhaseTakenBack are final.
const (
	PhaseAccepted   Phase = "accepted"
	PhaseWarming    Phase = "warming"
	PhaseStages     Phase = "stages"
	PhaseHolding    Phase = "holding"
	PhaseTakingBack Phase = "taking_back"
	PhaseDone       Phase = "done"
	PhaseTakenBack  Phase = "taken_back"
)

// IsFinal reports whether a move in this phase no longer changes.
func (p Phase) IsFinal() bool {
	return p == PhaseDone || p == PhaseTakenBack
}

// Preference decides a move whose deadline passes before there is enough
// evidence.
type Preference string

// The preferences of a move.
const (
	// PreferSafety takes the move back when there is not enough evidence.
	PreferSafety Preference = "safety"
	// PreferDeadline completes the move when there is not enough evidence.
	PreferDeadline Preference = "deadline"
)

// Move shifts the calls of a service from one target version to another by a
// deadline.
type Move struct {
	ID      string
	Service string
	// From and To are different versions of the service.
	From, To string
	// AcceptedAt is the leader's time when the move was accepted.
	AcceptedAt time.Time
	// Deadline is after AcceptedAt.
	Deadline time.Time
	// Hold is the time for which From is kept warm after the last stage.
	Hold   time.Duration
	Prefer Preference
	// Phase does not change once it is final.
	Phase Phase
	// Step increases by one with each decision, operator command or change of
	// the configuration that is applied to this move. A decision carries the
	// number after that of the state it is based on. If the step has changed
	// since, the decision is refused.
	Step uint64
	// Share is the part of the calls that To receives. It is zero in the phases
	// taking_back and taken_back, and FullShare in holding and done.
	Share  Share
	Paused bool
	// Hastened skips the waiting times until phase and share are decided again.
	Hastened bool
	// StageAt is the leader's time at which the present phase and share were
	// decided. A decision to compare both versions again at a low share sets it
	// even if phase and share stay the same. A change of the configuration that
	// ends the move leaves it as it was.
	StageAt time.Time
	// EndedAt is zero unless the phase is final.
	EndedAt time.Time
	// Reason explains in a sentence why the move is in its phase.
	Reason  string
	Figures MoveFigures
}

// MoveFigures are the measurements that a decision about a move is based on.
type MoveFigures struct {
	NewCalls, NewFailures uint64
	OldCalls, OldFailures uint64
	// NewP99 and OldP99 are the 99th percentiles of the latency.
	NewP99, OldP99 time.Duration
	// WorstRoute is the route with the strongest evidence against the move.
	WorstRoute string
}

// MoveControl is an operator's command for an open move.
type MoveControl string

// The commands for an open move.
const (
	MovePause    MoveControl = "pause"
	MoveResume   MoveControl = "resume"
	MoveHasten   MoveControl = "hasten"
	MoveTakeBack MoveControl = "take_back"
)
