package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestReplacedMembersLeaveNothing guards against what a leader keeps of members that were
// replaced: it leads through the replacement of 80 others, two at a time,
// one of which has lost its disk before.
func TestReplacedMembersLeaveNothing(t *testing.T) {
	t.Parallel()
	const rounds = 40
	s := newSeededSimulation(t, 1, 2*rounds)
	s.startSeeded()
	leader := s.leader()
	// The nodes that run, the one that has run for the longest time first.
	var running []int
	for i := range seededVoters {
		if i != leader {
			running = append(running, i)
		}
	}
	for round := range rounds {
		s.loseDisks(running[0])
		s.run(simulatedCatchUp)
		s.crash(running[0])
		s.crash(running[1])
		running = running[2:]
		s.run(time.Second)
		for i := range 2 {
			next := seededVoters + 2*round + i
			s.startFirst(next)
			running = append(running, next)
		}
		s.run(simulatedCatchUp)
	}
	s.commitNext()
	for _, i := range append(running, leader) {
		c := s.nodes[i].core
		members := len(c.log.members())
		for what, count := range map[string]int{
			"members": members, "progress": len(c.progress) + 1, "current identities": len(c.currentIdentities),
			"joining": len(c.joining), "votes": len(c.votes), "initial peers": len(c.initialPeers),
		} {
			if count > members || members > seededVoters {
				t.Errorf("node %d: %d %s, want at most %d", i, count, what, seededVoters)
			}
		}
	}
}

// TestOnlyInitialVotersAreKeptBeforeBootstrap guards against a process that sends
// identifications under many ids to an instance without a cluster.
func TestOnlyInitialVotersAreKeptBeforeBootstrap(t *testing.T) {
	t.Parallel()
	self := endpointOf(testMembers[1])
	c, err := newCore(coreConfig{
		self: self, initialVoters: testMembers, timing: DefaultTiming(), limits: DefaultLimits(), random: rand.New(rand.NewPCG(1, 2)),
	}, hornbeamwell.LedgerState{Identity: self.Identity}, testStart)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		from := Endpoint{ID: fmt.Sprint(i), Identity: fmt.Sprint(i), Address: testMembers[0].Address}
		c.Step(testStart, messageEvent{message: Message{From: from, To: Endpoint{ID: self.ID}, Body: Identification{}}})
	}
	c.Step(testStart, messageEvent{message: Message{From: endpointOf(testMembers[0]), To: Endpoint{ID: self.ID}, Body: Identification{}}})
	if len(c.initialPeers) != 1 {
		t.Errorf("%d peers are kept, want the one initial voter", len(c.initialPeers))
	}
}
