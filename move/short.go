package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// ShortMoveLimit is the time from the acceptance to the deadline below which a move
// that prefers its deadline follows ShortPolicy. DefaultPolicy proves a version
// within longer ones.
const ShortMoveLimit = 30 * time.Second

// unprovable is an excess that no proof excludes, so that a stage begins by the
// clock alone.
const unprovable = 0.0001

// ShortPolicy returns the policy for moves of seconds. There is no time to prove
// a version healthy. It gets a small share for as long as the deadline allows, so
// that badness shows there, then for a moment as many calls as its targets would
// have in the end, then all of them. Whatever shows it bad takes the move back.
func ShortPolicy() Policy {
	p := DefaultPolicy()
	p.Stages = []Stage{
		{Share: 1_000},
		{Share: 2_500, MaxExcess: unprovable},
		{Share: hornbeamwell.FullShare, MaxExcess: unprovable},
	}
	p.UnprovedShare = 5_000
	p.ExposedCalls = 25
	p.Thresholds = Thresholds{MinFailures: 4, MinFailureRate: 0.15, MinFailureRatio: 4, MinLatencyCalls: 8, MinLatencyRatio: 2.5}
	p.AlarmLevel = 1e-9
	p.DoubtLevel = 20
	p.MinStageCalls = 0
	p.MinDwell = 500 * time.Millisecond
	p.SettleTime = 500 * time.Millisecond
	p.Interval = 300 * time.Millisecond
	p.InForceTimeout = 400 * time.Millisecond
	p.Reserve = 1800 * time.Millisecond
	p.MinHold = time.Second
	p.NoTargetTimeout = 5 * time.Second
	return p
}

// PolicyFor returns the policy for a move by its time.
func PolicyFor(m hornbeamwell.Move) Policy {
	if m.Prefer == hornbeamwell.PreferDeadline && m.Deadline.Sub(m.AcceptedAt) < ShortMoveLimit {
		return ShortPolicy()
	}
	return DefaultPolicy()
}

// firstShare returns the share of the first stage. A service with few calls gives
// the new version more of them, up to ExposedCalls beyond the stage's share until
// the planned full share.
func (p Policy) firstShare(now time.Time, m hornbeamwell.Move, evidence *Evidence) hornbeamwell.Share {
	share := p.Stages[0].Share
	left := p.fullShareAt(m).Sub(now).Seconds()
	rate := evidence.callRate()
	if p.ExposedCalls == 0 || left <= 0 || rate == 0 {
		return share
	}
	extra := p.ExposedCalls / (rate * left)
	return min(share+hornbeamwell.Share(min(extra, 1)*float64(hornbeamwell.FullShare)), p.UnprovedShare)
}
