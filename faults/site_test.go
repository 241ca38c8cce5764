package faults

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/soak"
)

const (
	controlCount = 3
	targetCount  = 4
	entryCount   = 2
)

// site is a deployment of separate processes whose methods fail the test on an
// error.
type site struct {
	*soak.Site
	t *testing.T
	// newVersionFailureShare is the fraction of calls that the version v2 fails.
	newVersionFailureShare float64
}

func newSite(t *testing.T) *site {
	deployment, err := soak.NewSite(t.Context(), soak.SiteOptions{
		Program: soak.Program{Path: os.Args[0], Environment: []string{runProgramEnv + "=1"}},
		Folder:  t.TempDir(), Controls: controlCount, Exits: targetCount, Entries: entryCount,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &site{Site: deployment, t: t}
	for _, p := range s.Exits {
		s.must(s.AddTarget(t.Context(), &soak.Target{Proxy: p, Service: "credit", Version: "v1"}))
	}
	t.Cleanup(s.stop)
	return s
}

func (s *site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// start starts all processes and targets, applies a configuration and waits for
// the targets.
func (s *site) start() {
	s.must(s.StartProcesses())
	for _, target := range s.Targets {
		s.must(target.Start())
	}
	s.apply()
	s.must(s.AwaitTargets(20 * time.Second))
}

func (s *site) stop() {
	if s.t.Failed() {
		s.logControlOutput()
	}
	for _, target := range s.Targets {
		target.Drain()
	}
	s.Close()
}

// logControlOutput prints the log output of the control instances.
func (s *site) logControlOutput() {
	for _, p := range s.Controls {
		if data, err := os.ReadFile(filepath.Join(s.Options.Folder, p.ID+".log")); err == nil {
			s.t.Logf("log of %s:\n%s", p.ID, data)
		}
	}
}

func (s *site) apply() {
	s.must(s.Apply(
		[]*schema.Service{{Name: "credit", Versions: []*schema.TargetVersion{{Name: "v1", Share: 10_000}, {Name: "v2"}}}},
		[]*schema.Route{
			soak.NewRoute("post", "/credits", "credit", false, "POST"),
			soak.NewRoute("read", "/", "credit", true),
		}))
}

// awaitInForce waits until a version is in force everywhere.
func (s *site) awaitInForce(version uint64, within time.Duration) {
	s.t.Helper()
	s.must(s.AwaitInForce(version, within))
}

// eventually repeats the check until it returns nil or the time is over.
func (s *site) eventually(within time.Duration, check func(ctx context.Context, attempt int) error) {
	s.t.Helper()
	s.must(s.Eventually(within, check))
}

// kill kills a process and waits for its exit.
func (s *site) kill(p *soak.Process) {
	s.t.Helper()
	s.must(p.Kill())
}

// restart starts a process that has ended.
func (s *site) restart(p *soak.Process) {
	s.t.Helper()
	s.must(p.Start())
}
