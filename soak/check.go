package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// checkCounts returns the violations that the counts, metrics and logs of the
// run show.
func (r *runner) checkCounts() []string {
	findings := append(checkCalls(&r.report.Steady, &r.report.UnderFaults, &r.report.Archive, &r.report.Slow), r.checkArchive()...)
	findings = append(findings, r.checkStops()...)
	for _, t := range r.site.Targets {
		if _, late := t.Calls(); late > 0 {
			findings = append(findings, fmt.Sprintf("%d calls reached the target of %s more than %s after its withdrawal", late, t.Proxy.ID, drainBound))
		}
	}
	if repeats, allowed := r.countRepeats(); repeats > allowed {
		findings = append(findings, fmt.Sprintf("%d repeated calls reached targets, at most %d are allowed", repeats, allowed))
	}
	if violated := r.site.Violations(); violated != "" {
		findings = append(findings, "invariants were violated: "+violated)
	}
	for _, p := range r.site.archiveProxies() {
		waits, err := countLinkWaits(p.logPath)
		if err != nil {
			findings = append(findings, fmt.Sprintf("%s: %v", p.ID, err))
		}
		r.report.LongLinkWaits += waits
	}
	return append(findings, r.findPanics()...)
}

// checkCalls returns the violated guarantees to callers. A caller whose proxy
// was killed may receive no response or a truncated one, which violates none. checkArchive
// checks which of the large responses may.
func checkCalls(steady, underFaults *load.Report, others ...*load.Report) []string {
	var findings []string
	check := func(count uint64, what string) {
		if count > 0 {
			findings = append(findings, fmt.Sprintf("%d calls %s", count, what))
		}
	}
	for _, report := range append([]*load.Report{steady, underFaults}, others...) {
		check(report.Duplicated, "that are not idempotent ran twice")
		check(report.FalseRefusals, "were refused as not run but had run")
		check(report.NeverRun, "were answered but never ran")
		check(report.Verdicts[load.VerdictMismatched], "received the response to another call")
	}
	check(steady.Verdicts[load.VerdictLost], "through proxies that were only stopped gracefully received no response")
	check(steady.Verdicts[load.VerdictTruncated], "through proxies that were only stopped gracefully received a truncated response")
	return findings
}

// countRepeats returns how many repeated calls reached targets, and how many
// may: the retry share of the calls, the retry reserve of each start of an
// entry proxy for each service, and the resends of the callers.
func (r *runner) countRepeats() (repeats, allowed int) {
	for _, count := range r.site.Runs.WithPrefix("") {
		repeats += max(count-1, 0)
	}
	sent := r.report.Steady.Sent + r.report.UnderFaults.Sent + r.report.Archive.Sent + r.report.Slow.Sent
	resent := r.report.Steady.Resent + r.report.UnderFaults.Resent
	starts := len(r.site.Entries) + r.report.Events[KindKillEntry] + r.report.Events[KindStopEntry] + r.report.Events[KindPlannedStopEntry]
	return repeats, int(route.DefaultRetryRatio*float64(sent)+route.DefaultRetryReserve*float64(starts)*serviceCount) + int(resent)
}

// serviceCount is the number of services. A proxy has a retry reserve for each.
const serviceCount = 3

// findPanics returns a finding for each process whose log contains a panic or a
// data race, or cannot be read.
func (r *runner) findPanics() []string {
	var found []string
	for _, p := range r.site.Processes() {
		log, err := os.ReadFile(p.logPath)
		if err != nil {
			found = append(found, fmt.Sprintf("the log of %s cannot be read: %v", p.ID, err))
			continue
		}
		if bytes.Contains(log, []byte("panic")) || bytes.Contains(log, []byte("WARNING: DATA RACE")) {
			found = append(found, fmt.Sprintf("panic or data race in %s, see %s", p.ID, filepath.Base(p.logPath)))
		}
	}
	return found
}
