package move

import (
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// fullShareAt is the planned time of the full share. The hold fits before the
// deadline where that leaves the stages half of the time.
func (p Policy) fullShareAt(m hornbeamwell.Move) time.Time {
	middle := m.AcceptedAt.Add(m.Deadline.Sub(m.AcceptedAt) / 2)
	planned := m.Deadline.Add(-m.Hold - p.Reserve)
	if planned.Before(middle) {
		return middle
	}
	return planned
}

// dwell is the shortest time at the present share. It leaves late badness time
// to show at a small part of the calls. A move that lost time in a comparison
// does not wait so again.
func (p Policy) dwell(m hornbeamwell.Move, evidence *Evidence) time.Duration {
	i := p.stageAfter(m.Share) - 1
	if i < 0 || evidence.fallbacks > 0 {
		return p.MinDwell
	}
	part := p.Stages[i].DwellFraction
	if m.Prefer == hornbeamwell.PreferDeadline {
		part *= deadlineDwellFactor
	}
	paced := time.Duration(part * float64(p.fullShareAt(m).Sub(m.AcceptedAt)))
	return min(max(paced, p.MinDwell), p.MaxDwell)
}

// forcedAt is the time from which stage i begins without proof where the
// deadline is preferred. The first half of the time before the full share is
// left to the evidence.
func (p Policy) forcedAt(m hornbeamwell.Move, i int) time.Time {
	full := p.fullShareAt(m)
	step := full.Sub(m.AcceptedAt) / time.Duration(2*len(p.Stages))
	return full.Add(-time.Duration(len(p.Stages)-1-i) * step)
}

// isForced reports whether stage i begins without proof.
func (p Policy) isForced(now time.Time, m hornbeamwell.Move, i int) bool {
	return m.Prefer == hornbeamwell.PreferDeadline && !now.Before(p.forcedAt(m, i))
}

// decideBy is the time at which a move that has not the full share is decided
// by its preference. The reserve is at most a tenth of the move's time.
func (p Policy) decideBy(m hornbeamwell.Move) time.Time {
	reserve := min(p.Reserve, m.Deadline.Sub(m.AcceptedAt)/10)
	return m.Deadline.Add(-reserve)
}

// holdEnd is the time at which the hold of a move is over. Where the deadline
// is preferred it cuts the hold down to MinHold.
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

// holdWaitEnd is the time until which a hold waits for silent proxies and
// doubts. Where the deadline is preferred it does not wait past the deadline.
func (p Policy) holdWaitEnd(m hornbeamwell.Move) time.Time {
	end := p.holdEnd(m)
	patience := end.Add(p.InForceTimeout)
	if m.Prefer != hornbeamwell.PreferDeadline || patience.Before(m.Deadline) {
		return patience
	}
	if end.After(m.Deadline) {
		return end
	}
	return m.Deadline
}

// pauseEnd is the time from which a pause no longer keeps a move from its end.
func pauseEnd(m hornbeamwell.Move) time.Time {
	held := m.StageAt.Add(m.Hold)
	if m.Phase == hornbeamwell.PhaseHolding && held.After(m.Deadline) {
		return held
	}
	return m.Deadline
}

// endAtDeadline decides a move without enough evidence at its deadline.
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
	waits := p.deadlineBlocker(now, m, evidence, mesh)
	if m.Prefer != hornbeamwell.PreferDeadline {
		return takingBack(now, m, "the deadline came and safety is preferred; missing: "+waits)
	}
	if evidence.IsDoubtful() {
		return takingBack(now, m, "the deadline came with evidence against the new version: "+evidence.Verdict().Text)
	}
	return entered(now, m, hornbeamwell.PhaseHolding, hornbeamwell.FullShare,
		"the deadline came and is preferred; missing: "+waits)
}

// deadlineBlocker says what the move waited for when the deadline came.
func (p Policy) deadlineBlocker(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) string {
	i := p.stageAfter(m.Share)
	if i == len(p.Stages) {
		return "nothing"
	}
	if waits := p.stageBlocker(now, m, i, evidence, mesh); waits != "" {
		return waits
	}
	return fmt.Sprintf("time for the stages above %s", percent(m.Share))
}
