package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

// decider decides about one move.
type decider interface {
	// decide takes the observations of a window and returns the next state.
	decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, s move.Situation) hornbeamwell.Move
	// forget loses the evidence.
	forget(now time.Time, m hornbeamwell.Move)
}

// judge decides by a move.Policy.
type judge struct {
	policy   move.Policy
	evidence *move.Evidence
	stageAt  time.Time
}

func (j *judge) decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, s move.Situation) hornbeamwell.Move {
	if j.evidence == nil {
		j.forget(now, m)
	}
	if !m.StageAt.Equal(j.stageAt) {
		j.stageAt = m.StageAt
		j.evidence.StartStage(now, m.Share)
	}
	if s.InForce {
		j.evidence.InForce(now)
	}
	j.evidence.Add(now, seen...)
	next, _ := j.policy.Decide(now, m, j.evidence, s)
	return next
}

func (j *judge) forget(now time.Time, m hornbeamwell.Move) {
	j.evidence = move.NewEvidence(j.policy, m, now)
	j.stageAt = m.StageAt
}

// baseline takes fixed steps and takes back above a fixed part of failures.
type baseline struct {
	recent []pairCount
}

type pairCount struct {
	calls, failures uint64
}

const (
	baselineWindows  = 10
	baselineMinCalls = 20
	baselineFailing  = 0.05
)

var baselineShares = [...]hornbeamwell.Share{500, 2500, 5000, hornbeamwell.FullShare}

func (b *baseline) decide(now time.Time, m hornbeamwell.Move, seen []hornbeamwell.Observation, _ move.Situation) hornbeamwell.Move {
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
	latest := pairCount{}
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
	sum := pairCount{}
	for _, p := range b.recent {
		sum.calls += p.calls
		sum.failures += p.failures
	}
	return sum.calls >= baselineMinCalls && float64(sum.failures) > baselineFailing*float64(sum.calls)
}

func (b *baseline) forget(time.Time, hornbeamwell.Move) { b.recent = nil }
