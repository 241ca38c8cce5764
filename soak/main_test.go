package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/cli"
	"github.com/hornbeamwell/hornbeamwell/soak"
)

// programEnv is set in the environment of the processes of a soak. The test
// binary then runs the program instead of the tests.
const programEnv = "HORNBEAMWELL_SOAK_PROGRAM"

// TestMain runs the tests, or the program itself if a soak started this process.
func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// seedsAtOnce bounds the soaks of TestSeeds that run at the same time. They share no ports,
// folders or counters.
const seedsAtOnce = 2

// TestSeeds runs the seeds of testdata/seeds.txt, short runs that once failed.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	slots := make(chan struct{}, seedsAtOnce)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line, cause, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		var seed uint64
		var processes int
		var text string
		if _, err := fmt.Sscan(line, &seed, &processes, &text); err != nil {
			t.Fatalf("line %q of the seeds: %v", line, err)
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fmt.Sprintf("%d_%d", seed, processes), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, soak.Options{Seed: seed, Processes: processes, Duration: duration}, strings.TrimSpace(cause))
		})
	}
}

// TestPowerLossEverywhereAtTheEnd guards against the loss of an accepted change when a
// disk is lost while everything else, the proxies too, loses its power at the same
// moment.
func TestPowerLossEverywhereAtTheEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	runSeed(t, soak.Options{Seed: 501, Processes: 14, Duration: 6 * time.Second, EndsWithPowerLoss: true}, "power lost everywhere")
}

func runSeed(t *testing.T, options soak.Options, cause string) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	options.Program = soak.Program{Path: program, Environment: []string{programEnv + "=1"}}
	options.Folder = t.TempDir()
	options.Progress = func(since time.Duration, line string) { t.Logf("%6.2f s  %s", since.Seconds(), line) }
	report, err := soak.Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("steady %d calls %v; under faults %d calls %v", report.Steady.Sent, report.Steady.Verdicts, report.UnderFaults.Sent, report.UnderFaults.Verdicts)
	t.Logf("large responses %d calls %v, %d without a fault on their way, %d waited for a link", report.Archive.Sent, report.Archive.Verdicts, report.ArchiveSound, report.LongLinkWaits)
	t.Logf("slow %d calls %v; %d calls during planned stops, %d abandoned", report.Slow.Sent, report.Slow.Verdicts, report.StopCalls, report.Abandoned)
	for _, finding := range report.Findings {
		t.Errorf("%s (%s)", finding, cause)
	}
}
