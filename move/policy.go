package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Stage is one step of the share of the new version.
type Stage struct {
	Share hornbeamwell.Share
	// MaxExcess is the part of calls that the new version must be proved not to
	// fail beyond the old version before it receives Share. Zero asks for no
	// proof.
	MaxExcess float64
	// MaxRouteExcess is the same for each route that has calls. A route with a
	// small part of the calls is proved to Extra of all calls, at most to
	// rareRouteExtra. Zero asks for no proof by route.
	MaxRouteExcess float64
	// DwellFraction is the part of the time before the planned full share that the
	// stage lasts at least. The parts of all stages add up to less than one.
	DwellFraction float64
}

// deadlineDwellFactor shortens the pace where the deadline is preferred.
const deadlineDwellFactor = 0.5

// rareRouteExcess is the part of its calls that a new version is proved not to
// fail on any route.
const rareRouteExcess = 0.20

// routeExcess is the excess to exclude on a route with a part of the calls.
func (s Stage) routeExcess(part float64) float64 {
	return min(max(s.MaxExcess/part, s.MaxRouteExcess), rareRouteExcess)
}

// Policy holds the bounds of the decisions about moves.
type Policy struct {
	// Stages have growing shares. The first asks for no proof, its share is
	// at most UnprovedShare, and the last has the full share.
	Stages []Stage
	// UnprovedShare bounds the share of a version that has no proof of health.
	UnprovedShare hornbeamwell.Share
	// ExposedCalls is the number of calls that a version without proof may get
	// beyond the share of the first stage, so that services with few calls show
	// it too. Zero allows none.
	ExposedCalls float64
	// FalseAlarmRate bounds the probability that a version within the margins is
	// found bad during one move under one leader.
	FalseAlarmRate float64
	// FailureMargin is the part of calls that a version may fail beyond the
	// old version without being bad.
	FailureMargin float64
	// LatencyMargin is the number of histogram buckets by which a version may
	// be slower without being bad. One bucket is 19 to 25 per cent.
	LatencyMargin int
	// LatencySlack is the time by which a version may be slower without being
	// bad. It covers calls to another availability zone: callers of the old
	// version find a target in their own zone more often than those of the
	// few targets with a small share.
	LatencySlack time.Duration
	// ProofLevel is the probability with which a bad version passes one proof.
	ProofLevel float64
	// Thresholds are bounds beyond which a version is bad without a further test.
	Thresholds Thresholds
	// DoubtLevel is the evidence against a version, as an e-value, from which its
	// share no longer grows.
	DoubtLevel float64
	// AlarmLevel bounds the probability that a version within the margins has
	// its share lowered to ProbeShare for a comparison.
	AlarmLevel float64
	// ProbeShare is the share at which a version that looks bad is compared.
	ProbeShare hornbeamwell.Share
	// MaxFallbacks is the number of times that the share is lowered for a
	// comparison. It is one more where the deadline is preferred, and for the
	// full share, where the old version has no calls to compare with.
	MaxFallbacks int
	// MinStageCalls is the number of calls of the new version that a stage
	// needs.
	MinStageCalls uint64
	// MinDwell is the shortest time of a stage. MaxDwell bounds its pace where
	// the deadline is far.
	MinDwell, MaxDwell time.Duration
	// MinHold is the shortest hold where the deadline is preferred and comes
	// before the end of the hold.
	MinHold time.Duration
	// SettleTime bounds the time after a change of share in which windows of the
	// stage before may arrive. They do not count for the new stage. It ends
	// one interval after the share is in force everywhere.
	SettleTime time.Duration
	// Interval is the time over which calls of both versions are compared.
	Interval time.Duration
	// MaxIntervalGain bounds the evidence, in nats, that one interval adds against a
	// version, so that one burst of failures is not enough for a verdict.
	MaxIntervalGain float64
	// InForceTimeout bounds the wait for proxies to report a share in force.
	// It is longer than the lease on the share of an unproved version.
	InForceTimeout time.Duration
	// Reserve is kept between the last planned step and the deadline.
	Reserve time.Duration
	// MinSlotRatio is the part of the old version's slots that the new version
	// must have for the full share.
	MinSlotRatio float64
	// NoTargetTimeout is the time after which a new version without a ready
	// target is taken back.
	NoTargetTimeout time.Duration
	// CrashLoopRestarts is the number of restarts of one new target that shows
	// a crash loop.
	CrashLoopRestarts int
}

// DefaultPolicy returns the policy that serves use.
func DefaultPolicy() Policy {
	return Policy{
		Stages: []Stage{
			{Share: 500, DwellFraction: 0.25},
			{Share: 1_000, MaxExcess: 0.10, DwellFraction: 0.15},
			{Share: 2_500, MaxExcess: 0.05, DwellFraction: 0.1},
			{Share: 5_000, MaxExcess: 0.02, MaxRouteExcess: 0.10, DwellFraction: 0.1},
			{Share: hornbeamwell.FullShare, MaxExcess: 0.01, MaxRouteExcess: 0.05},
		},
		UnprovedShare:    500,
		FalseAlarmRate:       0.004,
		FailureMargin:    0.002,
		LatencyMargin:    1,
		LatencySlack:     4 * time.Millisecond,
		ProofLevel:       0.05,
		DoubtLevel:            2,
		AlarmLevel:       0.01,
		ProbeShare:       1_000,
		MaxFallbacks:     1,
		MinStageCalls:    20,
		MinDwell:         4 * time.Second,
		MaxDwell:         60 * time.Second,
		MinHold:          8 * time.Second,
		SettleTime:           6 * time.Second,
		Interval:             time.Second,
		MaxIntervalGain:         3.3,
		InForceTimeout:   15 * time.Second,
		Reserve:          5 * time.Second,
		MinSlotRatio:        0.5,
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

// maxFallbacks is MaxFallbacks for the preference and share of a move.
func (p Policy) maxFallbacks(m hornbeamwell.Move) int {
	if m.Prefer == hornbeamwell.PreferDeadline || m.Share == hornbeamwell.FullShare {
		return p.MaxFallbacks + 1
	}
	return p.MaxFallbacks
}
