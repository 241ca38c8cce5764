package soak

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/load"
)

// TestArchiveFaultIsExcusedOnlyByItsCause guards against a check that passes a cut, lost or
// repeated response because of a fault elsewhere or at another time, and against one that
// takes the effect of a fault for a violation.
func TestArchiveFaultIsExcusedOnlyByItsCause(t *testing.T) {
	t.Parallel()
	began := time.Unix(1_800_000_000, 0)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name     string
		verdict  load.Verdict
		runsOnce bool
		runs     int
		// faulty is what had a fault, from and until are seconds after the start of a
		// call that takes 10 s.
		faulty      string
		isStop      bool
		from, until float64
		isViolation bool
	}{
		{name: "answered", verdict: load.VerdictAnswered, runs: 1},
		{name: "cut", verdict: load.VerdictTruncated, runs: 1, isViolation: true},
		{name: "cut, entry killed", verdict: load.VerdictTruncated, runs: 1, faulty: "entry-0", from: 5, until: 6},
		{name: "cut, entry stopped", verdict: load.VerdictTruncated, runs: 1, faulty: "entry-0", isStop: true, from: 5, until: 6, isViolation: true},
		{name: "cut, entry killed before", verdict: load.VerdictTruncated, runsOnce: true, runs: 1, faulty: "entry-0", from: -2, until: -1, isViolation: true},
		{name: "cut, target crashed", verdict: load.VerdictTruncated, runs: 1, faulty: "target of exit-0", from: 5, until: 6},
		{name: "cut, link to the target", verdict: load.VerdictTruncated, runs: 1, faulty: "link to the target of exit-0", from: 5, until: 6},
		{name: "cut, other exit killed", verdict: load.VerdictTruncated, runs: 1, faulty: "exit-1", from: 5, until: 6, isViolation: true},
		{name: "lost, exit killed", verdict: load.VerdictLost, runs: 1, faulty: "exit-0", from: 5, until: 6, isViolation: true},
		{name: "lost, entry killed", verdict: load.VerdictLost, runs: 1, faulty: "entry-0", from: 5, until: 6},
		{name: "run again", verdict: load.VerdictAnswered, runs: 2, isViolation: true},
		{name: "run again, refused", verdict: load.VerdictRefused, runs: 2, isViolation: true},
		{name: "run again, other exit killed", verdict: load.VerdictAnswered, runs: 2, faulty: "exit-1", from: 5, until: 6},
		{name: "run again, exit stopped", verdict: load.VerdictAnswered, runs: 2, faulty: "exit-1", isStop: true, from: 5, until: 6},
		{name: "run again, soon after a fault", verdict: load.VerdictAnswered, runs: 2, faulty: "exit-1", from: -5, until: -2},
		{name: "run again, long after a fault", verdict: load.VerdictAnswered, runs: 2, faulty: "exit-1", from: -5, until: -4, isViolation: true},
		{name: "run again, other service", verdict: load.VerdictAnswered, runs: 2, faulty: "exit-2", from: 5, until: 6, isViolation: true},
	}
	for _, test := range tests {
		r := &runner{site: &Site{Targets: []*Target{
			{Proxy: &Process{ID: "exit-0"}, Service: serviceArchive},
			{Proxy: &Process{ID: "exit-1"}, Service: serviceArchive},
			{Proxy: &Process{ID: "exit-2"}, Service: serviceCredit},
		}}}
		if test.faulty != "" {
			r.faults.begin(at(test.from), test.faulty, test.isStop)(at(test.until))
		}
		result := load.Result{Verdict: test.verdict, Idempotent: !test.runsOnce, Target: "exit-0", Sent: at(0), Ended: at(10)}
		if got := r.archiveFault(result, "entry-0", test.runs); (got != "") != test.isViolation {
			t.Errorf("%s: got %q, want a violation: %v", test.name, got, test.isViolation)
		}
	}
}
