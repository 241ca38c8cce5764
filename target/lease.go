package target

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// endLeases drops the targets whose lease ended, unless so many ended at once
// that the fault is more likely on this side.
func (m *Membership) endLeases(now time.Time, board *blackboard.Board) {
	var ended []hornbeamwell.Target
	for _, r := range m.local {
		if !r.isVouchedFor() && !now.Before(r.leaseEnds) {
			ended = append(ended, r.target)
		}
	}
	if len(ended) == 0 {
		return
	}
	for _, t := range m.expiry.believed(now, ended, board.Targets, len(m.local)) {
		leasesEnded.Inc()
		m.ended[t.ID] = endedTarget{target: t, at: now}
		m.dirty[t.ID] = true
		delete(m.announced, t.ID)
		if m.local[t.ID].hasLeft {
			t.State = hornbeamwell.TargetGone
		}
		m.lost[t.ID] = t
		delete(m.local, t.ID)
	}
}
