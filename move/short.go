package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// ShortMoveLimit is the time from the acceptance to the deadline below which a
// move that prefers its deadline follows ShortPolicy. The proofs of DefaultPolicy
// need more time.
const ShortMoveLimit = 30 * time.Second

// unprovableExcess is an excess failure rate that no proof rules out, so that a
// stage begins at its forced time only.
const unprovableExcess = 0.0001

// ShortPolicy returns the policy for moves of a few seconds, which leave no time
// for a proof of health. The canary receives a small share for as long as the
// deadline allows, so that faults show there, then for a moment a larger share, which
// puts nearly the final load on the few targets that serve it, then all calls.
// Thresholds take a faulty canary back where the sequential tests need more calls.
func ShortPolicy() Policy {
	p := DefaultPolicy()
	p.Stages = []Stage{
		{Share: 1_000},
		{Share: 2_500, MaxExcess: unprovableExcess},
		{Share: hornbeamwell.FullShare, MaxExcess: unprovableExcess},
	}
	p.UnprovedShare = 5_000
	p.ExposedCalls = 25
	p.Thresholds = Thresholds{MinFailures: 4, MinFailureRate: 0.15, MinFailureRatio: 4, MinLatencyCalls: 12, MinLatencyRatio: 4}
	p.PartThresholds = PartThresholds{MaxChance: 1e-6, MinFailures: 4, RateFactor: 1.6, RateMargin: 0.005, MinSlowness: 8, MinOldCalls: 40}
	p.LatencyMargin = maxMachineShift
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

// PolicyFor returns the policy that fits the preference and duration of a move.
func PolicyFor(m hornbeamwell.Move) Policy {
	if m.Prefer == hornbeamwell.PreferDeadline && m.Deadline.Sub(m.AcceptedAt) < ShortMoveLimit {
		return ShortPolicy()
	}
	return DefaultPolicy()
}

// firstShare returns the share of the first stage. It is increased on services
// with few calls, by up to ExposedCalls calls until the planned full share.
func (p Policy) firstShare(now time.Time, m hornbeamwell.Move, evidence *Evidence) hornbeamwell.Share {
	share := p.Stages[0].Share
	left := p.fullShareAt(m).Sub(now).Seconds()
	rate := evidence.callRate()
	if p.ExposedCalls == 0 || left <= 0 || rate == 0 {
		return share
	}
	extraFraction := p.ExposedCalls / (rate * left)
	return min(share+hornbeamwell.Share(min(extraFraction, 1)*float64(hornbeamwell.FullShare)), p.UnprovedShare)
}
