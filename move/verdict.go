package move

import (
	"fmt"
	"math"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Verdict is the result of the tests of the canary.
type Verdict struct {
	// Bad is true if the evidence shows that the canary is bad.
	Bad bool
	// Alarming is true if the calls at the present share look bad enough to lower
	// the share for a comparison of both versions.
	Alarming bool
	// LogEvidence is the logarithm of the e-value against the canary, LogAlarm
	// that of the faster comparison at the present share.
	LogEvidence, LogAlarm float64
	// Scope names the routes or availability zone with the most evidence.
	Scope string
	// Text describes the evidence in a few words.
	Text string
}

// Verdict returns the verdict after the last closed interval or, if it is later,
// the last start of a stage.
func (e *Evidence) Verdict() Verdict {
	return e.verdict
}

// judge returns the verdict from the weighted mean of the evidence of all scopes.
// The weights correct for the number of scopes.
func (e *Evidence) judge() Verdict {
	against, worstScope := e.weigh(func(s *scope) *eProcesses { return &s.verdict })
	alarm, alarmScope := e.weigh(func(s *scope) *eProcesses { return &s.alarm })
	v := Verdict{
		Bad:         against >= -math.Log(e.policy.FalseAlarmRate),
		Alarming:    alarm >= -math.Log(e.policy.AlarmLevel),
		LogEvidence: against,
		LogAlarm:    alarm,
		Scope:       worstScope.String(),
		Text:        e.describe(worstScope, func(s *scope) *eProcesses { return &s.verdict }),
	}
	if v.Alarming && !v.Bad {
		v.Scope = alarmScope.String()
		v.Text = e.describe(alarmScope, func(s *scope) *eProcesses { return &s.alarm })
	}
	return v
}

// weigh returns the logarithm of the weighted mean evidence of all scopes, and the
// key of the scope with the most evidence.
func (e *Evidence) weigh(processesOf func(*scope) *eProcesses) (float64, scopeKey) {
	total, most := math.Inf(-1), math.Inf(-1)
	worst := scopeKey{kind: scopeOverall}
	for _, kind := range []scopeKind{scopeOverall, scopeRoute, scopeZone} {
		keys := e.sortedScopes(kind)
		weight := -math.Log(scopeKindCount * float64(max(len(keys), 1)))
		for _, key := range keys {
			v := processesOf(e.scopes[key]).logValue(e.signals)
			total = logAdd(total, v+weight)
			if v > most {
				worst, most = key, v
			}
		}
	}
	return total, worst
}

// IsDoubtful reports whether there is evidence against the canary, even if not
// enough for a verdict. An alarm counts only above ProbeShare, where it lowers the
// share, because with few calls it lasts long after its cause is gone.
func (e *Evidence) IsDoubtful() bool {
	doubt := math.Log(e.policy.DoubtLevel)
	if e.verdict.LogEvidence >= doubt || e.isDoubtfullySlow() {
		return true
	}
	return e.share > e.policy.ProbeShare && e.verdict.LogAlarm >= doubt
}

// describe describes the strongest evidence in a scope.
func (e *Evidence) describe(key scopeKey, processesOf func(*scope) *eProcesses) string {
	s, ok := e.scopes[key]
	if !ok {
		return "no calls yet"
	}
	i := processesOf(s).strongest(e.signals)
	f := s.seen.figures()
	if i == signalFailures {
		return fmt.Sprintf("failures on %s: new %s, old %s", key,
			formatRatio(f.NewFailures, f.NewCalls), formatRatio(f.OldFailures, f.OldCalls))
	}
	return fmt.Sprintf("%s on %s: new %s, old %s", e.signals[i].name, key,
		formatLatencies(&s.seen.canary), formatLatencies(&s.seen.old))
}

// summary describes the figures of the move.
func (e *Evidence) summary() string {
	f := e.Figures()
	return fmt.Sprintf("failures of new %s, of old %s; 99 in 100 calls under %v and %v",
		formatRatio(f.NewFailures, f.NewCalls), formatRatio(f.OldFailures, f.OldCalls), rounded(f.NewP99), rounded(f.OldP99))
}

// Figures returns the counts behind the evidence.
func (e *Evidence) Figures() hornbeamwell.MoveFigures {
	overall, ok := e.scopes[scopeKey{kind: scopeOverall}]
	if !ok {
		return hornbeamwell.MoveFigures{}
	}
	figures := overall.seen.figures()
	figures.WorstRoute = e.worstRoute()
	return figures
}

func (e *Evidence) worstRoute() string {
	worst, most := "", math.Inf(-1)
	for _, key := range e.sortedScopes(scopeRoute) {
		if v := e.scopes[key].verdict.logValue(e.signals); v > most {
			worst, most = key.name, v
		}
	}
	return worst
}

// stageExcess is the excess failure rate that must be ruled out again at each
// share.
const stageExcess = 0.20

// missingProof describes the proof that a stage still waits for at the present
// share. It is empty if none is missing.
func (e *Evidence) missingProof(stage Stage, share hornbeamwell.Share) string {
	if stage.MaxExcess == 0 {
		return ""
	}
	overall, ok := e.scopes[scopeKey{kind: scopeOverall}]
	if !ok {
		return "calls of the new version"
	}
	if share > 0 && overall.stage.sum.calls < e.policy.MinStageCalls {
		return fmt.Sprintf("%d calls of the new version at this share", e.policy.MinStageCalls)
	}
	if share > 0 && !overall.stage.excludes(stageExcess, e.policy.ProofLevel) {
		return fmt.Sprintf("proof at this share that it fails at most %g%% more calls", stageExcess*100)
	}
	if !overall.total.excludes(stage.MaxExcess, e.policy.ProofLevel) {
		return fmt.Sprintf("proof that it fails at most %g%% more calls", stage.MaxExcess*100)
	}
	if !overall.total.excludesSlowness(e.policy.ProofLevel) {
		return "proof that it is not slower"
	}
	return e.missingRouteProof(stage)
}

// missingRouteProof describes the first route whose proof a stage still waits for.
// It is empty if none is missing.
func (e *Evidence) missingRouteProof(stage Stage) string {
	if stage.MaxRouteExcess == 0 {
		return ""
	}
	all := float64(e.scopes[scopeKey{kind: scopeOverall}].seen.old.calls)
	for _, key := range e.sortedScopes(scopeRoute) {
		s := e.scopes[key]
		if s.seen.old.calls == 0 || s.isIdle() {
			continue
		}
		excess := stage.routeExcess(float64(s.seen.old.calls) / all)
		if !s.total.excludes(excess, e.policy.ProofLevel) {
			return fmt.Sprintf("proof that it fails at most %.3g%% more calls on %s", excess*100, key)
		}
	}
	return ""
}

func formatRatio(part, whole uint64) string {
	if whole == 0 {
		return "0 of 0"
	}
	return fmt.Sprintf("%d of %d (%.2f%%)", part, whole, 100*float64(part)/float64(whole))
}

func formatLatencies(s *sample) string {
	return fmt.Sprintf("half under %v, 95 in 100 under %v", rounded(s.latency.Quantile(medianQuantile)), rounded(s.latency.Quantile(tailQuantile)))
}

func rounded(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}
