package delivery

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// TestProxyReturnsAfterHundredsOfChanges checks that a proxy that was
// disconnected receives the newest version as changes only. It counts full parts
// in the whole process and so must not run in parallel with other tests.
func TestProxyReturnsAfterHundredsOfChanges(t *testing.T) {
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: fastTiming()})
	faulty := startFaultyLink(t, leader.address)
	services := serviceNames(200)
	leader.configure(t, sampleConfiguration(1, services...))
	reconnecting := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{faulty.address}, Timing: fastTiming()})
	checkConvergesTo(t, leader, 1, 1)
	faulty.setCut(true, true)
	for version := 2; version <= 400; version++ {
		changed := *sampleConfiguration(1, services...)
		changed.Version = hornbeamwell.ConfigVersion(version)
		changed.Routes[version%len(services)].MaxAttempts = version
		leader.configure(t, &changed)
		if version%50 == 0 {
			leader.do(t, func(b *blackboard.Board) { b.TargetsVersion++ })
		}
	}
	fullParts := fullPartsSent.Get()
	time.Sleep(fastTiming().SilenceTimeout)
	faulty.setCut(false, false)
	checkConvergesTo(t, leader, 400, 1)
	if sent := fullPartsSent.Get() - fullParts; sent > 0 {
		t.Fatalf("%d full parts were sent", sent)
	}
	if got := reconnecting.state().Configuration.Routes[0].MaxAttempts; got != 400 {
		t.Fatalf("route 0 has %d attempts, want 400", got)
	}
}

// TestSourceOutage restarts the only source with a newer configuration and then
// with an older one. The proxy must apply the newer one, keep it while the
// source has the older one, and announce its target again.
func TestSourceOutage(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: fastTiming()})
	leader.configure(t, sampleConfiguration(5, "orders", "parts"))
	p := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{leader.address}, Timing: fastTiming()})
	p.Announce(sampleTarget("p1", "orders", 1))
	checkConvergesTo(t, leader, 5, 1)
	waitFor(t, time.Second, "the proxy receives its own target", func() bool { _, found := p.target("p1"); return found })
	restart := func(version int) *node {
		leader.stop()
		restarted := startNodeWith(t, nodeOptions{id: "c1", listenAddress: leader.address, timing: fastTiming()})
		restarted.configure(t, sampleConfiguration(version, "orders", "parts", "manuals"))
		return restarted
	}
	leader = restart(6)
	checkConvergesTo(t, leader, 6, 1)
	leader = restart(4)
	waitFor(t, 5*time.Second, "the proxy reconnects", func() bool { return leader.convergence(t).Live == 1 })
	time.Sleep(200 * time.Millisecond)
	if version := p.state().Configuration.Version; version != 6 {
		t.Fatalf("the proxy went from version 6 to %d", version)
	}
	leader.configure(t, sampleConfiguration(7, "orders"))
	checkConvergesTo(t, leader, 7, 1)
	if _, found := p.target("p1"); !found {
		t.Fatal("the target was not announced again")
	}
}

// TestNewLeaderWaitsForEveryProxy checks that a follower that becomes the
// leader reports the previous leader's proxies as silent until they contact it.
func TestNewLeaderWaitsForEveryProxy(t *testing.T) {
	t.Parallel()
	first := startNodeWith(t, nodeOptions{id: "c1", timing: fastTiming()})
	second := startNodeWith(t, nodeOptions{id: "c2", timing: fastTiming(), leaders: []netip.AddrPort{first.address}, isFollower: true})
	for _, n := range []*node{first, second} {
		n.configure(t, sampleConfiguration(1, "orders"))
	}
	lost := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{first.address}, Timing: fastTiming()})
	switched := startProxyWith(t, SubscriberOptions{ID: "p2", Sources: []netip.AddrPort{first.address, second.address}, Timing: fastTiming()})
	switched.Announce(sampleTarget("p2", "orders", 1))
	checkConvergesTo(t, first, 1, 2)
	waitFor(t, 5*time.Second, "the follower knows the proxies and the target", func() bool {
		known := 0
		second.do(t, func(b *blackboard.Board) {
			known = len(b.Targets)
			if second.source.previousProxies != nil {
				second.source.previousProxies.forEach(func(it *item) {
					if !it.proxy.IsSource {
						known++
					}
				})
			}
		})
		return known == 3
	})
	first.stop()
	second.do(t, func(b *blackboard.Board) { b.Leadership.HoldsLease = true })
	waitFor(t, 5*time.Second, "only the lost proxy is reported silent", func() bool {
		c := second.convergence(t)
		return c.Live == 1 && c.SilentCount == 1 && c.Silent[0].ID == "p1" && !c.IsInForce(1)
	})
	second.do(t, func(b *blackboard.Board) {
		if len(b.Targets) != 1 {
			t.Errorf("the new leader has targets %v", b.Targets)
		}
	})
	_ = lost
}

func serviceNames(count int) []string {
	all := make([]string, 0, count)
	for i := range count {
		all = append(all, fmt.Sprintf("service-%04d", i))
	}
	return all
}

// TestSourceWithoutStateRequestsGroups checks that a source that has not
// published anything yet does not send the full state to a proxy that already
// has state.
func TestSourceWithoutStateRequestsGroups(t *testing.T) {
	request := wire.OpenRequest{ID: "p1", Role: wire.RoleProxy, Configuration: wire.Base{Version: 3, Digest: 9}}
	s := newSession(time.Unix(1_800_000_000, 0), nil, request)
	s.resume(newHistory[*configOutline](1, defaultHistoryBytes), newHistory[*presenceOutline](1, defaultHistoryBytes), desiredState{})
	if !s.needsGroups() {
		t.Fatal("the session does not request the proxy's groups")
	}
}
