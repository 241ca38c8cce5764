package simulation

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

// KindResult counts the moves to canaries with one kind of fault.
type KindResult struct {
	Kind FaultKind
	// Moves counts all moves except those that DoneBeforeFault counts. TakenBack
	// counts those of Moves that were taken back.
	Moves, TakenBack int
	// DoneBeforeFault counts moves that were done before the fault harmed a call.
	DoneBeforeFault int
	// Harmed holds the number of harmed calls of each move.
	Harmed []uint64
	// TimeToVerdict holds the time from the first harmed call to the verdict of
	// each move with harmed calls that was taken back.
	TimeToVerdict []time.Duration
}

// Result counts the moves of one deployment with one decider.
type Result struct {
	Deployment, Decider string
	// Good counts the moves to good canaries.
	Good int
	// InTime counts the good canaries whose move was done by the deadline,
	// DoneLate those whose move was done after it.
	InTime, DoneLate int
	// Inconclusive counts good canaries taken back at the deadline for lack of
	// evidence, FalseTakeBacks all others that were not done: those judged bad and
	// those whose move is unfinished.
	FalseTakeBacks, Inconclusive int
	// Unfinished counts moves without a final phase.
	Unfinished int
	// Misjudged describes each move that took a good canary back or kept a bad
	// one.
	Misjudged []string
	Kinds     []KindResult
}

// Run simulates n generated moves of a deployment with the policy and with the
// baseline.
func Run(policy move.Policy, d Deployment, n int, seed uint64) (policyResult, baselineResult Result) {
	cases := make([]Case, n)
	for i := range cases {
		cases[i] = Generate(d, seed, uint64(i))
	}
	policyResult = collect(d, "policy", cases, func(c Case) Outcome { return RunCase(policy, c) })
	baselineResult = collect(d, "baseline", cases, RunCaseBaseline)
	return policyResult, baselineResult
}

// workers is the number of moves simulated concurrently.
const workers = 4

func collect(d Deployment, decider string, cases []Case, runCase func(Case) Outcome) Result {
	outcomes := make([]Outcome, len(cases))
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < len(cases); i += workers {
				outcomes[i] = runCase(cases[i])
			}
		})
	}
	wg.Wait()
	r := Result{Deployment: d.Name, Decider: decider}
	for _, k := range BadKinds() {
		r.Kinds = append(r.Kinds, KindResult{Kind: k})
	}
	for i := range cases {
		r.add(&cases[i], &outcomes[i])
		if isMisjudged(&cases[i], &outcomes[i]) {
			r.Misjudged = append(r.Misjudged, describe(i, &cases[i], &outcomes[i]))
		}
	}
	return r
}

func (r *Result) add(c *Case, o *Outcome) {
	if !o.Move.Phase.IsFinal() {
		r.Unfinished++
	}
	if c.Fault.Kind == Good {
		r.addGood(o)
		return
	}
	i := slices.IndexFunc(r.Kinds, func(k KindResult) bool { return k.Kind == c.Fault.Kind })
	r.Kinds[i].add(o)
}

// isMisjudged reports whether a good canary was taken back, or a bad one was kept
// although its fault harmed calls.
func isMisjudged(c *Case, o *Outcome) bool {
	if c.Fault.Kind == Good {
		return o.Move.Phase == hornbeamwell.PhaseTakenBack
	}
	return o.Move.Phase == hornbeamwell.PhaseDone && o.Harmed > 0
}

// isInconclusive reports whether a move was taken back for lack of evidence. It
// matches the reasons of move.Policy.
func isInconclusive(o *Outcome) bool {
	return strings.HasPrefix(o.Move.Reason, "the deadline came and")
}

func describe(number int, c *Case, o *Outcome) string {
	return fmt.Sprintf("case %d: %+v; rate %.0f, deadline %v, %s; %+v; harmed %d, ended after %v: %s",
		number, c.Fault, c.Rate, c.Deadline, c.Service.Name, c.Disturbances, o.Harmed, o.Move.EndedAt.Sub(epoch), o.Move.Reason)
}

func (r *Result) addGood(o *Outcome) {
	r.Good++
	switch {
	case o.Move.Phase == hornbeamwell.PhaseDone && !o.Move.EndedAt.After(o.Move.Deadline):
		r.InTime++
	case o.Move.Phase == hornbeamwell.PhaseDone:
		r.DoneLate++
	case isInconclusive(o):
		r.Inconclusive++
	default:
		r.FalseTakeBacks++
	}
}

func (k *KindResult) add(o *Outcome) {
	if o.Move.Phase == hornbeamwell.PhaseDone && o.Harmed == 0 {
		k.DoneBeforeFault++
		return
	}
	k.Moves++
	k.Harmed = append(k.Harmed, o.Harmed)
	if o.Move.Phase != hornbeamwell.PhaseTakenBack {
		return
	}
	k.TakenBack++
	if o.Harmed > 0 {
		k.TimeToVerdict = append(k.TimeToVerdict, max(0, o.TakenBackAt-o.FirstHarmAt))
	}
}

// Bad returns the sum over all kinds of faults.
func (r *Result) Bad() KindResult {
	sum := KindResult{Kind: "all_bad"}
	for _, k := range r.Kinds {
		sum.Moves += k.Moves
		sum.TakenBack += k.TakenBack
		sum.DoneBeforeFault += k.DoneBeforeFault
		sum.Harmed = append(sum.Harmed, k.Harmed...)
		sum.TimeToVerdict = append(sum.TimeToVerdict, k.TimeToVerdict...)
	}
	return sum
}

// String returns the result as a table.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s: good %d: in time %s, done late %d, taken back as bad %s, taken back for lack of evidence %d; unfinished %d\n",
		r.Deployment, r.Decider, r.Good, formatCount(r.InTime, r.Good), r.DoneLate, formatCount(r.FalseTakeBacks, r.Good), r.Inconclusive, r.Unfinished)
	fmt.Fprintf(&b, "  %-32s %6s %18s %6s %12s %9s %12s %9s\n", "kind", "moves", "taken back", "before", "harmed mean", "p99", "verdict mean", "p99")
	for _, k := range append(r.Kinds, r.Bad()) {
		fmt.Fprintf(&b, "  %-32s %6d %18s %6d %12.1f %9d %11.1fs %8.0fs\n", k.Kind, k.Moves, formatCount(k.TakenBack, k.Moves), k.DoneBeforeFault,
			mean(k.Harmed), quantile(k.Harmed, 0.99), mean(k.TimeToVerdict)/float64(time.Second), quantile(k.TimeToVerdict, 0.99).Seconds())
	}
	return b.String()
}

func formatCount(n, of int) string {
	if of == 0 {
		return "0 of 0"
	}
	return fmt.Sprintf("%d (%.2f%%)", n, 100*float64(n)/float64(of))
}

func mean[T ~int64 | ~uint64](values []T) float64 {
	sum := 0.0
	for _, v := range values {
		sum += float64(v)
	}
	return sum / float64(max(len(values), 1))
}

func quantile[T ~int64 | ~uint64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
