package cli

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/hornbeamwell/hornbeamwell/load"
)

// loadOutput is the JSON output of load.
type loadOutput struct {
	Sent             uint64            `json:"sent"`
	Answered         uint64            `json:"answered"`
	Failed           uint64            `json:"failed"`
	Refused          uint64            `json:"refused"`
	Unknown          uint64            `json:"unknown"`
	Unreachable      uint64            `json:"unreachable"`
	Lost             uint64            `json:"lost"`
	Truncated        uint64            `json:"cut"`
	Mismatched       uint64            `json:"crossed"`
	Resent           uint64            `json:"resent"`
	Duplicated       uint64            `json:"doubled"`
	NeverRun         uint64            `json:"never_run"`
	FalseRefusals    uint64            `json:"false_refusals"`
	RunsChecked      bool              `json:"runs_checked"`
	UncheckedTargets int               `json:"unchecked_targets"`
	Versions         map[string]uint64 `json:"versions"`
	Reasons          map[string]uint64 `json:"reasons"`
	LatencyMs        latencyOutput     `json:"latency_ms"`
	DurationS        float64           `json:"duration_s"`
}

type latencyOutput struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

func newLoadOutput(r load.Report) loadOutput {
	return loadOutput{
		Sent:             r.Sent,
		Answered:         r.Verdicts[load.VerdictAnswered],
		Failed:           r.Verdicts[load.VerdictFailed],
		Refused:          r.Verdicts[load.VerdictRefused],
		Unknown:          r.Verdicts[load.VerdictUnknown],
		Unreachable:      r.Verdicts[load.VerdictUnreachable],
		Lost:             r.Verdicts[load.VerdictLost],
		Truncated:        r.Verdicts[load.VerdictTruncated],
		Mismatched:       r.Verdicts[load.VerdictMismatched],
		Resent:           r.Resent,
		Duplicated:       r.Duplicated,
		NeverRun:         r.NeverRun,
		FalseRefusals:    r.FalseRefusals,
		RunsChecked:      r.RunsChecked,
		UncheckedTargets: r.UncheckedTargets,
		Versions:         r.Versions,
		Reasons:          r.Reasons,
		LatencyMs: latencyOutput{
			Mean: milliseconds(r.Latency.Mean),
			P50:  milliseconds(r.Latency.P50),
			P90:  milliseconds(r.Latency.P90),
			P99:  milliseconds(r.Latency.P99),
			P999: milliseconds(r.Latency.P999),
			Max:  milliseconds(r.Latency.Max),
		},
		DurationS: r.Duration.Seconds(),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func printLoad(w io.Writer, r load.Report) {
	o := newLoadOutput(r)
	_, _ = fmt.Fprintf(w, "sent %d calls in %.1f s\n", o.Sent, o.DurationS)
	_, _ = fmt.Fprintf(w, "  answered %d, failed %d, refused %d, unknown %d, unreachable %d, resent %d\n",
		o.Answered, o.Failed, o.Refused, o.Unknown, o.Unreachable, o.Resent)
	_, _ = fmt.Fprintf(w, "  lost %d, cut %d, crossed %d\n", o.Lost, o.Truncated, o.Mismatched)
	switch {
	case !o.RunsChecked:
		_, _ = fmt.Fprintln(w, "  doubled: not checked; name the stand-in targets with --count-at")
	case o.UncheckedTargets > 0:
		_, _ = fmt.Fprintf(w, "  doubled %d, false refusals %d; the runs of %d targets are not known\n", o.Duplicated, o.FalseRefusals, o.UncheckedTargets)
	default:
		_, _ = fmt.Fprintf(w, "  doubled %d, never run %d, false refusals %d\n", o.Duplicated, o.NeverRun, o.FalseRefusals)
	}
	l := o.LatencyMs
	_, _ = fmt.Fprintf(w, "  latency ms: mean %.2f, p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n", l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max)
	printVersions(w, r.Versions)
}

func printVersions(w io.Writer, versions map[string]uint64) {
	names := make([]string, 0, len(versions))
	for name := range versions {
		names = append(names, name)
	}
	slices.Sort(names)
	rows := make([][]string, 0, len(names))
	for _, name := range names {
		rows = append(rows, []string{name, strconv.FormatUint(versions[name], 10)})
	}
	printTable(w, "VERSION CALLS", rows)
}
