package move

import (
	"fmt"
	"time"
)

// Pool is what is known of the targets of one version of a moving service.
type Pool struct {
	// Ready counts targets that take new calls, Slots their slots.
	Ready, Slots int
	// Targets counts every target seen during the move.
	Targets int
	// Restarts counts restarts and crashes seen during the move. MaxRestarts
	// is the most of one target.
	Restarts, MaxRestarts int
	// EmptySince is the time since when no target was ready, zero while one
	// is.
	EmptySince time.Time
}

// MeshState is what a decision needs to know besides the evidence.
type MeshState struct {
	From, To Pool
	// Removed names the service or version of the move that the
	// configuration no longer has. It is empty when both versions exist.
	Removed string
	// InForce is true when every live proxy reported the present step of the
	// move in force.
	InForce bool
	// SilentProxies counts the proxies that are not heard from. The lease on their
	// share of the new version ends within Policy.InForceTimeout.
	SilentProxies int
}

// restartRatio is how many times more often than an old target a new target
// must restart before the restarts speak against the new version.
const restartRatio = 3

// isCrashLooping reports whether the new targets restart again and again while
// the old ones do not.
func (s MeshState) isCrashLooping(crashesPerTarget int) bool {
	if s.To.MaxRestarts < crashesPerTarget {
		return false
	}
	return s.To.restartsPerTarget() > restartRatio*s.From.restartsPerTarget()
}

// isInForceEverywhere reports whether no proxy can be on an earlier step.
func (s MeshState) isInForceEverywhere() bool {
	return s.InForce && s.SilentProxies == 0
}

// inForceWarning says which proxies did not report the step in force.
func (s MeshState) inForceWarning() string {
	switch {
	case s.SilentProxies > 0:
		return fmt.Sprintf("; %d silent proxies send every call to the old version until they are heard from", s.SilentProxies)
	case !s.InForce:
		return "; not every live proxy reported it in force"
	default:
		return ""
	}
}

func (p Pool) restartsPerTarget() float64 {
	if p.Targets == 0 {
		return 0
	}
	return float64(p.Restarts) / float64(p.Targets)
}

// hasCapacity reports whether the fleet has the slots for a share of the calls
// that the other fleet serves.
func (p Pool) hasCapacity(share, slotShare float64, other Pool) bool {
	if p.Ready == 0 {
		return false
	}
	return float64(p.Slots) >= share*slotShare*float64(other.Slots)
}
