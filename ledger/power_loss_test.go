package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestPowerLossEverywhereWithLostDisks guards against the loss of a committed command
// when two of five disks are lost while all other instances lose their power, up to
// 50 ms after the command was committed. Nobody keeps it in memory. A leader must be
// there within 15 s, with every command, and the ledger must be ready for the next such
// loss 30 s later.
func TestPowerLossEverywhereWithLostDisks(t *testing.T) {
	const (
		voters   = 5
		rounds   = 6
		recovery = 15 * time.Second
		repair   = 30 * time.Second
	)
	for seed := range uint64(25) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed, voters, 0)
			s.timing, s.tolerateLosses = SiteTiming(), 2
			s.delay, s.resolution = 3*time.Millisecond, time.Millisecond
			for _, n := range s.nodes {
				n.diskDelay = 4 * time.Millisecond
			}
			s.startAll()
			s.run(repair)
			for round := range rounds {
				s.commit(fmt.Sprintf("round %d", round))
				s.run(time.Duration(s.random.IntN(51)) * time.Millisecond)
				s.losePowerEverywhere()
				s.run(500*time.Millisecond + time.Duration(s.random.IntN(1500))*time.Millisecond)
				s.startAllWithin(300 * time.Millisecond)
				s.awaitLeader(recovery)
				s.run(repair)
				s.checkVoters()
			}
		})
	}
}

// commit proposes a command at the leader and runs until it is committed.
func (s *simulation) commit(command string) {
	s.t.Helper()
	before := len(s.history)
	leader := s.leader()
	if leader < 0 {
		s.t.Fatalf("no leader to propose to:\n%s", s.describe())
	}
	if out := s.step(leader, proposeEvent{commands: [][]byte{[]byte(command)}}); out.rejected != nil {
		s.t.Fatalf("%s was rejected: %v", command, out.rejected)
	}
	for end := s.now + time.Second; len(s.history) == before; s.run(s.resolution) {
		if s.now >= end {
			s.t.Fatalf("%s is not committed after a second", command)
		}
	}
}

// losePowerEverywhere crashes all nodes at once and wipes two of them, in every other
// case the leader and another one.
func (s *simulation) losePowerEverywhere() {
	s.t.Helper()
	lost := s.random.Perm(len(s.nodes))
	if leader := s.leader(); leader >= 0 && s.random.IntN(2) == 0 {
		for i, node := range lost {
			if node == leader {
				lost[0], lost[i] = lost[i], lost[0]
			}
		}
	}
	for i := range s.nodes {
		s.crash(i)
	}
	for _, i := range lost[:2] {
		if !s.wipe(i) {
			s.t.Fatalf("node %s may not lose its disk:\n%s", s.nodes[i].endpoint.ID, s.describe())
		}
	}
}

// startAllWithin starts the nodes at random times within the duration.
func (s *simulation) startAllWithin(duration time.Duration) {
	for _, i := range s.random.Perm(len(s.nodes)) {
		s.start(i)
		s.run(time.Duration(s.random.Int64N(int64(duration) / int64(len(s.nodes)))))
	}
}

// awaitLeader runs until a node holds the lease. checkLeaseHolder checks that it has
// every committed entry.
func (s *simulation) awaitLeader(timeout time.Duration) {
	s.t.Helper()
	for end := s.now + timeout; s.leader() < 0; s.run(s.resolution) {
		if s.now >= end {
			s.t.Fatalf("no leader %s after the power loss:\n%s", timeout, s.describe())
		}
	}
}

// checkVoters checks that every node is a voter under its current identity.
func (s *simulation) checkVoters() {
	s.t.Helper()
	for _, n := range s.nodes {
		isVoter := false
		for _, m := range s.members {
			isVoter = isVoter || m.Identity == n.endpoint.Identity && m.Role == hornbeamwell.LedgerVoter
		}
		if !isVoter {
			s.t.Fatalf("node %s is no voter: %+v", n.endpoint.ID, s.members)
		}
	}
}
