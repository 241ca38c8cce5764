package target

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// expireLeases removes the targets whose lease expired, except for those whose
// expiry is suppressed because too many expired at once.
func (m *Membership) expireLeases(now time.Time, board *blackboard.Board) {
	var expired []hornbeamwell.Target
	for _, r := range m.local {
		if !r.hasSession() && !now.Before(r.leaseEnds) {
			expired = append(expired, r.target)
		}
	}
	if len(expired) == 0 {
		return
	}
	for _, t := range m.expiryFilter.accept(now, expired, board.Targets, len(m.local)) {
		leasesExpired.Inc()
		m.recentlyExpired[t.ID] = expiredTarget{target: t, at: now}
		m.dirty[t.ID] = true
		delete(m.announced, t.ID)
		if m.local[t.ID].hasDeparted {
			t.State = hornbeamwell.TargetGone
		}
		m.expired[t.ID] = t
		m.removeLocal(t.ID)
	}
}
