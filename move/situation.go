package move

import "time"

// Fleet is what is known of the targets of one version of a moving service.
type Fleet struct {
	// Ready counts targets that take new calls, Slots their slots.
	Ready, Slots int
	// Targets counts every target seen during the move.
	Targets int
	// Restarts counts restarts and crashes seen during the move. MaxRestarts
	// is the most of one target.
	Restarts, MaxRestarts int
	// MissingSince is the time since when no target was ready, zero while one
	// is.
	MissingSince time.Time
}

// Situation is what a decision needs to know besides the evidence.
type Situation struct {
	From, To Fleet
	// Vanished names the service or version of the move that the
	// configuration no longer has. It is empty when both versions exist.
	Vanished string
	// InForce is true when every proxy reported the present step of the move
	// in force.
	InForce bool
}

// restartRatio is how many times more often than an old target a new target
// must restart before the restarts speak against the new version.
const restartRatio = 3

// isCrashLooping reports whether the new targets restart again and again while
// the old ones do not.
func (s Situation) isCrashLooping(crashesPerTarget int) bool {
	if s.To.MaxRestarts < crashesPerTarget {
		return false
	}
	return s.To.restartsPerTarget() > restartRatio*s.From.restartsPerTarget()
}

func (f Fleet) restartsPerTarget() float64 {
	if f.Targets == 0 {
		return 0
	}
	return float64(f.Restarts) / float64(f.Targets)
}

// canServe reports whether the fleet has the slots for a share of the calls
// that the other fleet serves.
func (f Fleet) canServe(share, slotShare float64, other Fleet) bool {
	if f.Ready == 0 {
		return false
	}
	return float64(f.Slots) >= share*slotShare*float64(other.Slots)
}
