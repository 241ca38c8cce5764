package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Stage is one step in the share of the canary.
type Stage struct {
	Share hornbeamwell.Share
	// MaxExcess is the excess failure rate of the canary over the old version
	// that must be ruled out before the canary receives Share. Zero requires no
	// proof. If the deadline is preferred, the stage may begin without proof from
	// the time that forcedAt returns.
	MaxExcess float64
	// MaxRouteExcess is the excess failure rate that must be ruled out on each
	// route with calls. On a route with few calls, a higher rate is allowed, up to
	// rareRouteExcess, if the excess failures are at most MaxExcess of all calls.
	// Zero requires no proof per route.
	MaxRouteExcess float64
	// DwellFraction is the least duration of the stage, as a fraction of the time
	// before the planned full share. The fractions of all stages add up to less
	// than one.
	DwellFraction float64
}

// deadlineDwellFactor shortens the stages if the deadline is preferred.
const deadlineDwellFactor = 0.5

// rareRouteExcess is the excess failure rate that must be ruled out on every
// route, however few calls it has.
const rareRouteExcess = 0.20

// routeExcess returns the excess failure rate to rule out on a route with the
// given fraction of the calls.
func (s Stage) routeExcess(fraction float64) float64 {
	return min(max(s.MaxExcess/fraction, s.MaxRouteExcess), rareRouteExcess)
}

// Policy holds the parameters of the decisions about moves.
type Policy struct {
	// Stages have increasing shares. The first requires no proof, its share is
	// at most UnprovedShare, and the last has the full share.
	Stages []Stage
	// UnprovedShare is the highest share of a canary without proof of health. It
	// does not apply where the preferred deadline or an old version without ready
	// targets requires more.
	UnprovedShare hornbeamwell.Share
	// ExposedCalls is the number of calls that a canary without proof may receive
	// beyond the share of the first stage, so that faults also show on services
	// with few calls. Zero allows none.
	ExposedCalls float64
	// FalseAlarmRate bounds the probability that a canary within the margins is
	// judged bad during one move under one leader.
	FalseAlarmRate float64
	// FailureMargin is the excess failure rate over the old version that is not
	// judged bad.
	FailureMargin float64
	// LatencyMargin is the number of histogram buckets by which a canary may be
	// slower without being judged bad. Above 256 µs, one bucket is 14 to 25 per
	// cent.
	LatencyMargin int
	// LatencySlack is the time by which a canary may be slower without being
	// judged bad. It covers calls to another availability zone: the few targets
	// that serve a small share are in the zone of the caller less often than
	// those of the old version.
	LatencySlack time.Duration
	// ProofLevel is the reciprocal of the evidence that a proof needs. Without the
	// restarts of the proof in each interval, it would bound the probability that
	// a bad canary passes.
	ProofLevel float64
	// Thresholds are bounds beyond which a canary is bad without a sequential
	// test.
	Thresholds Thresholds
	// PartThresholds are bounds for faults in a part of the calls.
	PartThresholds PartThresholds
	// DoubtLevel is the evidence against a canary, as an e-value, from which its
	// share is no longer raised.
	DoubtLevel float64
	// AlarmLevel bounds the probability that the share of a canary within the
	// margins is lowered to ProbeShare for a comparison. It applies from one
	// restart of the alarm to the next, and only while the old version has calls.
	AlarmLevel float64
	// ProbeShare is the highest share at which a canary that looks bad is compared.
	ProbeShare hornbeamwell.Share
	// MaxFallbacks is the number of comparisons at ProbeShare or below after which
	// a canary that looks bad again is taken back. One more is allowed if the
	// deadline is preferred or the canary has the full share, where the old
	// version has no calls to compare with.
	MaxFallbacks int
	// MinStageCalls is the least number of canary calls of a stage.
	MinStageCalls uint64
	// MinDwell is the shortest time of a stage. MaxDwell bounds the time that
	// DwellFraction requires if the deadline is far away.
	MinDwell, MaxDwell time.Duration
	// MinHold is the shortest hold if the deadline is preferred and comes before
	// the end of the hold.
	MinHold time.Duration
	// SettleTime bounds the time after a change of share in which calls of the
	// previous stage may still be reported. Calls in it do not count for the new
	// stage. It ends early, one interval after every live proxy acknowledged the
	// share.
	SettleTime time.Duration
	// Interval is the time over which calls of both versions are compared.
	Interval time.Duration
	// MaxIntervalGain bounds the evidence, in nats, that one interval adds against
	// a canary, so that one burst of failures is not enough for a verdict.
	MaxIntervalGain float64
	// InForceTimeout bounds the wait for proxies to acknowledge a share. That of
	// DefaultPolicy is longer than a proxy's lease on the canary's share, that of
	// ShortPolicy shorter.
	InForceTimeout time.Duration
	// Reserve is the time between the last planned step and the deadline.
	Reserve time.Duration
	// MinSlotRatio is the fraction of the old version's slots that the canary
	// needs for the full share.
	MinSlotRatio float64
	// NoTargetTimeout is the time without a ready target after which a canary with
	// a share above zero is taken back.
	NoTargetTimeout time.Duration
	// CrashLoopRestarts is the least number of restarts of one canary target that
	// indicates a crash loop.
	CrashLoopRestarts int
}

// DefaultPolicy returns the policy for moves that are long enough for proofs, and
// for all moves that prefer safety.
func DefaultPolicy() Policy {
	return Policy{
		Stages: []Stage{
			{Share: 500, DwellFraction: 0.25},
			{Share: 1_000, MaxExcess: 0.10, DwellFraction: 0.15},
			{Share: 2_500, MaxExcess: 0.05, DwellFraction: 0.1},
			{Share: 5_000, MaxExcess: 0.02, MaxRouteExcess: 0.10, DwellFraction: 0.1},
			{Share: hornbeamwell.FullShare, MaxExcess: 0.01, MaxRouteExcess: 0.05},
		},
		UnprovedShare:     500,
		FalseAlarmRate:    0.004,
		FailureMargin:     0.002,
		LatencyMargin:     1,
		LatencySlack:      4 * time.Millisecond,
		ProofLevel:        0.05,
		DoubtLevel:        2,
		AlarmLevel:        0.01,
		ProbeShare:        1_000,
		MaxFallbacks:      1,
		MinStageCalls:     20,
		MinDwell:          4 * time.Second,
		MaxDwell:          60 * time.Second,
		MinHold:           8 * time.Second,
		SettleTime:        6 * time.Second,
		Interval:          time.Second,
		MaxIntervalGain:   3.3,
		InForceTimeout:    15 * time.Second,
		Reserve:           5 * time.Second,
		MinSlotRatio:      0.5,
		NoTargetTimeout:   10 * time.Second,
		CrashLoopRestarts: 3,
	}
}

// stageAfter returns the index of the first stage above the share. It is
// len(p.Stages) at the full share.
func (p Policy) stageAfter(share hornbeamwell.Share) int {
	for i, s := range p.Stages {
		if s.Share > share {
			return i
		}
	}
	return len(p.Stages)
}

// maxFallbacks returns MaxFallbacks for the preference and share of a move.
func (p Policy) maxFallbacks(m hornbeamwell.Move) int {
	if m.Prefer == hornbeamwell.PreferDeadline || m.Share == hornbeamwell.FullShare {
		return p.MaxFallbacks + 1
	}
	return p.MaxFallbacks
}
