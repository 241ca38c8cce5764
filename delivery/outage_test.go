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

// TestProxyReturnsAfterHundredsOfChanges checks that a proxy that was away gets
// the newest version in one step, from the changes alone. It counts whole states
// in the process and so does not run beside other tests.
func TestProxyReturnsAfterHundredsOfChanges(t *testing.T) {
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: quickTiming()})
	between := startWall(t, leader.address)
	services := serviceNames(200)
	leader.configure(t, sampleConfiguration(1, services...))
	away := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{between.address}, Timing: quickTiming()})
	checkConvergesTo(t, leader, 1, 1)
	between.set(true, true)
	for version := 2; version <= 400; version++ {
		changed := *sampleConfiguration(1, services...)
		changed.Version = hornbeamwell.ConfigVersion(version)
		changed.Routes[version%len(services)].MaxAttempts = version
		leader.configure(t, &changed)
		if version%50 == 0 {
			leader.do(t, func(b *blackboard.Board) { b.TargetsVersion++ })
		}
	}
	whole := wholePartsSent.Get()
	time.Sleep(quickTiming().Silence)
	between.set(false, false)
	checkConvergesTo(t, leader, 400, 1)
	if sent := wholePartsSent.Get() - whole; sent > 0 {
		t.Fatalf("%d whole states were sent", sent)
	}
	if got := away.state().Configuration.Routes[0].MaxAttempts; got != 400 {
		t.Fatalf("route 0 has %d attempts, want 400", got)
	}
}

// TestSourceOutage stops the only source and starts it again with a newer
// configuration and then with an older one.
func TestSourceOutage(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: quickTiming()})
	leader.configure(t, sampleConfiguration(5, "orders", "parts"))
	p := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{leader.address}, Timing: quickTiming()})
	p.Announce(sampleTarget("p1", "orders", 1))
	checkConvergesTo(t, leader, 5, 1)
	waitFor(t, time.Second, "the target comes back", func() bool { _, found := p.target("p1"); return found })
	restart := func(version int) *node {
		leader.stop()
		again := startNodeWith(t, nodeOptions{id: "c1", at: leader.address, timing: quickTiming()})
		again.configure(t, sampleConfiguration(version, "orders", "parts", "manuals"))
		return again
	}
	leader = restart(6)
	checkConvergesTo(t, leader, 6, 1)
	leader = restart(4)
	waitFor(t, 5*time.Second, "the proxy is back", func() bool { return leader.convergence(t).Live == 1 })
	time.Sleep(200 * time.Millisecond)
	if version := p.state().Configuration.Version; version != 6 {
		t.Fatalf("the proxy went to version %d from 6", version)
	}
	leader.configure(t, sampleConfiguration(7, "orders"))
	checkConvergesTo(t, leader, 7, 1)
	if _, found := p.target("p1"); !found {
		t.Fatal("the target was not announced again")
	}
}

// TestNextLeaderWaitsForEveryProxy checks that a follower that takes the lead
// names the proxies of the leader before until it has heard from them.
func TestNextLeaderWaitsForEveryProxy(t *testing.T) {
	t.Parallel()
	first := startNodeWith(t, nodeOptions{id: "c1", timing: quickTiming()})
	second := startNodeWith(t, nodeOptions{id: "c2", timing: quickTiming(), leaders: []netip.AddrPort{first.address}, isFollower: true})
	for _, n := range []*node{first, second} {
		n.configure(t, sampleConfiguration(1, "orders"))
	}
	lost := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{first.address}, Timing: quickTiming()})
	moved := startProxyWith(t, SubscriberOptions{ID: "p2", Sources: []netip.AddrPort{first.address, second.address}, Timing: quickTiming()})
	moved.Announce(sampleTarget("p2", "orders", 1))
	checkConvergesTo(t, first, 1, 2)
	waitFor(t, 5*time.Second, "the follower knows the proxies and the target", func() bool {
		known := 0
		second.do(t, func(b *blackboard.Board) {
			known = len(b.Targets)
			if second.source.inherited != nil {
				second.source.inherited.each(func(it *item) {
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
	waitFor(t, 5*time.Second, "the lost proxy alone is named", func() bool {
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

// TestSourceWithoutStateAsksForGroups checks that a source that has published
// nothing yet does not send the whole to a proxy that holds something.
func TestSourceWithoutStateAsksForGroups(t *testing.T) {
	request := wire.OpenRequest{ID: "p1", Role: wire.RoleProxy, Configuration: wire.Base{Version: 3, Digest: 9}}
	s := newSession(time.Unix(1_800_000_000, 0), nil, request)
	s.resume(newHistory[*edition](1), newHistory[*roll](1), wantedState{})
	if !s.needsGroups() {
		t.Fatal("the session does not ask for the groups of the proxy")
	}
}
