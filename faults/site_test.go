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

// site is a deployment of separate processes that fails its test.
type site struct {
	*soak.Site
	t *testing.T
	// newVersionFailures is the part of the calls that the version v2 fails.
	newVersionFailures float64
}

func newSite(t *testing.T) *site {
	described, err := soak.NewSite(t.Context(), soak.SiteOptions{
		Program: soak.Program{Path: os.Args[0], Environment: []string{asProgram + "=1"}},
		Folder:  t.TempDir(), Controls: controlCount, Exits: targetCount, Entries: entryCount,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &site{Site: described, t: t}
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

// start starts every process and target and brings a configuration into force.
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
		s.keepLogs()
	}
	for _, target := range s.Targets {
		target.Drain()
	}
	s.Close()
}

// keepLogs prints what the control instances logged.
func (s *site) keepLogs() {
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

// eventually tries until the check returns nil or the time is over.
func (s *site) eventually(within time.Duration, check func(ctx context.Context, attempt int) error) {
	s.t.Helper()
	s.must(s.Eventually(within, check))
}

// kill ends a process at once.
func (s *site) kill(p *soak.Process) {
	s.t.Helper()
	s.must(p.Kill())
}

// start starts a process again.
func (s *site) startAgain(p *soak.Process) {
	s.t.Helper()
	s.must(p.Start())
}
