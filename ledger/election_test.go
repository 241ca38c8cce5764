package ledger

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// TestElectionTimeAfterPowerLoss repeatedly starts five instances spread over
// 450 ms, as after a power loss. After its start an instance grants no vote for
// ElectionMin, because it may have promised that before it stopped. Once these
// promises of a quorum have ended, a leader must follow soon.
func TestElectionTimeAfterPowerLoss(t *testing.T) {
	t.Parallel()
	const (
		instances   = 5
		powerLosses = 60
		startSpread = 450 * time.Millisecond
	)
	s := newSimulation(t, 1, instances, 0)
	s.timing = SiteTiming()
	s.delay, s.resolution = 3*time.Millisecond, time.Millisecond
	for _, n := range s.nodes {
		n.diskDelay = time.Millisecond
	}
	s.startAll()
	s.run(3 * time.Second)
	random := rand.New(rand.NewPCG(2, 2))
	waits := make([]time.Duration, 0, powerLosses)
	for range powerLosses {
		for i := range s.nodes {
			s.crash(i)
		}
		s.run(time.Second)
		starts := make([]time.Duration, instances)
		for i := range starts {
			starts[i] = s.now + time.Duration(random.Int64N(int64(startSpread)))
		}
		sorted := slices.Sorted(slices.Values(starts))
		promisesEnd := sorted[instances/2] + s.timing.ElectionMin
		for s.leader() < 0 {
			for i, at := range starts {
				if s.nodes[i].core == nil && s.now >= at {
					s.start(i)
				}
			}
			s.run(s.resolution)
		}
		waits = append(waits, s.now-promisesEnd)
		s.run(time.Second)
	}
	p50, p90 := quantileOf(waits, 0.5), quantileOf(waits, 0.9)
	t.Logf("time from the end of a quorum's promises to a leader: p50 %s, p90 %s, max %s", p50, p90, slices.Max(waits))
	if p50 > 100*time.Millisecond || p90 > 250*time.Millisecond {
		t.Errorf("time from the end of a quorum's promises to a leader: p50 %s, p90 %s", p50, p90)
	}
}

func quantileOf(durations []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[int(q*float64(len(sorted)-1))]
}

// TestQueuedHeartbeatPreventsPreVote guards against an instance that was delayed, campaigns
// at its next tick and forgets the leader whose heartbeats are waiting in its queue.
func TestQueuedHeartbeatPreventsPreVote(t *testing.T) {
	g := newGroup(t, 3, DefaultLimits())
	g.waitApplied(g.propose("before").Index)
	leader := g.leader()
	follower := (leader + 1) % 3
	status := g.instances[leader].ledger.Status()
	from := g.instances[leader].ledger.core.config.self
	g.stop(follower)
	var now atomic.Int64
	now.Store(time.Now().UnixNano())
	l, err := Open(Options{
		ID: g.members[follower].ID, Zone: g.members[follower].Zone, Folder: g.folders[follower],
		Address: g.members[follower].Address, Members: g.members, StateMachine: &listStateMachine{}, Limits: g.limits,
		Now: func() time.Time { return time.Unix(0, now.Load()) },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.closeStorage()
	now.Add(int64(2 * DefaultTiming().ElectionMax))
	l.messages <- Message{From: from, To: l.core.config.self, Cluster: l.core.cluster(), Term: status.Term, Body: Heartbeat{Round: 1}}
	l.tick()
	if l.core.role != RoleFollower || l.core.leader != from {
		t.Errorf("role %v of leader %q after a tick with a heartbeat in the queue, want a follower of %q", l.core.role, l.core.leader.ID, from.ID)
	}
	now.Add(int64(2 * DefaultTiming().ElectionMax))
	l.tick()
	now.Add(int64(2 * DefaultTiming().Heartbeat))
	l.tick()
	if l.core.role != RolePreCandidate {
		t.Errorf("role %v two heartbeats after a tick without one, want a pre-candidate", l.core.role)
	}
}

// TestDelayedInstanceWaitsForHeartbeat guards against instances that were delayed together,
// as on a busy or suspended machine, and elect another leader before theirs has run.
func TestDelayedInstanceWaitsForHeartbeat(t *testing.T) {
	c, now := newTestCore(t)
	timing := DefaultTiming()
	c.Step(now, fromA(2, Heartbeat{Round: 1}))
	c.Step(now, tickEvent{})
	for range 3 {
		now = now.Add(2 * timing.ElectionMax)
		if c.Step(now, tickEvent{}); c.role != RoleFollower {
			t.Fatalf("role %v at the end of a delay, want a follower", c.role)
		}
		now = now.Add(timing.Heartbeat)
		c.Step(now, fromA(2, Heartbeat{Round: 1}))
	}
	lastHeard := now
	for c.role == RoleFollower && now.Sub(lastHeard) < 2*timing.ElectionMax {
		now = now.Add(timing.Heartbeat / ticksPerHeartbeat)
		c.Step(now, tickEvent{})
	}
	if c.role != RolePreCandidate || now.Sub(lastHeard) > timing.ElectionMax+timing.Heartbeat {
		t.Errorf("role %v %v after the last heartbeat, want a pre-candidate", c.role, now.Sub(lastHeard))
	}
	c.Step(now, fromA(2, Heartbeat{Round: 2}))
	for range 2 {
		now = now.Add(2 * timing.ElectionMax)
		c.Step(now, tickEvent{})
	}
	if c.role != RolePreCandidate {
		t.Errorf("role %v of an instance whose ticks are all late, want a pre-candidate", c.role)
	}
}
