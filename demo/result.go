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
	// badShareLimit bounds the part of the calls to its service that a bad
	// version may answer: the share of an unproved version, which is 5%, and
	// the chance in so few calls.
	badShareLimit = 0.075
	// refusedLimit is the least number of calls for each that was not served.
	refusedLimit = 1000
)

// Result is what a demonstration saw.
type Result struct {
	Load load.Report
	// Good and Bad are the moves at their end, nil where they did not end.
	Good, Bad *schema.Move
	// BadCalls are the calls that the bad version answered during its move, of
	// BadServiceCalls to its service.
	BadCalls, BadServiceCalls uint64
	// LateBadCalls are the calls that it answered from badGrace after the end
	// of its move on.
	LateBadCalls uint64
	// Convergence holds the times from accepted to in force everywhere.
	Convergence []time.Duration
	// Returned names the proxies that were seen to go back to an older version.
	Returned []string
	// Looks is the number of times at which the proxies were looked at.
	Looks int
	// Violations counts the violated invariants inside the program.
	Violations uint64
	Failures   []error
	Duration   time.Duration

	badCallsSettled uint64
}

// Check is one thing that must hold.
type Check struct {
	Name   string
	Passed bool
	// Observed is what was seen.
	Observed string
}

// Checks returns every promise with what was seen.
func (r *Result) Checks() []Check {
	return slices.Concat(r.callPromises(), r.movePromises(), r.controlPromises())
}

func (r *Result) callPromises() []Check {
	v := r.Load.Verdicts
	broken := v[load.VerdictLost] + v[load.VerdictTruncated] + v[load.VerdictMismatched]
	notServed := v[load.VerdictRefused] + v[load.VerdictUnknown] + v[load.VerdictUnreachable]
	return []Check{
		{
			Name:     "no call lost, cut or crossed",
			Passed:   broken == 0 && r.Load.Sent > 0,
			Observed: fmt.Sprintf("%d lost, %d cut, %d crossed of %d", v[load.VerdictLost], v[load.VerdictTruncated], v[load.VerdictMismatched], r.Load.Sent),
		},
		{
			Name:     "hardly a call was refused or left unknown",
			Passed:   notServed*refusedLimit <= r.Load.Sent,
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

func (r *Result) movePromises() []Check {
	return []Check{
		{
			Name:     "the good version is done in time",
			Passed:   isDoneInTime(r.Good),
			Observed: describeMove(r.Good),
		},
		{
			Name:     "the bad version is taken back",
			Passed:   phaseOf(r.Bad) == hornbeamwell.PhaseTakenBack,
			Observed: describeMove(r.Bad),
		},
		{
			Name:     "the bad version got a small share",
			Passed:   r.badShare() <= badShareLimit,
			Observed: fmt.Sprintf("%d of %d calls to its service, %.2f%%", r.BadCalls, r.BadServiceCalls, 100*r.badShare()),
		},
		{
			Name:     "and none soon after its end",
			Passed:   r.LateBadCalls == 0 && phaseOf(r.Bad).IsFinal(),
			Observed: fmt.Sprintf("%d calls from %s after it on", r.LateBadCalls, badGrace),
		},
	}
}

func (r *Result) controlPromises() []Check {
	return []Check{
		{
			Name:     "every configuration came into force",
			Passed:   len(r.Convergence) == convergences,
			Observed: formatTimes(r.Convergence),
		},
		{
			Name:     "no proxy went back to an older version",
			Passed:   len(r.Returned) == 0 && r.Looks > 0,
			Observed: fmt.Sprintf("%s in %d looks at all proxies", orNone(strings.Join(r.Returned, "; ")), r.Looks),
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

// convergences is the number of times at which the story waits for a
// configuration to be in force everywhere.
const convergences = 3

// Passed reports whether every promise held.
func (r *Result) Passed() bool {
	return !slices.ContainsFunc(r.Checks(), func(p Check) bool { return !p.Passed })
}

// badShare is the part of the calls to its service that the bad version
// answered during its move.
func (r *Result) badShare() float64 {
	if r.BadServiceCalls == 0 {
		return 0
	}
	return float64(r.BadCalls) / float64(r.BadServiceCalls)
}

func phaseOf(m *schema.Move) hornbeamwell.Phase { return hornbeamwell.Phase(m.GetPhase()) }

func isDoneInTime(m *schema.Move) bool {
	return phaseOf(m) == hornbeamwell.PhaseDone && !m.GetEndedAt().AsTime().After(m.GetDeadline().AsTime())
}

func describeMove(m *schema.Move) string {
	if !phaseOf(m).IsFinal() {
		return "the move did not end"
	}
	took := m.GetEndedAt().AsTime().Sub(m.GetAcceptedAt().AsTime()).Round(100 * time.Millisecond)
	f := m.GetFigures()
	return fmt.Sprintf("%s after %s; new version failed %d of %d calls, old %d of %d",
		m.GetPhase(), took, f.GetNewFailures(), f.GetNewCalls(), f.GetOldFailures(), f.GetOldCalls())
}

func formatTimes(times []time.Duration) string {
	texts := make([]string, 0, len(times))
	for _, t := range times {
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

// countViolations adds up the violated invariants of this process.
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
