package demo

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	// badShareLimit bounds the fraction of the calls to its service to which the
	// bad version may respond: the share of a canary, which is 5%, and a margin
	// for the random spread of so few calls.
	badShareLimit = 0.075
	// callsPerUnserved is the least number of calls sent for each call that was
	// refused, left unknown or could not reach a proxy.
	callsPerUnserved = 1000
)

// Result is the outcome of a demonstration.
type Result struct {
	Load load.Report
	// GoodMove and BadMove are the moves as last received, nil if the
	// demonstration failed before it waited for them.
	GoodMove, BadMove *schema.Move
	// BadCalls is the number of calls to which the bad version responded until the
	// end of its move, out of BadServiceCalls to which its service responded. Failed
	// calls count too.
	BadCalls, BadServiceCalls uint64
	// LateBadCalls is the number of calls to which the bad version responded later
	// than badGrace after the end of its move.
	LateBadCalls uint64
	// Convergence holds the times from the acceptance of a configuration, or the
	// restart of the leader, until it was in force on all live proxies.
	Convergence []time.Duration
	// Regressions describes each return of a proxy to an older version.
	Regressions []string
	// Polls is the number of polls of the versions of all proxies.
	Polls int
	// Violations is the number of violations of invariants in this process.
	Violations uint64
	// Failures are the errors of processes and targets.
	Failures []error
	Duration time.Duration

	// badCallsAfterGrace is the number of calls to which the bad version had
	// responded when badGrace was over.
	badCallsAfterGrace uint64
}

// Check is one check of the result.
type Check struct {
	Name   string
	Passed bool
	// Observed describes the observed values.
	Observed string
}

// Checks returns every check of the result.
func (r *Result) Checks() []Check {
	return slices.Concat(r.callChecks(), r.moveChecks(), r.controlChecks())
}

func (r *Result) callChecks() []Check {
	v := r.Load.Verdicts
	violations := v[load.VerdictLost] + v[load.VerdictTruncated] + v[load.VerdictMismatched]
	unserved := v[load.VerdictRefused] + v[load.VerdictUnknown] + v[load.VerdictUnreachable]
	return []Check{
		{
			Name:     "no call lost, cut or crossed",
			Passed:   violations == 0 && r.Load.Sent > 0,
			Observed: fmt.Sprintf("%d lost, %d cut, %d crossed of %d", v[load.VerdictLost], v[load.VerdictTruncated], v[load.VerdictMismatched], r.Load.Sent),
		},
		{
			Name:     "hardly a call was refused or left unknown",
			Passed:   unserved*callsPerUnserved <= r.Load.Sent,
			Observed: fmt.Sprintf("%d refused, %d unknown, %d unreachable", v[load.VerdictRefused], v[load.VerdictUnknown], v[load.VerdictUnreachable]),
		},
		{
			Name:     "no booking or order ran twice",
			Passed:   r.Load.RunsChecked && r.Load.Duplicated == 0,
			Observed: fmt.Sprintf("%d doubled, %d resent with their key", r.Load.Duplicated, r.Load.Resent),
		},
		{
			Name:     "every refusal was true",
			Passed:   r.Load.RunsChecked && r.Load.FalseRefusals == 0 && r.Load.NeverRun == 0,
			Observed: fmt.Sprintf("%d refused, %d of them ran; %d answered without a run", v[load.VerdictRefused], r.Load.FalseRefusals, r.Load.NeverRun),
		},
	}
}

func (r *Result) moveChecks() []Check {
	return []Check{
		{
			Name:     "the good version is done in time",
			Passed:   isDoneByDeadline(r.GoodMove),
			Observed: describeMove(r.GoodMove),
		},
		{
			Name:     "the bad version is taken back",
			Passed:   phaseOf(r.BadMove) == hornbeamwell.PhaseTakenBack,
			Observed: describeMove(r.BadMove),
		},
		{
			Name:     "the bad version got a small share",
			Passed:   r.badShare() <= badShareLimit,
			Observed: fmt.Sprintf("%d of %d calls to its service, %.2f%%", r.BadCalls, r.BadServiceCalls, 100*r.badShare()),
		},
		{
			Name:     "and none soon after its end",
			Passed:   r.LateBadCalls == 0 && phaseOf(r.BadMove).IsFinal(),
			Observed: fmt.Sprintf("%d calls later than %s after its end", r.LateBadCalls, badGrace),
		},
	}
}

func (r *Result) controlChecks() []Check {
	return []Check{
		{
			Name:     "every configuration came into force",
			Passed:   len(r.Convergence) == expectedConvergences,
			Observed: formatDurations(r.Convergence),
		},
		{
			Name:     "no proxy went back to an older version",
			Passed:   len(r.Regressions) == 0 && r.Polls > 0,
			Observed: fmt.Sprintf("%s in %d polls of all proxies", orNone(strings.Join(r.Regressions, "; ")), r.Polls),
		},
		{
			Name:     "no invariant was violated",
			Passed:   r.Violations == 0,
			Observed: fmt.Sprintf("%d violations", r.Violations),
		},
		{
			Name:     "every process stopped gracefully",
			Passed:   len(r.Failures) == 0,
			Observed: orNone(joinErrors(r.Failures)),
		},
	}
}

// expectedConvergences is the number of steps that wait until a configuration is
// in force on all live proxies.
const expectedConvergences = 3

// Passed reports whether every check passed.
func (r *Result) Passed() bool {
	return !slices.ContainsFunc(r.Checks(), func(c Check) bool { return !c.Passed })
}

// badShare returns the fraction of the calls to its service to which the bad
// version responded until the end of its move, 0 if there were none.
func (r *Result) badShare() float64 {
	if r.BadServiceCalls == 0 {
		return 0
	}
	return float64(r.BadCalls) / float64(r.BadServiceCalls)
}

func phaseOf(m *schema.Move) hornbeamwell.Phase { return hornbeamwell.Phase(m.GetPhase()) }

func isDoneByDeadline(m *schema.Move) bool {
	return phaseOf(m) == hornbeamwell.PhaseDone && !m.GetEndedAt().AsTime().After(m.GetDeadline().AsTime())
}

func describeMove(m *schema.Move) string {
	if !phaseOf(m).IsFinal() {
		return "the move did not end"
	}
	elapsed := m.GetEndedAt().AsTime().Sub(m.GetAcceptedAt().AsTime()).Round(100 * time.Millisecond)
	f := m.GetFigures()
	return fmt.Sprintf("%s after %s; new version failed %d of %d calls, old %d of %d",
		m.GetPhase(), elapsed, f.GetNewFailures(), f.GetNewCalls(), f.GetOldFailures(), f.GetOldCalls())
}

func formatDurations(durations []time.Duration) string {
	texts := make([]string, 0, len(durations))
	for _, t := range durations {
		texts = append(texts, t.Round(time.Millisecond).String())
	}
	return "after " + strings.Join(texts, ", ")
}

func joinErrors(errs []error) string {
	texts := make([]string, 0, len(errs))
	for _, err := range errs {
		texts = append(texts, err.Error())
	}
	return strings.Join(texts, "; ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// countViolations returns the number of violations of invariants in this process,
// read from its metrics.
func countViolations() uint64 {
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	var total uint64
	for line := range strings.Lines(out.String()) {
		if !strings.HasPrefix(line, "hornbeamwell_invariant_violations_total") {
			continue
		}
		fields := strings.Fields(line)
		n, err := strconv.ParseUint(fields[len(fields)-1], 10, 64)
		if err == nil {
			total += n
		}
	}
	return total
}
