package target

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// removeGone removes the targets that have been gone for goneRetention and the
// lease expiries that were recorded that long ago.
func (m *Membership) removeGone(now time.Time, board *blackboard.Board) {
	for id, last := range m.recentlyExpired {
		if now.Sub(last.at) >= goneRetention {
			delete(m.recentlyExpired, id)
		}
	}
	for id, since := range m.goneSince {
		if now.Sub(since) < goneRetention {
			continue
		}
		delete(m.goneSince, id)
		if r, found := m.local[id]; found && r.target.State == hornbeamwell.TargetGone {
			m.removeLocal(id)
		}
		m.dirty[id] = true
		m.changedIDs[id] = true
		delete(board.Targets, id)
		board.TargetsVersion++
	}
}

// updateBoard writes the newest announcement of the target to the board. It
// reports whether the board changed.
func (m *Membership) updateBoard(now time.Time, board *blackboard.Board, id string) bool {
	old, existed := board.Targets[id]
	t, exists := m.newest(id)
	if !exists {
		delete(board.Targets, id)
		delete(m.goneSince, id)
		return existed
	}
	if existed && old == t {
		return false
	}
	if existed && old.IsNewer(&t) {
		// The newer announcement was removed here when its lease expired. The
		// older one comes from the leader, which has not received the newer one
		// yet.
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

// newest returns the newest that is known of the target, which is its departure if no
// announcement is newer.
func (m *Membership) newest(id string) (hornbeamwell.Target, bool) {
	t, found := m.newestAnnounced(id)
	if d, departed := m.departures.known[id]; departed && (!found || d.Target.IsNewer(&t)) {
		return d.Target, true
	}
	return t, found
}

// newestAnnounced returns the newest announcement of the target. It removes a local one
// without an open session if the leader has a newer one.
func (m *Membership) newestAnnounced(id string) (hornbeamwell.Target, bool) {
	remote, isRemote := m.fromLeader[id]
	r, isLocal := m.local[id]
	switch {
	case !isRemote && !isLocal:
		return hornbeamwell.Target{}, false
	case !isLocal:
		return remote, true
	case !isRemote, !remote.IsNewer(&r.target):
		return r.target, true
	case !r.hasSession():
		m.removeLocal(id)
		return remote, true
	default:
		return remote, true
	}
}
