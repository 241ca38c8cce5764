package move

import (
	"math"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// RouteReport is the evidence about one route of a move.
type RouteReport struct {
	Route   string
	Figures hornbeamwell.MoveFigures
	// Verdict is "good", "not proved", "doubtful" or "bad".
	Verdict string
}

// The verdicts about a route, which are part of the operator API.
const (
	VerdictGood      = "good"
	VerdictNotProved = "not proved"
	VerdictDoubtful  = "doubtful"
	VerdictBad       = "bad"
)

// Report is the state of a move as an operator sees it.
type Report struct {
	Move hornbeamwell.Move
	// ShareInForce is the measured fraction of the calls that reached the canary
	// in the last interval, zero without calls. For a final move and on an instance
	// without evidence it is the decided share.
	ShareInForce hornbeamwell.Share
	// Routes are sorted by name.
	Routes []RouteReport
	// WaitsFor describes what the move waits for. It is empty for a final move, and
	// if nothing blocks the next step.
	WaitsFor string
	// ExpectedEnd is the time of the final phase, estimated while the move is
	// open.
	ExpectedEnd time.Time
	// AtRisk is true if the expected end is after the deadline, the evidence is
	// doubtful or the move is paused. On an instance without evidence it is true
	// for an open move whose deadline has passed.
	AtRisk bool
}

// Report returns the report of a move, and false if the move is not in the
// configuration. An instance that does not lead has no evidence and reports only
// the committed state.
func (c *Controller) Report(now time.Time, id string) (Report, bool) {
	m, ok := c.moves[id]
	if !ok {
		return Report{}, false
	}
	t, ok := c.trackers[id]
	if m.Phase.IsFinal() || !ok {
		return durableReport(now, m), true
	}
	return c.options.PolicyFor(m).report(now, m, t.evidence, t.mesh), true
}

func durableReport(now time.Time, m hornbeamwell.Move) Report {
	r := Report{Move: m, ShareInForce: m.Share, ExpectedEnd: m.EndedAt}
	if !m.Phase.IsFinal() {
		r.WaitsFor = "evidence, which only the leader has"
		r.ExpectedEnd = m.Deadline
		r.AtRisk = now.After(m.Deadline)
	}
	return r
}

func (p Policy) report(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) Report {
	r := Report{
		Move:         m,
		ShareInForce: evidence.shareInForce(),
		Routes:       evidence.routeReports(),
		WaitsFor:     p.waitsFor(now, m, evidence, mesh),
		ExpectedEnd:  p.expectedEnd(now, m, evidence),
	}
	r.AtRisk = r.ExpectedEnd.After(m.Deadline) || evidence.IsDoubtful() || m.Paused
	return r
}

// shareInForce returns the canary's share of the calls of the last closed interval.
func (e *Evidence) shareInForce() hornbeamwell.Share {
	canary := e.last.canary.received()
	all := e.last.old.received() + canary
	if all == 0 {
		return 0
	}
	return hornbeamwell.Share(uint64(hornbeamwell.FullShare) * canary / all)
}

func (e *Evidence) routeReports() []RouteReport {
	keys := e.sortedScopes(scopeRoute)
	reports := make([]RouteReport, 0, len(keys))
	for _, key := range keys {
		s := e.scopes[key]
		reports = append(reports, RouteReport{
			Route:   key.name,
			Figures: s.seen.figures(),
			Verdict: e.routeVerdict(s),
		})
	}
	return reports
}

func (e *Evidence) routeVerdict(s *scope) string {
	against := s.verdict.logValue(e.signals)
	switch {
	case against >= -math.Log(e.policy.FalseAlarmRate):
		return VerdictBad
	case against >= math.Log(e.policy.DoubtLevel):
		return VerdictDoubtful
	case s.total.excludes(proofExcesses[1], e.policy.ProofLevel):
		return VerdictGood
	default:
		return VerdictNotProved
	}
}

// waitsFor describes what an open move waits for. It is empty if nothing blocks the
// next step.
func (p Policy) waitsFor(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) string {
	if m.Paused {
		return "resume by an operator"
	}
	switch m.Phase {
	case hornbeamwell.PhaseTakingBack:
		return "the share of zero to be in force on every proxy"
	case hornbeamwell.PhaseHolding:
		return p.holdBlocker(now, m, evidence, mesh)
	case hornbeamwell.PhaseWarming, hornbeamwell.PhaseStages:
		if i := p.stageAfter(m.Share); i < len(p.Stages) {
			return p.stageBlocker(now, m, i, evidence, mesh)
		}
	default:
	}
	return "the next decision"
}

// expectedEnd estimates the time of the final phase from the call rate.
func (p Policy) expectedEnd(now time.Time, m hornbeamwell.Move, evidence *Evidence) time.Time {
	switch m.Phase {
	case hornbeamwell.PhaseTakingBack:
		return m.StageAt.Add(p.InForceTimeout)
	case hornbeamwell.PhaseHolding:
		return p.holdEnd(m)
	default:
		return now.Add(p.timeToFullShare(m, evidence)).Add(m.Hold)
	}
}

// timeToFullShare estimates the time until the full share. If the deadline is
// preferred, it is at most the time planned for all stages.
func (p Policy) timeToFullShare(m hornbeamwell.Move, evidence *Evidence) time.Duration {
	rate := evidence.callRate()
	left := time.Duration(0)
	share := m.Share
	for _, stage := range p.Stages[p.stageAfter(m.Share):] {
		left += p.stageTime(share, stage, rate)
		share = stage.Share
	}
	if m.Prefer == hornbeamwell.PreferDeadline {
		left = min(left, p.fullShareAt(m).Sub(m.AcceptedAt))
	}
	return left
}

// unknownStageTime is the estimate for a stage with too few calls to be proved
// within that time.
const unknownStageTime = time.Hour

// stageTime estimates the time at a share until the next stage begins.
func (p Policy) stageTime(share hornbeamwell.Share, next Stage, rate float64) time.Duration {
	if next.MaxExcess == 0 || share == 0 {
		return p.MinDwell
	}
	calls := max(-math.Log(p.ProofLevel)/next.MaxExcess, float64(p.MinStageCalls))
	perSecond := rate * fractionOf(share)
	if perSecond*unknownStageTime.Seconds() < calls {
		return unknownStageTime
	}
	return max(p.MinDwell, time.Duration(calls/perSecond*float64(time.Second)))
}

// callRate returns the number of calls of both versions per second in the last
// closed interval.
func (e *Evidence) callRate() float64 {
	if e.lastDuration <= 0 {
		return 0
	}
	return float64(e.last.old.received()+e.last.canary.received()) / e.lastDuration.Seconds()
}
