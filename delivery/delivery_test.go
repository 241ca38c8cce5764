package delivery

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

func TestConfigurationAndTargetsReachEveryProxy(t *testing.T) {
	leader := startNode(t, "c1")
	leader.configure(t, sampleConfiguration(1, "orders", "parts"))
	one := startProxy(t, "p1", leader.address)
	two := startProxy(t, "p2", leader.address)
	one.Announce(sampleTarget("p1", "orders", 1))
	checkConvergesTo(t, leader, 1, 2)
	waitFor(t, 2*time.Second, "p2 receives the target of p1", func() bool { _, found := two.target("p1"); return found })
	leader.configure(t, sampleConfiguration(2, "orders", "parts", "manuals"))
	checkConvergesTo(t, leader, 2, 2)
	if got := len(two.state().Configuration.Services); got != 3 {
		t.Fatalf("p2 has %d services, want 3", got)
	}
	if until := one.ShareLeaseUntil(); time.Until(until) < DefaultTiming().ShareLease/2 {
		t.Fatalf("the share lease ends at %v", until)
	}
}

func TestRelayForwardsEverything(t *testing.T) {
	leader := startNode(t, "c1")
	relay := startNode(t, "r1", leader.address)
	leader.configure(t, sampleConfiguration(1, "orders"))
	p7 := startProxy(t, "p7", relay.address)
	p2 := startProxy(t, "p2", leader.address)
	p7.Announce(sampleTarget("p7", "orders", 1))
	checkConvergesTo(t, leader, 1, 2)
	waitFor(t, 2*time.Second, "p2 receives the target of the relay's proxy", func() bool { _, found := p2.target("p7"); return found })
	waitFor(t, 4*time.Second, "the relay forwards the lease", func() bool { return time.Until(p7.ShareLeaseUntil()) > DefaultTiming().ShareLease/2 })
	drained := sampleTarget("p7", "orders", 2)
	drained.State = hornbeamwell.TargetDraining
	p7.Announce(drained)
	took := waitFor(t, 2*time.Second, "p2 receives the drain", func() bool {
		seen, _ := p2.target("p7")
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

// TestRelayForwardsEvidence checks that the leader receives the observations of
// a relay's proxies and that their sums are right.
func TestRelayForwardsEvidence(t *testing.T) {
	leader := startNode(t, "c1")
	relay := startNode(t, "r1", leader.address)
	leader.configure(t, sampleConfiguration(1, "orders"))
	for _, id := range []string{"p1", "p2"} {
		var once sync.Once
		startProxyWith(t, SubscriberOptions{ID: id, Sources: []netip.AddrPort{relay.address}, Evidence: func() (seen []hornbeamwell.Observation) {
			once.Do(func() {
				o := hornbeamwell.Observation{Key: hornbeamwell.EvidenceKey{Service: "orders", Version: "v1", Route: "orders"}, Calls: 3, Failures: 1}
				o.Latency.Add(time.Millisecond)
				seen = append(seen, o)
			})
			return seen
		}})
	}
	waitFor(t, 6*time.Second, "the leader has both observations", func() bool {
		var calls, failures, counted uint64
		leader.do(t, func(b *blackboard.Board) {
			for _, o := range b.Evidence {
				calls, failures, counted = calls+o.Calls, failures+o.Failures, counted+o.Latency.Count()
			}
		})
		return calls == 6 && failures == 2 && counted == 2
	})
}

// TestGoodbyeRemovesProxyAndTarget checks that after a planned stop neither a
// silent proxy nor its target remains.
func TestGoodbyeRemovesProxyAndTarget(t *testing.T) {
	leader := startNode(t, "c1")
	relay := startNode(t, "r1", leader.address)
	leader.configure(t, sampleConfiguration(1, "orders"))
	stays := startProxy(t, "p1", leader.address)
	leaves := startProxy(t, "p2", relay.address)
	leaves.Announce(sampleTarget("p2", "orders", 1))
	checkConvergesTo(t, leader, 1, 2)
	waitFor(t, 2*time.Second, "p1 receives the target", func() bool { _, found := stays.target("p2"); return found })
	leaves.stop()
	checkConvergesTo(t, leader, 1, 1)
	waitFor(t, 2*time.Second, "p1 no longer has the target", func() bool { _, found := stays.target("p2"); return !found })
}

// TestProxyLearnsWhatItsSourceRecorded guards against a proxy that acknowledges to a target
// what no source has, or never learns that one has it. A target that is gone is in no update.
func TestProxyLearnsWhatItsSourceRecorded(t *testing.T) {
	t.Parallel()
	leader := startNode(t, "leader")
	follower := startNode(t, "follower", leader.address)
	leader.configure(t, sampleConfiguration(1, "a"))
	for id, source := range map[string]netip.AddrPort{"p1": leader.address, "p2": follower.address} {
		recorded := make(chan hornbeamwell.Target, 10)
		p := startProxyWith(t, SubscriberOptions{ID: id, Sources: []netip.AddrPort{source}, Recorded: func(targets []hornbeamwell.Target) {
			for _, target := range targets {
				recorded <- target
			}
		}})
		ready := sampleTarget(id, "a", 5)
		gone := ready
		gone.Sequence, gone.State = 6, hornbeamwell.TargetGone
		for _, announced := range []hornbeamwell.Target{ready, gone} {
			p.Announce(announced)
			for got := (hornbeamwell.Target{}); got.Sequence != announced.Sequence; {
				select {
				case got = <-recorded:
				case <-time.After(10 * time.Second):
					t.Fatalf("%s did not learn that its source has the %s target", id, announced.State)
				}
			}
		}
	}
}
