package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

// decider decides about one move.
type decider interface {
	// decide takes the observations of a window and returns the next state.
	decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, s move.MeshState) hornbeamwell.Move
	// dropEvidence loses the evidence.
	dropEvidence(now time.Time, m hornbeamwell.Move)
}

// policyDecider decides by a move.Policy.
type policyDecider struct {
	policy   move.Policy
	evidence *move.Evidence
	stageAt  time.Time
}

func (j *policyDecider) decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, s move.MeshState) hornbeamwell.Move {
	if j.evidence == nil {
		j.dropEvidence(now, m)
	}
	if !m.StageAt.Equal(j.stageAt) {
		j.stageAt = m.StageAt
		j.evidence.StartStage(now, m.Share)
	}
	if s.InForce {
		j.evidence.MarkInForce(now)
	}
	j.evidence.Add(now, seen...)
	next, _ := j.policy.Decide(now, m, j.evidence, s)
	return next
}

func (j *policyDecider) dropEvidence(now time.Time, m hornbeamwell.Move) {
	j.evidence = move.NewEvidence(j.policy, m, now)
	j.stageAt = m.StageAt
}

// baseline takes fixed steps and takes back above a fixed part of failures.
type baseline struct {
	recent []callCount
}

type callCount struct {
	calls, failures uint64
}

const (
	baselineWindows  = 10
	baselineMinCalls = 20
	baselineMaxFailureRate  = 0.05
)

var baselineShares = [...]hornbeamwell.Share{500, 2500, 5000, hornbeamwell.FullShare}

func (b *baseline) decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, _ move.MeshState) hornbeamwell.Move {
	if m.Phase.IsFinal() {
		return m
	}
	if b.isBad(seen) {
		m.Phase, m.Share, m.EndedAt = hornbeamwell.PhaseTakenBack, 0, now
		m.Reason = "failures above the threshold"
		return m
	}
	full := m.Deadline.Add(-m.Hold)
	step := full.Sub(m.AcceptedAt) / time.Duration(len(baselineShares))
	i := min(int(now.Sub(m.AcceptedAt)/step), len(baselineShares)-1)
	m.Share, m.Phase = baselineShares[i], hornbeamwell.PhaseStages
	if !now.Before(m.Deadline) {
		m.Phase, m.EndedAt = hornbeamwell.PhaseDone, now
	}
	return m
}

func (b *baseline) isBad(seen []hornbeamwell.Observation) bool {
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

func (b *baseline) dropEvidence(time.Time, hornbeamwell.Move) { b.recent = nil }
