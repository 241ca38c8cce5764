package target

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// forgetGone drops targets that have been gone for long.
func (m *Membership) forgetGone(now time.Time, board *blackboard.Board) {
	for id, last := range m.ended {
		if now.Sub(last.at) >= goneKept {
			delete(m.ended, id)
		}
	}
	for id, since := range m.goneSince {
		if now.Sub(since) < goneKept {
			continue
		}
		delete(m.goneSince, id)
		if r, found := m.local[id]; found && r.target.State == hornbeamwell.TargetGone {
			delete(m.local, id)
		}
		m.dirty[id] = true
		m.placed[id] = true
		delete(board.Targets, id)
		board.TargetsVersion++
	}
}

// place writes the newest announcement of the target to the board. It reports
// whether the board changed.
func (m *Membership) place(now time.Time, board *blackboard.Board, id string) bool {
	old, was := board.Targets[id]
	t, is := m.newest(id)
	if !is {
		delete(board.Targets, id)
		delete(m.goneSince, id)
		return was
	}
	if was && old == t {
		return false
	}
	if was && old.IsNewer(&t) {
		// The newer announcement was dropped here with its lease; the older
		// one comes from the leader, which has not seen it yet.
		return false
	}
	if t.State == hornbeamwell.TargetGone {
		if _, known := m.goneSince[id]; !known {
			m.goneSince[id] = now
		}
	} else {
		delete(m.goneSince, id)
	}
	board.Targets[id] = t
	return true
}

// newest returns the newest announcement of the target and drops the one that
// no session vouches for if the leader knows a newer one.
func (m *Membership) newest(id string) (hornbeamwell.Target, bool) {
	above, isAbove := m.above[id]
	r, isLocal := m.local[id]
	switch {
	case !isAbove && !isLocal:
		return hornbeamwell.Target{}, false
	case !isLocal:
		return above, true
	case !isAbove, !above.IsNewer(&r.target):
		return r.target, true
	case !r.isVouchedFor():
		delete(m.local, id)
		return above, true
	default:
		return above, true
	}
}
