package delivery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// slowRate is the rate of a slow link in B/s.
const slowRate = 50_000

// eventCounter counts the log lines of an event.
type eventCounter struct {
	event string
	lines atomic.Int64
}

// Log implements log.Logger.
func (c *eventCounter) Log(fields ...any) error {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i] == "event" && fields[i+1] == c.event {
			c.lines.Add(1)
		}
	}
	return nil
}

// switchCounter counts the sessions that a client ended because it required another source.
type switchCounter struct{ sessions atomic.Int64 }

// Log implements log.Logger.
func (c *switchCounter) Log(fields ...any) error {
	if slices.Contains(fields, any(errSessionEnded)) {
		c.sessions.Add(1)
	}
	return nil
}

// largeConfiguration returns a configuration of about 100 kB that can hardly be compressed.
func largeConfiguration(version int) *hornbeamwell.Configuration {
	random := rand.New(rand.NewPCG(uint64(version), 1))
	names := make([]string, 2_000)
	for i := range names {
		names[i] = fmt.Sprintf("s%016x%016x", random.Uint64(), random.Uint64())
	}
	return sampleConfiguration(version, names...)
}

// TestSourceIsLeftOnlyAfterItsAnswer guards against a proxy that leaves a source because its
// share lease has ended while the answer that extends it waits, unread or behind an update.
func TestSourceIsLeftOnlyAfterItsAnswer(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	s := NewSubscriber(SubscriberOptions{ID: "p1", Timing: SiteTiming(), Sources: []netip.AddrPort{address, netip.AddrPortFrom(address.Addr(), 7001)}})
	opened := time.Now()
	at := func(ms int) time.Time { return opened.Add(time.Duration(ms) * time.Millisecond) }
	check := func(ms int, want bool, what string) {
		t.Helper()
		if got := s.shouldSwitch(at(ms)); got != want {
			t.Errorf("%s, %d ms after the start of the session: leaves the source %t, want %t", what, ms, got, want)
		}
	}
	s.opened(opened)
	check(2_000, false, "nothing answered yet")
	s.heartbeatReply(at(10), wire.HeartbeatReply{LeaseMs: 1_000})
	check(2_000, false, "nothing answered since the lease ended")
	s.heartbeatReply(at(900), wire.HeartbeatReply{})
	check(2_000, false, "without a lease, but asked before its end")
	s.heartbeatReply(at(1_200), wire.HeartbeatReply{})
	check(2_000, true, "without a lease after its end")
	s.heartbeatReply(at(1_200), wire.HeartbeatReply{LeaseMs: 1_000, Version: 9})
	check(3_000, false, "the source has a lease and a version that this proxy has refused")
	s.opened(at(2_000))
	check(4_000, false, "another session without an answer")
}

// TestSourceBehindIsLeftOneAfterTheOther guards against proxies that leave a source in contact
// with the leader all at once, or stay for ever, while its configuration is behind.
func TestSourceBehindIsLeftOneAfterTheOther(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	timing := SiteTiming()
	opened := time.Now()
	first, last := time.Hour, time.Duration(0)
	for seed := range uint64(200) {
		s := NewSubscriber(SubscriberOptions{
			ID: "p1", Timing: timing, Sources: []netip.AddrPort{address, netip.AddrPortFrom(address.Addr(), 7001)}, Rand: rand.New(rand.NewPCG(seed, 1)),
		})
		s.opened(opened)
		s.heartbeatReply(opened, wire.HeartbeatReply{LeaseMs: timing.ShareLease.Milliseconds()})
		after := time.Duration(0)
		for after < 10*timing.ShareLease && !s.shouldSwitch(opened.Add(timing.ShareLease+after)) {
			after += 10 * time.Millisecond
			s.heartbeatReply(opened.Add(timing.ShareLease+after), wire.HeartbeatReply{ContactMs: 1})
		}
		first, last = min(first, after), max(last, after)
	}
	if first < timing.ShareLease/2 || last-first < timing.ShareLease/3 || last > timing.ShareLease+10*time.Millisecond {
		t.Errorf("200 proxies leave within %v to %v after the end of a lease of %v", first, last, timing.ShareLease)
	}
}

// TestFollowerThatCatchesUpHasItsLease guards against a follower that has no share lease until
// the next answer of the leader, although it now has the configuration of the last one.
func TestFollowerThatCatchesUpHasItsLease(t *testing.T) {
	t.Parallel()
	membership := target.NewMembership(target.MembershipOptions{})
	u := NewUpstream(UpstreamOptions{ID: "c2", Timing: SiteTiming(), Source: NewSource(SourceOptions{ID: "c2"}), Membership: membership})
	sent := time.Now()
	u.heartbeatReply(sent, wire.HeartbeatReply{LeaseMs: 1_000, Version: 5})
	for version, want := range map[hornbeamwell.ConfigVersion]time.Time{4: {}, 5: sent.Add(time.Second)} {
		u.options.Source.lease = shareLease{}
		u.Step(sent, &blackboard.Board{Configuration: &hornbeamwell.Configuration{Version: version}})
		if end := u.options.Source.lease.end(); !end.Equal(want) {
			t.Errorf("with version %d the lease ends at %v, want %v", version, end, want)
		}
	}
}

// TestLargeUpdateOnSlowLinkIsReceived guards against a session that is given up as silent
// while the bytes of an update arrive: the proxy would fetch it again and again.
func TestLargeUpdateOnSlowLinkIsReceived(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: SiteTiming()})
	faulty := startFaultyLink(t, leader.address)
	faulty.rates[downwards].Store(slowRate)
	leader.configure(t, sampleConfiguration(1, "orders"))
	lost := &eventCounter{event: "source_lost"}
	p := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{faulty.address}, Timing: SiteTiming(), Logger: lost})
	checkConvergesTo(t, leader, 1, 1)
	leader.configure(t, largeConfiguration(2))
	took := waitFor(t, 15*time.Second, "the update is in force", func() bool { return p.state().Configuration.Version == 2 })
	if n := lost.lines.Load(); n > 0 || took < 2*SiteTiming().SilenceTimeout {
		t.Errorf("the session was given up %d times within %v", n, took)
	}
}

// TestSilenceWithinMessageEndsSession guards against a session that is kept for ever because
// a message has arrived in part: a cut within it counts as silence from the last byte on.
func TestSilenceWithinMessageEndsSession(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: SiteTiming()})
	faulty := startFaultyLink(t, leader.address)
	faulty.rates[downwards].Store(slowRate)
	leader.configure(t, sampleConfiguration(1, "orders"))
	lost := &eventCounter{event: "source_lost"}
	startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{faulty.address}, Timing: SiteTiming(), Logger: lost})
	checkConvergesTo(t, leader, 1, 1)
	leader.configure(t, largeConfiguration(2))
	time.Sleep(SiteTiming().SilenceTimeout)
	faulty.setCut(false, true)
	// The silence timeout, and the two checks between which the last byte came and the
	// silence is found.
	limit := SiteTiming().SilenceTimeout + 2*SiteTiming().HeartbeatInterval*11/10 + 200*time.Millisecond
	waitFor(t, limit, "the session is given up", func() bool { return lost.lines.Load() > 0 })
}

// TestLargeAnnouncementOnSlowLinkIsReceived guards against a source that closes a session as
// silent while the bytes of a message arrive: the subscriber would send it again and again.
func TestLargeAnnouncementOnSlowLinkIsReceived(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: SiteTiming()})
	faulty := startFaultyLink(t, leader.address)
	leader.configure(t, sampleConfiguration(1, "orders"))
	lost := &eventCounter{event: "source_lost"}
	faulty.rates[upwards].Store(slowRate)
	faulty.setCut(true, true)
	p := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{faulty.address}, Timing: SiteTiming(), Logger: lost})
	const targets = 600
	for i := range targets {
		p.Announce(sampleTarget(fmt.Sprintf("p1-%d", i), "orders", 1))
	}
	faulty.setCut(false, false)
	waitFor(t, 15*time.Second, "the targets are known", func() bool {
		known := 0
		leader.do(t, func(b *blackboard.Board) { known = len(b.Targets) })
		return known == targets
	})
	if n := lost.lines.Load(); n > 0 {
		t.Errorf("the session was closed %d times", n)
	}
}

// TestSlowUpdateDoesNotEndSession guards against proxies that leave their source, or are
// closed by it as silent, because they are busy with its update: they sent no heartbeat
// until it was in force.
func TestSlowUpdateDoesNotEndSession(t *testing.T) {
	t.Parallel()
	timing := SiteTiming()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: timing})
	relay := startNodeWith(t, nodeOptions{id: "r1", timing: timing, leaders: []netip.AddrPort{leader.address}})
	leader.configure(t, sampleConfiguration(1, "orders"))
	lost := &eventCounter{event: "source_lost"}
	const proxies = 12
	for i := range proxies {
		startBusyProxy(t, fmt.Sprintf("p%d", i), 2*timing.SilenceTimeout, lost, relay, leader)
	}
	checkConvergesTo(t, leader, 1, proxies)
	time.Sleep(timing.ShareLease)
	lost.lines.Store(0)
	leader.configure(t, sampleConfiguration(2, "orders", "parts"))
	checkConvergesTo(t, leader, 2, proxies)
	time.Sleep(timing.ShareLease)
	if n := lost.lines.Load(); n > 0 {
		t.Errorf("%d proxies left their source", n)
	}
}

// startBusyProxy starts a proxy that takes a while to apply each configuration after the
// first.
func startBusyProxy(t *testing.T, id string, busy time.Duration, logger log.Logger, sources ...*node) {
	t.Helper()
	options := SubscriberOptions{ID: id, Timing: SiteTiming(), Logger: logger}
	for _, source := range sources {
		options.Sources = append(options.Sources, source.address)
	}
	options.Apply = func(_ time.Time, u Update) error {
		if u.Configuration.Version > 1 {
			time.Sleep(busy)
		}
		return nil
	}
	s := NewSubscriber(options)
	go func() { _ = s.Run(t.Context()) }()
}

// TestDelayedProcessAsksBeforeItJudges guards against a process that takes its source for
// silent after it has not run for a while and has sent no heartbeat that could be answered.
func TestDelayedProcessAsksBeforeItJudges(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: SiteTiming()})
	leader.configure(t, sampleConfiguration(1, "orders"))
	lost := &eventCounter{event: "source_lost"}
	var delay atomic.Int64
	startProxyWith(t, SubscriberOptions{
		ID: "p1", Sources: []netip.AddrPort{leader.address}, Timing: SiteTiming(), Logger: lost,
		Now: func() time.Time { return time.Now().Add(time.Duration(delay.Load())) },
	})
	checkConvergesTo(t, leader, 1, 1)
	for range 5 {
		time.Sleep(SiteTiming().HeartbeatInterval)
		delay.Add(int64(2 * SiteTiming().SilenceTimeout))
	}
	time.Sleep(2 * SiteTiming().HeartbeatInterval)
	if n := lost.lines.Load(); n > 0 {
		t.Errorf("the source was lost %d times", n)
	}
}

// TestLargeFirstUpdateOnSlowLinkIsReceived guards against a session that can't be opened
// because the reply waits behind the first update.
func TestLargeFirstUpdateOnSlowLinkIsReceived(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: SiteTiming()})
	leader.configure(t, largeConfiguration(1))
	lost := &eventCounter{event: "source_lost"}
	proxies := make([]*proxy, 0, 8)
	for i := range cap(proxies) {
		faulty := startFaultyLink(t, leader.address)
		faulty.rates[downwards].Store(slowRate)
		proxies = append(proxies, startProxyWith(t, SubscriberOptions{ID: fmt.Sprintf("p%d", i), Sources: []netip.AddrPort{faulty.address}, Timing: SiteTiming(), Logger: lost}))
	}
	for _, p := range proxies {
		waitFor(t, 15*time.Second, "the first configuration is in force", func() bool { return p.state().Configuration.Version == 1 })
	}
	if n := lost.lines.Load(); n > 0 {
		t.Errorf("%d sessions were given up", n)
	}
}

// TestSlowReplyToOpenIsReceived guards against a source that is given up, and left for
// another one, while its reply to the request for a session arrives.
func TestSlowReplyToOpenIsReceived(t *testing.T) {
	t.Parallel()
	timing := SiteTiming()
	timing.SilenceTimeout = 3 * time.Second
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: timing})
	faulty := startFaultyLink(t, leader.address)
	// The reply takes longer than the silence timeout, each byte far less.
	faulty.rates[downwards].Store(12)
	found, lost := &eventCounter{event: "source_found"}, &eventCounter{event: "source_lost"}
	startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{faulty.address}, Timing: timing, Logger: eachLogger{found, lost}})
	took := waitFor(t, 30*time.Second, "a session is open", func() bool { return found.lines.Load() > 0 })
	// A source that closed the session meanwhile is noticed soon.
	faulty.rates[downwards].Store(0)
	time.Sleep(timing.SilenceTimeout / 2)
	if n := lost.lines.Load(); n > 0 || took < timing.SilenceTimeout {
		t.Errorf("the source was lost %d times within %v", n, took)
	}
}

// eachLogger passes its lines to several loggers.
type eachLogger []log.Logger

// Log implements log.Logger.
func (l eachLogger) Log(fields ...any) error {
	for _, logger := range l {
		_ = logger.Log(fields...)
	}
	return nil
}

// TestFollowerBehindKeepsItsLeader guards against a follower that ends its session with the
// leader, and opens one with the same leader, because its own log is behind.
func TestFollowerBehindKeepsItsLeader(t *testing.T) {
	t.Parallel()
	u := NewUpstream(UpstreamOptions{
		ID: "c2", Timing: SiteTiming(), Source: NewSource(SourceOptions{ID: "c2"}),
		Post: func(context.Context, blackboard.Event) error { return nil },
	})
	opened := time.Now()
	at := func(ms int) time.Time { return opened.Add(time.Duration(ms) * time.Millisecond) }
	check := func(ms int, want bool, what string) {
		t.Helper()
		if got := u.shouldSwitch(at(ms)); got != want {
			t.Errorf("%s, %d ms after the start of the session: leaves the leader %t, want %t", what, ms, got, want)
		}
	}
	u.opened(opened)
	check(2_000, false, "nothing answered yet")
	u.heartbeatReply(at(900), wire.HeartbeatReply{LeaseMs: 1_000, Version: 5})
	check(1_800, false, "the leader has its lease and a newer version")
	check(3_000, false, "nothing answered since the lease of the leader")
	u.heartbeatReply(at(2_500), wire.HeartbeatReply{Version: 5})
	check(3_000, true, "the leader answers without its lease")
	if end := u.options.Source.lease.end(); !end.IsZero() {
		t.Errorf("a follower that is behind has a share lease until %v", end)
	}
}

// TestSlowBuildDoesNotEndSession guards against a session that is given up because the
// source answers no heartbeat while it builds a large update for the proxy.
func TestSlowBuildDoesNotEndSession(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: SiteTiming()})
	leader.configure(t, sampleConfiguration(1, "orders"))
	lost := &eventCounter{event: "source_lost"}
	startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{leader.address}, Timing: SiteTiming(), Logger: lost})
	checkConvergesTo(t, leader, 1, 1)
	var sess *session
	leader.do(t, func(*blackboard.Board) { sess = leader.source.sessions[sessionKey{isProxy: true, id: "p1"}] })
	// The mutex is held while an update is built.
	sess.mu.Lock()
	sess.signal()
	time.Sleep(3 * SiteTiming().SilenceTimeout)
	sess.mu.Unlock()
	time.Sleep(SiteTiming().SilenceTimeout)
	if n := lost.lines.Load(); n > 0 {
		t.Errorf("the source was lost %d times", n)
	}
}

// TestProxiesKeepFollowerThatCatchesUp guards against proxies that all leave a follower in
// contact with the leader, since its ledger is behind the leader's for a while.
func TestProxiesKeepFollowerThatCatchesUp(t *testing.T) {
	t.Parallel()
	// The proxies have 3 s after the end of the lease, of which the test uses 0.6 s.
	timing := SiteTiming()
	timing.ShareLease, timing.SilenceTimeout = 6*time.Second, 6*time.Second
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: timing})
	follower := startNodeWith(t, nodeOptions{id: "c2", timing: timing, leaders: []netip.AddrPort{leader.address}, isFollower: true})
	for _, n := range []*node{leader, follower} {
		n.configure(t, sampleConfiguration(1, "orders"))
	}
	waitFor(t, 5*time.Second, "the follower has a lease", func() bool { return time.Now().Before(follower.source.lease.end()) })
	left := &switchCounter{}
	proxies := make([]*proxy, 0, 12)
	for i := range cap(proxies) {
		p := startProxyWith(t, SubscriberOptions{ID: fmt.Sprintf("p%d", i), Sources: []netip.AddrPort{follower.address}, Timing: timing, Logger: left})
		waitFor(t, 5*time.Second, "the proxy follows", func() bool { return p.state().Configuration.Version == 1 })
		p.SetSources([]netip.AddrPort{follower.address, leader.address})
		proxies = append(proxies, p)
	}
	leader.configure(t, sampleConfiguration(2, "orders"))
	for _, p := range proxies {
		waitFor(t, 10*time.Second, "the lease has ended", func() bool { return time.Now().After(p.ShareLeaseUntil()) })
	}
	time.Sleep(2 * timing.HeartbeatInterval)
	follower.configure(t, sampleConfiguration(2, "orders"))
	checkConvergesTo(t, leader, 2, len(proxies))
	if n := left.sessions.Load(); n > 0 {
		t.Errorf("%d of %d proxies left the follower", n, len(proxies))
	}
}
