package move

import (
	"fmt"
	"time"
)

// Pool summarizes the targets of one version of a moving service.
type Pool struct {
	// Ready counts targets that accept new calls, also those in evacuated zones. Slots
	// counts the concurrency slots of those outside evacuated zones.
	Ready, Slots int
	// Evacuated counts the ready targets in evacuated zones. It is at most Ready.
	Evacuated int
	// Targets counts all targets that the leader saw during the move.
	Targets int
	// Restarts counts the restarts and crashes that the leader saw during the
	// move. MaxRestarts is the highest count of a single target.
	Restarts, MaxRestarts int
	// EmptySince is the time from which no target was ready. It is zero while
	// one is ready.
	EmptySince time.Time
}

// isEvacuated reports whether all ready targets are in evacuated zones.
func (p Pool) isEvacuated() bool { return p.Ready > 0 && p.Evacuated == p.Ready }

// MeshState is the state of targets, proxies and configuration that a decision
// takes into account besides the evidence.
type MeshState struct {
	// From and To are the pools of the old version and the canary.
	From, To Pool
	// Removed names the service or version of the move that is no longer in the
	// configuration. It is empty if both versions are configured.
	Removed string
	// InForce is true if every live proxy acknowledged the present step of the
	// move. It is false if no proxy is live.
	InForce bool
	// SilentCount counts the proxies that are out of contact with the control
	// instances, and each lost source of proxies as one. With DefaultPolicy, the
	// lease on their share of the canary expires within Policy.InForceTimeout.
	SilentCount int
}

// restartRatio is the ratio of restarts per target of the canary to those of the
// old version above which the canary counts as crash-looping.
const restartRatio = 3

// isCrashLooping reports whether one target of the canary restarted at least
// minRestarts times, and the canary's targets restart more than restartRatio times
// as often as those of the old version.
func (s MeshState) isCrashLooping(minRestarts int) bool {
	if s.To.MaxRestarts < minRestarts {
		return false
	}
	return s.To.restartsPerTarget() > restartRatio*s.From.restartsPerTarget()
}

// isInForceEverywhere reports whether no proxy can still apply an earlier step.
func (s MeshState) isInForceEverywhere() bool {
	return s.InForce && s.SilentCount == 0
}

// inForceWarning says which proxies may not apply the step yet, silent or live ones.
// It is empty if all do. The number of silent proxies in the text also counts lost
// sources of proxies.
func (s MeshState) inForceWarning() string {
	switch {
	case s.SilentCount > 0:
		return fmt.Sprintf("; %d silent proxies send every call to the old version until they are heard from", s.SilentCount)
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

// hasCapacity reports whether the pool has enough slots for a share of the calls
// that the other pool serves: at least slotRatio of the other's slots at the full
// share.
func (p Pool) hasCapacity(share, slotRatio float64, other Pool) bool {
	if p.Ready == 0 {
		return false
	}
	return float64(p.Slots) >= share*slotRatio*float64(other.Slots)
}
