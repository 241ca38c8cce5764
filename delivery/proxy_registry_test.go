package delivery

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// fleetModel is a model of proxies that move between the downstream sources of
// a leader.
type fleetModel struct {
	now     time.Time
	version hornbeamwell.ConfigVersion
	// lastSession is the number of the session opened last.
	lastSession uint64
	leader      *proxyRegistry
	sources     map[string]*fakeSource
	// inForce is the version in force on each proxy.
	inForce map[string]hornbeamwell.ConfigVersion
	// newestSession is the number of each running proxy's newest session.
	newestSession map[string]uint64
	// runs counts the goodbyes that each proxy sent in its newest session, which
	// gives the number of its current run. runBySession holds the run of each
	// session.
	runs         map[string]int
	runBySession map[uint64]int
	// reportedRun holds the last run of each proxy that was reported to the
	// leader.
	reportedRun map[string]int
}

type fakeSource struct {
	id       string
	registry *proxyRegistry
	sessions map[sessionKey]*session
	isLinked bool
}

func newFleetModel() *fleetModel {
	f := &fleetModel{
		now:           time.Unix(1_800_000_000, 0),
		version:       1,
		leader:        newProxyRegistry(),
		sources:       map[string]*fakeSource{},
		inForce:       map[string]hornbeamwell.ConfigVersion{},
		reportedRun:   map[string]int{},
		newestSession: map[string]uint64{},
		runs:          map[string]int{},
		runBySession:  map[uint64]int{},
	}
	for _, id := range []string{"r1", "r2"} {
		f.sources[id] = &fakeSource{id: id, registry: newProxyRegistry(), sessions: map[sessionKey]*session{}}
	}
	return f
}

func (f *fleetModel) open(s *fakeSource, proxy string) {
	f.lastSession++
	request := wire.OpenRequest{ID: proxy, Role: wire.RoleProxy, Session: f.lastSession}
	request.Configuration.Version = uint64(f.inForce[proxy])
	sess := newSession(f.now, nil, request)
	s.sessions[sess.key()] = sess
	s.registry.addSession(f.now, f.lastSession, sess.status())
	f.runBySession[f.lastSession] = f.runs[proxy]
	f.newestSession[proxy] = f.lastSession
}

func (f *fleetModel) end(s *fakeSource, proxy string, goodbye bool) {
	key := sessionKey{true, proxy}
	ended, found := s.sessions[key]
	if !found {
		return
	}
	delete(s.sessions, key)
	if goodbye && ended.request.Session == f.newestSession[proxy] {
		s.registry.removeSession(proxy, ended.request.Session)
		f.runs[proxy]++
		delete(f.newestSession, proxy)
		delete(f.inForce, proxy)
		return
	}
	s.registry.markSilent(proxy, ended.request.Session, f.now)
}

func (f *fleetModel) move(s *fakeSource, proxy string) {
	key := sessionKey{true, proxy}
	if ended, found := s.sessions[key]; found {
		delete(s.sessions, key)
		s.registry.markMoving(f.now, ended.request.Session, ended.status())
	}
}

// acknowledge raises the version of a proxy to the current one if the source
// has its newest session.
func (f *fleetModel) acknowledge(s *fakeSource, proxy string) {
	sess, found := s.sessions[sessionKey{true, proxy}]
	if found && sess.request.Session == f.newestSession[proxy] && f.runBySession[sess.request.Session] == f.runs[proxy] {
		f.inForce[proxy] = f.version
		sess.acknowledged.Store(uint64(f.version))
	}
}

func (f *fleetModel) report(s *fakeSource) {
	report := newReport(s.registry.convergence(f.version, s.sessions))
	report.Full = !s.isLinked
	if report.Full {
		report.Changes = s.registry.allChanges(f.now)
	} else {
		report.Changes = s.registry.takeChanges(f.now)
	}
	if !s.isLinked {
		f.leader.sourceOpened(f.now, hornbeamwell.ProxyStatus{ID: s.id})
	}
	s.isLinked = true
	f.leader.applyReport(f.now, s.id, report)
	for _, p := range report.Changes {
		if !p.Forgotten {
			f.reportedRun[p.ID] = max(f.reportedRun[p.ID], f.runBySession[p.Session])
		}
	}
}

func (f *fleetModel) check(t *rapid.T) {
	c := f.leader.overallConvergence(f.version, nil)
	if !c.IsInForce(f.version) {
		return
	}
	for proxy, run := range f.reportedRun {
		if run == f.runs[proxy] && f.inForce[proxy] < f.version {
			t.Fatalf("version %d is reported in force everywhere, %s has %d", f.version, proxy, f.inForce[proxy])
		}
	}
}

// TestWatermarkIsNeverAboveTheMinimum moves proxies between sources and checks
// that no version is reported as in force while a known proxy does not have it.
func TestWatermarkIsNeverAboveTheMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel()
		source := func(t *rapid.T) *fakeSource {
			return f.sources[rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "source")]
		}
		proxy := func(t *rapid.T) string { return fmt.Sprintf("p%d", rapid.IntRange(1, 3).Draw(t, "proxy")) }
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { f.check(t) },
			"change":  func(*rapid.T) { f.version++ },
			"open":    func(t *rapid.T) { f.open(source(t), proxy(t)) },
			"lose":    func(t *rapid.T) { f.end(source(t), proxy(t), false) },
			"goodbye": func(t *rapid.T) { f.end(source(t), proxy(t), true) },
			"move":    func(t *rapid.T) { f.move(source(t), proxy(t)) },
			"ack":     func(t *rapid.T) { f.acknowledge(source(t), proxy(t)) },
			"report":  func(t *rapid.T) { f.report(source(t)) },
			"restart": func(t *rapid.T) {
				s := source(t)
				f.leader.sourceClosed(s.id, false)
				f.sources[s.id] = &fakeSource{id: s.id, registry: newProxyRegistry(), sessions: map[sessionKey]*session{}}
			},
			"cut": func(t *rapid.T) {
				s := source(t)
				s.isLinked = false
				f.leader.sourceClosed(s.id, false)
			},
		})
		f.settle(t)
	})
}

// settle ends the old sessions at every source, lets the sources report, and
// checks that the leader then records each proxy at its source.
func (f *fleetModel) settle(t *rapid.T) {
	sources := []*fakeSource{f.sources["r1"], f.sources["r2"]}
	for _, s := range sources {
		for key, sess := range s.sessions {
			if sess.request.Session != f.newestSession[key.id] {
				f.end(s, key.id, false)
			}
		}
	}
	for _, s := range sources {
		f.report(s)
	}
	for _, s := range sources {
		for key := range s.sessions {
			e, found := f.leader.entries[key.id]
			if !found || e.status.Silent || e.source != s.id {
				t.Fatalf("%s has a session of %s, the leader has %+v", s.id, key.id, e)
			}
		}
	}
	f.check(t)
}

func TestSilentProxyIsReportedUntilRemoved(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := newProxyRegistry()
	r.addSession(now, 1, hornbeamwell.ProxyStatus{ID: "p1", InForce: 3, LastContact: now})
	r.markSilent("p1", 1, now)
	r.removeSilent(now.Add(silentRetention - time.Second))
	if c := r.convergence(3, nil); c.SilentCount != 1 || c.Silent[0].ID != "p1" || !c.Silent[0].LastContact.Equal(now) || c.IsInForce(3) {
		t.Fatalf("convergence %+v does not contain the silent proxy", c)
	}
	before := proxiesForgotten.Get()
	r.removeSilent(now.Add(silentRetention))
	if c := r.convergence(3, nil); c.SilentCount != 0 || proxiesForgotten.Get() != before+1 {
		t.Fatalf("after silentRetention: convergence %+v, %d proxies forgotten; want none silent, 1 forgotten", c, proxiesForgotten.Get()-before)
	}
}

// TestProxyWithClockSetBackIsLive checks that a proxy that restarts with a
// lower session number counts as live again once its old session has been
// silent for oldSessionTimeout.
func TestProxyWithClockSetBackIsLive(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	leader, source := newProxyRegistry(), newProxyRegistry()
	leader.sourceOpened(now, hornbeamwell.ProxyStatus{ID: "r1"})
	sendReport := func() {
		leader.applyReport(now, "r1", wire.Report{Live: 1, Watermark: 3, Changes: source.takeChanges(now)})
	}
	source.addSession(now, 9, hornbeamwell.ProxyStatus{ID: "p1", InForce: 3})
	sendReport()
	source.markSilent("p1", 9, now)
	sendReport()
	now = now.Add(oldSessionTimeout)
	source.addSession(now, 4, hornbeamwell.ProxyStatus{ID: "p1", InForce: 3, LastContact: now})
	sendReport()
	for name, r := range map[string]*proxyRegistry{"source": source, "leader": leader} {
		if len(r.silentEntries) != 0 || len(r.entries) != 1 {
			t.Errorf("the %s has %d proxies, %d silent", name, len(r.entries), len(r.silentEntries))
		}
	}
}

// TestOddReportKeepsTimesInThePast guards against a silent proxy that is never forgotten,
// since the source that reports it states a last contact in the future.
func TestOddReportKeepsTimesInThePast(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, odd := range []int64{-1, math.MinInt64, math.MaxInt64, 9_223_372_036_854, 9e15} {
		registry := newProxyRegistry()
		registry.sourceOpened(now, hornbeamwell.ProxyStatus{ID: "r1"})
		registry.applyReport(now, "r1", wire.Report{Full: true, Changes: []wire.ReportedProxy{{ID: "p1", Session: 1, Silent: true, LastContactAgoMs: odd}}})
		at := registry.entries["p1"].status.LastContact
		if at.After(now) || now.Sub(at) > maxSilence {
			t.Errorf("%d ms: the last contact was at %s", odd, at)
		}
	}
}

// TestProxyBehindItsNewerSourceIsNotBehind guards against a proxy that is listed as behind a
// version that it has, because its source knows a newer one. The version is then in force
// with proxies behind, which violates an invariant.
func TestProxyBehindItsNewerSourceIsNotBehind(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	r := newProxyRegistry()
	r.sourceOpened(now, hornbeamwell.ProxyStatus{ID: "control-2"})
	r.applyReport(now, "control-2", wire.Report{
		Watermark: 12, Live: 1, Full: true,
		Behind:  []wire.BehindProxy{{ID: "exit-1", Version: 12}},
		Changes: []wire.ReportedProxy{{ID: "exit-1", Session: 1, Version: 12}},
	})
	c := r.overallConvergence(12, nil)
	if !c.IsInForce(12) || len(c.Behind) > 0 {
		t.Errorf("version 12 is in force: %v, behind %v; want it in force with none behind", c.IsInForce(12), c.Behind)
	}
}
