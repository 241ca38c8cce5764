package hornbeamwell

import "time"

// Phase is a step in the life of a move.
type Phase string

// The phases of a move. Done and taken back are final.
const (
	PhaseAccepted   Phase = "accepted"
	PhaseWarming    Phase = "warming"
	PhaseStages     Phase = "stages"
	PhaseHolding    Phase = "holding"
	PhaseTakingBack Phase = "taking_back"
	PhaseDone       Phase = "done"
	PhaseTakenBack  Phase = "taken_back"
)

// IsFinal reports whether a move in this phase never changes again.
func (p Phase) IsFinal() bool {
	return p == PhaseDone || p == PhaseTakenBack
}

// Preference decides a move whose deadline comes before enough evidence.
type Preference string

// The preferences of a move.
const (
	// PreferSafety takes the move back when the evidence is too thin.
	PreferSafety Preference = "safety"
	// PreferDeadline completes the move when the evidence is too thin.
	PreferDeadline Preference = "deadline"
)

// Move brings the calls of a service from one target version to another by a
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
	// Hold is the time for which From stays warm after the last stage.
	Hold   time.Duration
	Prefer Preference
	// Phase never leaves a final phase.
	Phase Phase
	// Step counts the decisions about this move. A decision names the step
	// that it follows, so that a decision made on older state is refused.
	Step uint64
	// Share is the part of the calls that To receives. It is zero in the
	// phases taking_back and taken_back, and FullShare in holding and done.
	Share  Share
	Paused bool
	// Hastened waives the waiting times until the next change of phase or
	// share.
	Hastened bool
	// StageAt is the leader's time of the last change of phase or share.
	StageAt time.Time
	// EndedAt is zero unless the phase is final.
	EndedAt time.Time
	// Reason says in a sentence why the move is in its phase.
	Reason  string
	Figures MoveFigures
}

// MoveFigures are the counts behind a decision about a move.
type MoveFigures struct {
	NewCalls, NewFailures uint64
	OldCalls, OldFailures uint64
	// NewP99 and OldP99 are the latencies that 99 in 100 calls stay under.
	NewP99, OldP99 time.Duration
	// WorstRoute is the route with the strongest evidence against the move.
	WorstRoute string
}

// MoveControl is what an operator asks of an open move.
type MoveControl string

// The controls of a move.
const (
	MovePause    MoveControl = "pause"
	MoveResume   MoveControl = "resume"
	MoveHasten   MoveControl = "hasten"
	MoveTakeBack MoveControl = "take_back"
)
