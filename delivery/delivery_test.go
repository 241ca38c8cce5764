package delivery

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestConfigurationAndTargetsReachEveryProxy(t *testing.T) {
	leader := startNode(t, "c1")
	leader.configure(t, sampleConfiguration(1, "orders", "parts"))
	one := startProxy(t, "p1", leader.address)
	two := startProxy(t, "p2", leader.address)
	one.Announce(sampleTarget("p1", "orders", 1))
	checkConvergesTo(t, leader, 1, 2)
	waitFor(t, 2*time.Second, "p2 sees the target of p1", func() bool { _, found := two.target("p1"); return found })
	leader.configure(t, sampleConfiguration(2, "orders", "parts", "manuals"))
	checkConvergesTo(t, leader, 2, 2)
	if got := len(two.state().Configuration.Services); got != 3 {
		t.Fatalf("p2 has %d services, want 3", got)
	}
	if until := one.ShareLeaseUntil(); time.Until(until) < DefaultTiming().ShareLease/2 {
		t.Fatalf("the share lease ends at %v", until)
	}
}

func TestRelayPassesEverythingOn(t *testing.T) {
	leader := startNode(t, "c1")
	relay := startNode(t, "r1", leader.address)
	leader.configure(t, sampleConfiguration(1, "orders"))
	below := startProxy(t, "p7", relay.address)
	beside := startProxy(t, "p2", leader.address)
	below.Announce(sampleTarget("p7", "orders", 1))
	checkConvergesTo(t, leader, 1, 2)
	waitFor(t, 2*time.Second, "p2 sees the target below the relay", func() bool { _, found := beside.target("p7"); return found })
	waitFor(t, 4*time.Second, "the lease passes the relay", func() bool { return time.Until(below.ShareLeaseUntil()) > DefaultTiming().ShareLease/2 })
	drained := sampleTarget("p7", "orders", 2)
	drained.State = hornbeamwell.TargetDraining
	below.Announce(drained)
	took := waitFor(t, 2*time.Second, "p2 sees the drain", func() bool {
		seen, _ := beside.target("p7")
		return seen.State == hornbeamwell.TargetDraining
	})
	t.Logf("drain seen after %v", took)
}

func checkConvergesTo(t testing.TB, leader *node, version hornbeamwell.ConfigVersion, live int) {
	t.Helper()
	waitFor(t, 5*time.Second, "the version is in force everywhere", func() bool {
		c := leader.convergence(t)
		return c.IsInForce(version) && c.Live == live
	})
}
