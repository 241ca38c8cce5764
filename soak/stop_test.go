package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/route"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

// TestStopFaultIsExcusedOnlyByItsCause guards against a check that passes a call that was
// lost, cut or abandoned at a planned stop because of a fault elsewhere or a target that was
// at work earlier, and against one that takes the effect of a fault for a violation.
func TestStopFaultIsExcusedOnlyByItsCause(t *testing.T) {
	t.Parallel()
	// The call takes 4 s, and its entry or exit is stopped in the middle of it.
	now := time.Now()
	sent, stopped := now.Add(-3*time.Second), now.Add(-time.Second)
	const abandoned, keyed = "abandoned", "key_unprovable"
	tests := []struct {
		name, reason, path string
		verdict            load.Verdict
		faulty             string
		// stops is the process that is stopped with a grace period.
		stops       string
		grace       time.Duration
		runs        bool
		isViolation bool
	}{
		{name: "answered", verdict: load.VerdictAnswered, stops: "entry-0"},
		{name: "refused", verdict: load.VerdictRefused, stops: "entry-0"},
		{name: "lost", verdict: load.VerdictLost, stops: "entry-0", isViolation: true},
		{name: "lost, entry killed", verdict: load.VerdictLost, faulty: "entry-0"},
		{name: "lost, exit killed", verdict: load.VerdictLost, faulty: "exit-0", isViolation: true},
		{name: "cut", verdict: load.VerdictTruncated, stops: "entry-0", isViolation: true},
		{name: "abandoned", verdict: load.VerdictUnknown, reason: abandoned, stops: "entry-0", isViolation: true},
		{name: "abandoned by the exit", verdict: load.VerdictUnknown, reason: abandoned, stops: "exit-0", isViolation: true},
		{name: "abandoned, exit killed", verdict: load.VerdictUnknown, reason: abandoned, stops: "entry-0", faulty: "exit-0"},
		{name: "abandoned, link silent", verdict: load.VerdictUnknown, reason: abandoned, stops: "entry-0", faulty: "link to exit-0"},
		{name: "abandoned, exit of another service killed", verdict: load.VerdictUnknown, reason: abandoned, stops: "entry-0", faulty: "exit-1", isViolation: true},
		{name: "abandoned, target at work in the last sixth", verdict: load.VerdictUnknown, reason: abandoned, stops: "entry-0", runs: true, grace: time.Second},
		{name: "abandoned, target at work before", verdict: load.VerdictUnknown, reason: abandoned, stops: "entry-0", runs: true, isViolation: true},
		{name: "unknown without a stop", verdict: load.VerdictUnknown, reason: "connection_lost"},
		{name: "unknown at a stop", verdict: load.VerdictUnknown, reason: "connection_lost", stops: "entry-0", isViolation: true},
		{name: "key at a stop", verdict: load.VerdictUnknown, reason: keyed, stops: "entry-0"},
	}
	for _, test := range tests {
		entry := &Process{ID: "entry-0"}
		exits := []*Process{{ID: "exit-0"}, {ID: "exit-1"}}
		r := &runner{startedAt: sent, site: &Site{
			Runs: standin.NewRuns(), Entries: []*Process{entry}, Exits: exits,
			Targets: []*Target{{Proxy: exits[0], Service: serviceCredit}, {Proxy: exits[1], Service: serviceBooking}},
		}}
		grace := test.grace
		if grace == 0 {
			grace = 6 * time.Second
		}
		for _, p := range []*Process{entry, exits[0]} {
			if p.ID == test.stops {
				p.plannedStops = append(p.plannedStops, route.Stop{Began: stopped, Grace: grace})
			}
		}
		if test.faulty != "" {
			r.faults.begin(sent, test.faulty, false)
		}
		if test.runs {
			r.site.Runs.Begin("call")()
		}
		result := load.Result{ID: "call", Path: longPath, Verdict: test.verdict, Reason: test.reason, Sent: sent, Ended: now.Add(time.Second)}
		if got := r.stopFault(result, entry, false); (got != "") != test.isViolation {
			t.Errorf("%s: got %q, want a violation: %v", test.name, got, test.isViolation)
		}
	}
}

// TestStopKillsAtTheEndOfTheGracePeriod guards against a process that outlives its grace
// period without a finding.
func TestStopKillsAtTheEndOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	shell, err := exec.LookPath("sh")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	script := filepath.Join(folder, "program")
	ready := filepath.Join(folder, "ready")
	text := "#!" + shell + "\ntrap '' TERM\n: > " + ready + "\nwhile :; do sleep 0.1; done\n"
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	p := &Process{ID: "entry-0", Grace: 300 * time.Millisecond, program: Program{Path: script}, logPath: filepath.Join(folder, "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(ready); err == nil {
			break
		}
	}
	if err := p.Terminate(); !errors.Is(err, ErrStillRunning) {
		t.Errorf("got %v, want %v", err, ErrStillRunning)
	}
	if now := time.Now(); len(p.stopsBetween(now.Add(-time.Minute), now)) != 1 {
		t.Error("the stop was not recorded")
	}
}
