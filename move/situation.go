package move

import (
	"fmt"
	"time"
)

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
	// InForce is true when every live proxy reported the present step of the
	// move in force.
	InForce bool
	// Silent counts the proxies that are not heard from. The lease on their
	// share of the new version ends within Policy.InForceTimeout.
	Silent int
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

// isInForceEverywhere reports whether no proxy can be on an earlier step.
func (s Situation) isInForceEverywhere() bool {
	return s.InForce && s.Silent == 0
}

// inForceWarning says which proxies did not report the step in force.
func (s Situation) inForceWarning() string {
	switch {
	case s.Silent > 0:
		return fmt.Sprintf("; %d silent proxies send every call to the old version until they are heard from", s.Silent)
	case !s.InForce:
		return "; not every live proxy reported it in force"
	default:
		return ""
	}
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
