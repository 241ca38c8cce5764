package faults

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/cli"
	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/soak"
)

const (
	// defaultDuration is the duration of the load if HORNBEAMWELL_LONG is not set.
	defaultDuration = 20 * time.Second
	// callRate is the number of calls per second.
	callRate = 200
	// pauseDuration is the time for which a paused process is suspended.
	pauseDuration = 2 * time.Second
	// faultInterval is the time between two faults.
	faultInterval = time.Second
)

// runProgramEnv is set in the environment of the processes of a site. The test
// binary then runs the program instead of the tests.
const runProgramEnv = "HORNBEAMWELL_FAULTS_PROGRAM"

// TestMain runs the tests, or the program if a site started this process.
func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) != "" {
		os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestCallsUnderFaults kills, pauses and stops processes and targets one after
// the other under load. Entry proxies are left out, because a call through a
// killed one cannot end with a complete response. HORNBEAMWELL_SEED seeds the order
// of the faults, and HORNBEAMWELL_LONG sets the duration, such as 10m.
func TestCallsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seed := seedFromEnvironment(t)
	t.Logf("seed %d", seed)
	s := newSite(t)
	s.start()
	faults := []fault{
		s.killExit, s.pauseExit, s.terminateExit, s.killControl, s.pauseControl, s.terminateControl, s.crashTarget, s.drainTarget,
	}
	report := s.loadUnderFaults(rand.New(rand.NewPCG(seed, seed)), durationFromEnvironment(t), faults)
	t.Logf("sent %d, verdicts %v, reasons %v, resent %d, duplicated %d, never run %d, false refusals %d, p50 %s, p99 %s, max %s",
		report.Sent, report.Verdicts, report.Reasons, report.Resent, report.Duplicated, report.NeverRun, report.FalseRefusals,
		report.Latency.P50, report.Latency.P99, report.Latency.Max)
	if !report.Passed() {
		t.Errorf("a guarantee to callers was violated, seed %d", seed)
	}
	if found := s.Violations(); found != "" {
		t.Errorf("invariants were violated, seed %d:\n%s", seed, found)
	}
}

func seedFromEnvironment(t *testing.T) uint64 {
	text, given := os.LookupEnv("HORNBEAMWELL_SEED")
	if !given {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

func durationFromEnvironment(t *testing.T) time.Duration {
	text, given := os.LookupEnv("HORNBEAMWELL_LONG")
	if !given {
		return defaultDuration
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

// fault injects a fault and returns a description of it.
type fault func(*rand.Rand) string

// loadUnderFaults sends calls through the entry proxies while it injects faults
// in random order.
func (s *site) loadUnderFaults(random *rand.Rand, duration time.Duration, faults []fault) load.Report {
	entries := make([]netip.AddrPort, 0, len(s.Entries))
	for _, p := range s.Entries {
		entries = append(entries, p.Callers)
	}
	calls, err := load.New(load.Options{
		Entries: entries,
		Calls: []load.Call{
			{Weight: 1, Method: "POST", Path: "/credits/keyed", Keyed: true, BodyBytes: 200, ResponseBytes: 400},
			{Weight: 1, Method: "POST", Path: "/credits/plain", BodyBytes: 200, ResponseBytes: 400},
			{Weight: 2, Method: "GET", Path: "/profiles", Idempotent: true, ResponseBytes: 2000},
		},
		Rate: callRate, Duration: duration, Resend: true, Seed: 1,
		CountRuns: func(_ context.Context, prefix string) (load.RunCounts, error) {
			return load.RunCounts{Counts: s.Runs.WithPrefix(prefix)}, nil
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.injectFaults(ctx, random, faults)
	}()
	report, err := calls.Run(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	cancel()
	<-ended
	return report
}

// injectFaults injects one fault after the other until the context ends.
func (s *site) injectFaults(ctx context.Context, random *rand.Rand, faults []fault) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(faultInterval):
		}
		fault := faults[random.IntN(len(faults))]
		s.t.Logf("%s %s", time.Now().Format("15:04:05.000"), fault(random))
	}
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (s *site) killExit(random *rand.Rand) string { return s.killAndRestart(pick(random, s.Exits)) }

func (s *site) killControl(random *rand.Rand) string {
	return s.killAndRestart(pick(random, s.Controls))
}

func (s *site) pauseExit(random *rand.Rand) string { return pauseAndResume(pick(random, s.Exits)) }

func (s *site) pauseControl(random *rand.Rand) string {
	return pauseAndResume(pick(random, s.Controls))
}

func (s *site) terminateExit(random *rand.Rand) string {
	return s.terminateAndRestart(pick(random, s.Exits))
}

func (s *site) terminateControl(random *rand.Rand) string {
	return s.terminateAndRestart(pick(random, s.Controls))
}

func (s *site) crashTarget(random *rand.Rand) string {
	target := pick(random, s.Targets)
	target.Crash()
	s.reportError(target.Start())
	return "crashed the target of " + target.Proxy.ID
}

func (s *site) drainTarget(random *rand.Rand) string {
	target := pick(random, s.Targets)
	target.Drain()
	s.reportError(target.Start())
	return "drained the target of " + target.Proxy.ID
}

// reportError fails the test if err is not nil. Any goroutine may call it.
func (s *site) reportError(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

func (s *site) killAndRestart(p *soak.Process) string {
	s.reportError(p.Kill())
	s.reportError(p.Start())
	return "killed " + p.ID
}

func pauseAndResume(p *soak.Process) string {
	p.Pause()
	time.Sleep(pauseDuration)
	p.Resume()
	return "paused " + p.ID
}

func (s *site) terminateAndRestart(p *soak.Process) string {
	s.reportError(p.Terminate())
	s.reportError(p.Start())
	return "terminated " + p.ID
}
