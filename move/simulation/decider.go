package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

// decider decides about one simulated move.
type decider interface {
	// decide returns the next state of the move from the observations of a
	// window.
	decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, s move.MeshState) hornbeamwell.Move
	// dropEvidence discards the evidence, as a change of leader does.
	dropEvidence(now time.Time, m hornbeamwell.Move)
}

// policyDecider decides with a move.Policy.
type policyDecider struct {
	policy   move.Policy
	evidence *move.Evidence
	stageAt  time.Time
}

func (d *policyDecider) decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, s move.MeshState) hornbeamwell.Move {
	if d.evidence == nil {
		d.dropEvidence(now, m)
	}
	if !m.StageAt.Equal(d.stageAt) {
		d.stageAt = m.StageAt
		d.evidence.StartStage(now, m.Share)
	}
	if s.InForce {
		d.evidence.MarkInForce(now)
	}
	d.evidence.Add(now, seen...)
	next, _ := d.policy.Decide(now, m, d.evidence, s)
	return next
}

func (d *policyDecider) dropEvidence(now time.Time, m hornbeamwell.Move) {
	d.evidence = move.NewEvidence(d.policy, m, now)
	d.stageAt = m.StageAt
}

// baselineDecider is the decider that the policy is compared with. It raises the
// share in steps of equal duration. It takes the canary back if more than
// baselineMaxFailureRate of at least baselineMinCalls calls failed in the last
// baselineWindows windows.
type baselineDecider struct {
	recent []callCount
}

type callCount struct {
	calls, failures uint64
}

const (
	baselineWindows        = 10
	baselineMinCalls       = 20
	baselineMaxFailureRate = 0.05
)

var baselineShares = [...]hornbeamwell.Share{500, 2500, 5000, hornbeamwell.FullShare}

func (b *baselineDecider) decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, _ move.MeshState) hornbeamwell.Move {
	if m.Phase.IsFinal() {
		return m
	}
	if b.isBad(seen) {
		m.Phase, m.Share, m.EndedAt = hornbeamwell.PhaseTakenBack, 0, now
		m.Reason = "failures above the threshold"
		return m
	}
	fullShareAt := m.Deadline.Add(-m.Hold)
	step := fullShareAt.Sub(m.AcceptedAt) / time.Duration(len(baselineShares))
	i := min(int(now.Sub(m.AcceptedAt)/step), len(baselineShares)-1)
	m.Share, m.Phase = baselineShares[i], hornbeamwell.PhaseStages
	if !now.Before(m.Deadline) {
		m.Phase, m.EndedAt = hornbeamwell.PhaseDone, now
	}
	return m
}

func (b *baselineDecider) isBad(seen []hornbeamwell.Observation) bool {
	latest := callCount{}
	for i := range seen {
		if seen[i].Key.Version == newVersion {
			latest.calls += seen[i].Calls
			latest.failures += seen[i].Failures
		}
	}
	b.recent = append(b.recent, latest)
	if len(b.recent) > baselineWindows {
		b.recent = b.recent[1:]
	}
	sum := callCount{}
	for _, p := range b.recent {
		sum.calls += p.calls
		sum.failures += p.failures
	}
	return sum.calls >= baselineMinCalls && float64(sum.failures) > baselineMaxFailureRate*float64(sum.calls)
}

func (b *baselineDecider) dropEvidence(time.Time, hornbeamwell.Move) { b.recent = nil }
