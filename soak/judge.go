package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// judge returns what the counts say against the promises.
func (r *runner) judge() []string {
	findings := judgeCalls(&r.report.Steady, &r.report.UnderFaults)
	for _, t := range r.site.Targets {
		if _, late := t.Calls(); late > 0 {
			findings = append(findings, fmt.Sprintf("%d calls came to the target of %s later than %s after it left", late, t.Proxy.ID, drainBound))
		}
	}
	if repeats, allowed := r.countRepeats(); repeats > allowed {
		findings = append(findings, fmt.Sprintf("%d calls reached targets again, %d are allowed", repeats, allowed))
	}
	if violated := r.site.Violations(); violated != "" {
		findings = append(findings, "invariants were violated: "+violated)
	}
	return append(findings, r.panics()...)
}

// judgeCalls returns the promises to callers that were broken. A caller of a
// killed proxy sees a cut, which is no broken promise.
func judgeCalls(steady, rough *load.Report) []string {
	var findings []string
	check := func(count uint64, what string) {
		if count > 0 {
			findings = append(findings, fmt.Sprintf("%d calls %s", count, what))
		}
	}
	for _, report := range []*load.Report{steady, rough} {
		check(report.Duplicated, "that may not be repeated ran twice")
		check(report.FalseRefusals, "were refused as not run and had run")
		check(report.NeverRun, "were answered and never ran")
		check(report.Verdicts[load.VerdictMismatched], "got the answer to another")
	}
	check(steady.Verdicts[load.VerdictLost], "through proxies that were only stopped gracefully got no answer")
	check(steady.Verdicts[load.VerdictTruncated], "through proxies that were only stopped gracefully got a part of an answer")
	return findings
}

// countRepeats returns how often calls reached targets again, and how often
// they may have: a part of the calls, a reserve of each proxy, and what callers
// sent again themselves.
func (r *runner) countRepeats() (repeats, allowed int) {
	for _, count := range r.site.Runs.WithPrefix("") {
		repeats += max(count-1, 0)
	}
	sent := r.report.Steady.Sent + r.report.UnderFaults.Sent
	resent := r.report.Steady.Resent + r.report.UnderFaults.Resent
	starts := len(r.site.Entries) + r.report.Events[KindKillEntry] + r.report.Events[KindStopEntry]
	return repeats, int(route.DefaultRetryRatio*float64(sent)+route.DefaultRetryReserve*float64(starts)*services) + int(resent)
}

// services is the number of services; each has a reserve of its own.
const services = 2

// panics returns the processes whose log tells of a panic.
func (r *runner) panics() []string {
	var found []string
	for _, p := range r.site.Processes() {
		log, err := os.ReadFile(p.logPath)
		if err != nil {
			found = append(found, fmt.Sprintf("the log of %s cannot be read: %v", p.ID, err))
			continue
		}
		if bytes.Contains(log, []byte("panic")) || bytes.Contains(log, []byte("WARNING: DATA RACE")) {
			found = append(found, fmt.Sprintf("%s panicked, see %s", p.ID, filepath.Base(p.logPath)))
		}
	}
	return found
}
