package move

import (
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// fullShareAt returns the planned time of the full share. The hold ends before
// the deadline unless that leaves the stages less than half of the time.
func (p Policy) fullShareAt(m hornbeamwell.Move) time.Time {
	middle := m.AcceptedAt.Add(m.Deadline.Sub(m.AcceptedAt) / 2)
	planned := m.Deadline.Add(-m.Hold - p.Reserve)
	if planned.Before(middle) {
		return middle
	}
	return planned
}

// dwell returns the shortest time at the present share. It lets faults that
// start late show while few calls are affected. A move that spent time on a
// comparison waits only MinDwell.
func (p Policy) dwell(m hornbeamwell.Move, evidence *Evidence) time.Duration {
	i := p.stageAfter(m.Share) - 1
	if i < 0 || evidence.fallbacks > 0 {
		return p.MinDwell
	}
	fraction := p.Stages[i].DwellFraction
	if m.Prefer == hornbeamwell.PreferDeadline {
		fraction *= deadlineDwellFactor
	}
	paced := time.Duration(fraction * float64(p.fullShareAt(m).Sub(m.AcceptedAt)))
	return min(max(paced, p.MinDwell), p.MaxDwell)
}

// forcedAt returns the time from which stage i begins without proof if the
// deadline is preferred. No stage is forced in the first half of the time before
// the full share.
func (p Policy) forcedAt(m hornbeamwell.Move, i int) time.Time {
	full := p.fullShareAt(m)
	step := full.Sub(m.AcceptedAt) / time.Duration(2*len(p.Stages))
	return full.Add(-time.Duration(len(p.Stages)-1-i) * step)
}

// isForced reports whether stage i begins without proof.
func (p Policy) isForced(now time.Time, m hornbeamwell.Move, i int) bool {
	return m.Prefer == hornbeamwell.PreferDeadline && !now.Before(p.forcedAt(m, i))
}

// decideBy returns the time at which a move below the full share is decided by
// its preference. The reserve is at most a tenth of the move's time.
func (p Policy) decideBy(m hornbeamwell.Move) time.Time {
	reserve := min(p.Reserve, m.Deadline.Sub(m.AcceptedAt)/10)
	return m.Deadline.Add(-reserve)
}

// holdEnd returns the time at which the hold of a move ends. If the deadline is
// preferred, the hold is shortened to meet it, to no less than MinHold.
func (p Policy) holdEnd(m hornbeamwell.Move) time.Time {
	end := m.StageAt.Add(m.Hold)
	if m.Prefer != hornbeamwell.PreferDeadline || end.Before(p.decideBy(m)) {
		return end
	}
	shortest := m.StageAt.Add(min(m.Hold, p.MinHold))
	if shortest.After(p.decideBy(m)) {
		return shortest
	}
	return p.decideBy(m)
}

// holdWaitEnd returns the time until which a hold is extended for proxies that are
// silent or have not acknowledged the full share, and for doubtful evidence. If the
// deadline is preferred, the hold is not extended past the deadline.
func (p Policy) holdWaitEnd(m hornbeamwell.Move) time.Time {
	end := p.holdEnd(m)
	waitEnd := end.Add(p.InForceTimeout)
	if m.Prefer != hornbeamwell.PreferDeadline || waitEnd.Before(m.Deadline) {
		return waitEnd
	}
	if end.After(m.Deadline) {
		return end
	}
	return m.Deadline
}

// pauseEnd returns the time until which a pause keeps a move in its stage or hold. A
// paused move that is not yet holding is decided earlier, at decideBy.
func pauseEnd(m hornbeamwell.Move) time.Time {
	holdEnd := m.StageAt.Add(m.Hold)
	if m.Phase == hornbeamwell.PhaseHolding && holdEnd.After(m.Deadline) {
		return holdEnd
	}
	return m.Deadline
}

// endAtDeadline decides a move without enough evidence at its deadline. It
// checks for a pool without ready targets first, then for a pause, then the
// preference of the move.
func (p Policy) endAtDeadline(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) hornbeamwell.Move {
	if mesh.To.Ready == 0 {
		return takingBack(now, m, fmt.Sprintf("the deadline came and %s has no ready target", m.To)+mesh.From.takeBackWarning())
	}
	if mesh.From.Ready == 0 {
		return entered(now, m, hornbeamwell.PhaseHolding, hornbeamwell.FullShare,
			fmt.Sprintf("the deadline came and %s has no ready target to take the calls back", m.From))
	}
	if m.Paused {
		return takingBack(now, m, "the deadline came while the move was paused")
	}
	blocker := p.deadlineBlocker(now, m, evidence, mesh)
	if m.Prefer != hornbeamwell.PreferDeadline {
		return takingBack(now, m, "the deadline came and safety is preferred; missing: "+blocker)
	}
	if evidence.IsDoubtful() {
		return takingBack(now, m, "the deadline came with evidence against the new version: "+evidence.Verdict().Text)
	}
	return entered(now, m, hornbeamwell.PhaseHolding, hornbeamwell.FullShare,
		"the deadline came and is preferred; missing: "+blocker)
}

// deadlineBlocker describes what the move waited for at the deadline.
func (p Policy) deadlineBlocker(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) string {
	i := p.stageAfter(m.Share)
	if i == len(p.Stages) {
		return "nothing"
	}
	if blocker := p.stageBlocker(now, m, i, evidence, mesh); blocker != "" {
		return blocker
	}
	return fmt.Sprintf("time for the stages above %s", percent(m.Share))
}
