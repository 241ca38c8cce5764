package move

import (
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// fullAt is the planned time of the full share. The hold fits before the
// deadline where that leaves the stages half of the time.
func (p Policy) fullAt(m hornbeamwell.Move) time.Time {
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
	part := p.Stages[i].Pace
	if m.Prefer == hornbeamwell.PreferDeadline {
		part *= deadlinePace
	}
	paced := time.Duration(part * float64(p.fullAt(m).Sub(m.AcceptedAt)))
	return min(max(paced, p.MinDwell), p.MaxDwell)
}

// forcedAt is the time from which stage i begins without proof where the
// deadline is preferred. The first half of the time before the full share is
// left to the evidence.
func (p Policy) forcedAt(m hornbeamwell.Move, i int) time.Time {
	full := p.fullAt(m)
	step := full.Sub(m.AcceptedAt) / time.Duration(2*len(p.Stages))
	return full.Add(-time.Duration(len(p.Stages)-1-i) * step)
}

// isForced reports whether stage i begins without proof.
func (p Policy) isForced(now time.Time, m hornbeamwell.Move, i int) bool {
	return m.Prefer == hornbeamwell.PreferDeadline && !now.Before(p.forcedAt(m, i))
}

// lastCall is the time at which a move that has not the full share is decided
// by its preference. The reserve is at most a tenth of the move's time.
func (p Policy) lastCall(m hornbeamwell.Move) time.Time {
	reserve := min(p.Reserve, m.Deadline.Sub(m.AcceptedAt)/10)
	return m.Deadline.Add(-reserve)
}

// holdEnd is the time at which the hold of a move is over. Where the deadline
// is preferred it cuts the hold down to MinHold.
func (p Policy) holdEnd(m hornbeamwell.Move) time.Time {
	end := m.StageAt.Add(m.Hold)
	if m.Prefer != hornbeamwell.PreferDeadline || end.Before(p.lastCall(m)) {
		return end
	}
	shortest := m.StageAt.Add(min(m.Hold, p.MinHold))
	if shortest.After(p.lastCall(m)) {
		return shortest
	}
	return p.lastCall(m)
}

// holdPatience is the time until which a hold waits for silent proxies and
// doubts. Where the deadline is preferred it does not wait past the deadline.
func (p Policy) holdPatience(m hornbeamwell.Move) time.Time {
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
func (p Policy) endAtDeadline(now time.Time, m hornbeamwell.Move, evidence *Evidence, situation Situation) hornbeamwell.Move {
	if situation.To.Ready == 0 {
		return takenBackFrom(now, m, fmt.Sprintf("the deadline came and %s has no ready target", m.To)+situation.From.warning())
	}
	if situation.From.Ready == 0 {
		return entered(now, m, hornbeamwell.PhaseHolding, hornbeamwell.FullShare,
			fmt.Sprintf("the deadline came and %s has no ready target to take the calls back", m.From))
	}
	if m.Paused {
		return takenBackFrom(now, m, "the deadline came while the move was paused")
	}
	waits := p.deadlineObstacle(now, m, evidence, situation)
	if m.Prefer != hornbeamwell.PreferDeadline {
		return takenBackFrom(now, m, "the deadline came and safety is preferred; missing: "+waits)
	}
	if evidence.IsDoubtful() {
		return takenBackFrom(now, m, "the deadline came with evidence against the new version: "+evidence.Verdict().Text)
	}
	return entered(now, m, hornbeamwell.PhaseHolding, hornbeamwell.FullShare,
		"the deadline came and is preferred; missing: "+waits)
}

// deadlineObstacle says what the move waited for when the deadline came.
func (p Policy) deadlineObstacle(now time.Time, m hornbeamwell.Move, evidence *Evidence, situation Situation) string {
	i := p.stageAfter(m.Share)
	if i == len(p.Stages) {
		return "nothing"
	}
	if waits := p.obstacle(now, m, i, evidence, situation); waits != "" {
		return waits
	}
	return fmt.Sprintf("time for the stages above %s", percent(m.Share))
}
