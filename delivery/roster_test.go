package delivery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// fleet is a model of proxies that move between the sources below a leader.
type fleet struct {
	now     time.Time
	version hornbeamwell.ConfigVersion
	number  uint64
	leader  *roster
	sources map[string]*fakeSource
	// truth is the version in force by proxy.
	truth map[string]hornbeamwell.ConfigVersion
	// newest is the number of each running proxy's newest session.
	newest map[string]uint64
	// process counts the starts of each proxy, and processes holds that count
	// by session.
	process   map[string]int
	processes map[uint64]int
	// known holds, by proxy, the start that the leader heard of last.
	known map[string]int
}

type fakeSource struct {
	id       string
	roster   *roster
	sessions map[sessionKey]*session
	isLinked bool
}

func newFleet() *fleet {
	f := &fleet{
		now:       time.Unix(1_800_000_000, 0),
		version:   1,
		leader:    newRoster(),
		sources:   map[string]*fakeSource{},
		truth:     map[string]hornbeamwell.ConfigVersion{},
		known:     map[string]int{},
		newest:    map[string]uint64{},
		process:   map[string]int{},
		processes: map[uint64]int{},
	}
	for _, id := range []string{"r1", "r2"} {
		f.sources[id] = &fakeSource{id: id, roster: newRoster(), sessions: map[sessionKey]*session{}}
	}
	return f
}

func (f *fleet) open(s *fakeSource, proxy string) {
	f.number++
	request := wire.OpenRequest{ID: proxy, Role: wire.RoleProxy, Session: f.number}
	request.Configuration.Version = uint64(f.truth[proxy])
	opened := newSession(f.now, nil, request)
	s.sessions[opened.key()] = opened
	s.roster.opened(f.now, f.number, opened.status())
	f.processes[f.number] = f.process[proxy]
	f.newest[proxy] = f.number
}

func (f *fleet) end(s *fakeSource, proxy string, goodbye bool) {
	key := sessionKey{true, proxy}
	ended, found := s.sessions[key]
	if !found {
		return
	}
	delete(s.sessions, key)
	if goodbye && ended.request.Session == f.newest[proxy] {
		s.roster.left(proxy, ended.request.Session)
		f.process[proxy]++
		delete(f.newest, proxy)
		delete(f.truth, proxy)
		return
	}
	s.roster.silent(proxy, ended.request.Session, f.now)
}

// acknowledge raises the version of a proxy in its newest session.
func (f *fleet) acknowledge(s *fakeSource, proxy string) {
	opened, found := s.sessions[sessionKey{true, proxy}]
	if found && opened.request.Session == f.newest[proxy] && f.processes[opened.request.Session] == f.process[proxy] {
		f.truth[proxy] = f.version
		opened.acknowledged.Store(uint64(f.version))
	}
}

func (f *fleet) report(s *fakeSource) {
	report := reportOf(s.roster.convergence(f.version, s.sessions))
	report.Full = !s.isLinked
	if report.Full {
		report.Changes = s.roster.all(f.now)
	} else {
		report.Changes = s.roster.takeChanges(f.now)
	}
	if !s.isLinked {
		f.leader.sourceOpened(f.now, hornbeamwell.ProxyStatus{ID: s.id})
	}
	s.isLinked = true
	f.leader.report(f.now, s.id, report)
	for _, p := range report.Changes {
		if !p.Forgotten {
			f.known[p.ID] = max(f.known[p.ID], f.processes[p.Session])
		}
	}
}

func (f *fleet) check(t *rapid.T) {
	c := f.leader.convergence(f.version, nil)
	if !c.IsInForce(f.version) {
		return
	}
	for proxy, process := range f.known {
		if process == f.process[proxy] && f.truth[proxy] < f.version {
			t.Fatalf("version %d is said to be in force everywhere, %s has %d", f.version, proxy, f.truth[proxy])
		}
	}
}

// TestWatermarkIsNeverAboveTheMinimum moves proxies between sources and checks
// that no version is said to be in force which a known proxy lacks.
func TestWatermarkIsNeverAboveTheMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
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
			"ack":     func(t *rapid.T) { f.acknowledge(source(t), proxy(t)) },
			"report":  func(t *rapid.T) { f.report(source(t)) },
			"restart": func(t *rapid.T) {
				s := source(t)
				f.leader.sourceEnded(s.id, false)
				f.sources[s.id] = &fakeSource{id: s.id, roster: newRoster(), sessions: map[sessionKey]*session{}}
			},
			"cut": func(t *rapid.T) {
				s := source(t)
				s.isLinked = false
				f.leader.sourceEnded(s.id, false)
			},
		})
		f.settle(t)
	})
}

// settle lets every source notice its dead sessions and report, and checks that
// the leader then has each proxy where it is.
func (f *fleet) settle(t *rapid.T) {
	sources := []*fakeSource{f.sources["r1"], f.sources["r2"]}
	for _, s := range sources {
		for key, held := range s.sessions {
			if held.request.Session != f.newest[key.id] {
				f.end(s, key.id, false)
			}
		}
	}
	for _, s := range sources {
		f.report(s)
	}
	for _, s := range sources {
		for key := range s.sessions {
			m, found := f.leader.members[key.id]
			if !found || m.status.Silent || m.via != s.id {
				t.Fatalf("%s has %s, the leader holds %+v", s.id, key.id, m)
			}
		}
	}
	f.check(t)
}

func TestSilentProxyIsNamedUntilForgotten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := newRoster()
	r.opened(now, 1, hornbeamwell.ProxyStatus{ID: "p1", InForce: 3, LastContact: now})
	r.silent("p1", 1, now)
	r.forgetSilent(now.Add(forgetAfter - time.Second))
	if c := r.convergence(3, nil); c.SilentCount != 1 || c.Silent[0].ID != "p1" || !c.Silent[0].LastContact.Equal(now) || c.IsInForce(3) {
		t.Fatalf("convergence %+v does not name the silent proxy", c)
	}
	before := proxiesForgotten.Get()
	r.forgetSilent(now.Add(forgetAfter))
	if c := r.convergence(3, nil); c.SilentCount != 0 || proxiesForgotten.Get() != before+1 {
		t.Fatalf("convergence %+v, %d forgotten", c, proxiesForgotten.Get()-before)
	}
}

// TestProxyWithAClockGoneBackIsHeard checks that a proxy that restarts with a
// lower session number is live again once its old session has ended.
func TestProxyWithAClockGoneBackIsHeard(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	leader, source := newRoster(), newRoster()
	leader.sourceOpened(now, hornbeamwell.ProxyStatus{ID: "r1"})
	tell := func() { leader.report(now, "r1", wire.Report{Live: 1, Watermark: 3, Changes: source.takeChanges(now)}) }
	source.opened(now, 9, hornbeamwell.ProxyStatus{ID: "p1", InForce: 3})
	tell()
	source.silent("p1", 9, now)
	tell()
	now = now.Add(outliveAfter)
	source.opened(now, 4, hornbeamwell.ProxyStatus{ID: "p1", InForce: 3, LastContact: now})
	tell()
	for name, r := range map[string]*roster{"source": source, "leader": leader} {
		if len(r.mute) != 0 || len(r.members) != 1 {
			t.Errorf("the %s holds %d proxies, %d silent", name, len(r.members), len(r.mute))
		}
	}
}
