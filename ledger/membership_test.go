package ledger

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
)

// accept commits a command.
func (s *simulation) accept(command string) {
	s.t.Helper()
	out := s.step(s.leader(), proposeEvent{commands: [][]byte{[]byte(command)}})
	for range 1000 {
		if last := uint64(len(s.history)) + foundingIndex; last >= out.proposed.index {
			return
		}
		s.run(s.grain)
	}
	s.t.Fatalf("command %q is not committed:\n%s", command, s.describe())
}

// runUntil lets time pass until a condition holds.
func (s *simulation) runUntil(what string, holds func() bool) {
	s.t.Helper()
	for range 4000 {
		if holds() {
			return
		}
		s.run(s.grain)
	}
	s.t.Fatalf("not %s within 20 s:\n%s", what, s.describe())
}

// isCommittedVoter reports whether a node's present identity is a voter by the
// committed list.
func (s *simulation) isCommittedVoter(i int) bool {
	return slices.ContainsFunc(s.members, func(m hornbeamwell.LedgerMember) bool {
		return m.Identity == s.nodes[i].endpoint.Identity && m.Role == hornbeamwell.LedgerVoter
	})
}

// healthySimulation returns three founders and other nodes with a leader.
func healthySimulation(t *testing.T, seed uint64, extra int) *simulation {
	s := newSimulation(t, seed, 3, extra)
	s.startAll()
	s.runUntil("a leader", func() bool { return s.leader() >= 0 })
	return s
}

// TestSecondDiskLostRightAfterARepair loses a disk, waits until the commit that
// makes its instance a voter again, and loses another at that moment.
func TestSecondDiskLostRightAfterARepair(t *testing.T) {
	for seed := range uint64(30) {
		s := healthySimulation(t, seed, 0)
		for range 30 {
			s.accept("before")
		}
		first, second := int(seed%3), int((seed/3)%2+seed+1)%3
		if !s.wipe(first) {
			t.Fatal("the first disk may be lost")
		}
		s.start(first)
		s.runUntil("repaired", func() bool { return s.isCommittedVoter(first) })
		accepted := len(s.history)
		if !s.wipe(second) {
			t.Fatal("the second disk may be lost once the first is repaired")
		}
		s.start(second)
		s.runUntil("repaired again", func() bool { return s.isCommittedVoter(second) })
		s.checkRecovers()
		if len(s.history) < accepted {
			t.Fatalf("%d entries were accepted, %d are left", accepted, len(s.history))
		}
	}
}

func TestAMajorityOfLostDisksFoundsNoNewLedger(t *testing.T) {
	for survivor := range 3 {
		s := healthySimulation(t, uint64(survivor), 0)
		s.accept("before")
		for i := range s.nodes {
			if i != survivor {
				s.crash(i)
				s.nodes[i].folder = faulty.NewFolder()
				s.start(i)
			}
		}
		s.run(30 * time.Second)
		if s.leader() >= 0 {
			t.Fatalf("survivor %d: a minority leads:\n%s", survivor, s.describe())
		}
	}
}

func TestAWipedFounderWaitsWhileAnyFounderIsAway(t *testing.T) {
	s := newSimulation(t, 1, 3, 0)
	s.start(0)
	s.start(1)
	s.run(10 * time.Second)
	if s.nodes[0].core.isEstablished() {
		t.Fatal("founded without the third founder")
	}
	s.start(2)
	s.runUntil("founded", func() bool { return s.leader() >= 0 })
}

func TestAddedInstanceBecomesAVoterAndRemovedOneLeaves(t *testing.T) {
	s := healthySimulation(t, 1, 1)
	for range 30 {
		s.accept("before")
	}
	added := s.nodes[3].endpoint
	change := MemberChange{Kind: AddMember, Member: hornbeamwell.LedgerMember{ID: added.ID, Address: added.Address}}
	if out := s.step(s.leader(), changeEvent{change: change}); out.refused != nil {
		t.Fatal(out.refused)
	}
	s.runUntil("added", func() bool { return s.isCommittedVoter(3) })
	if s.nodes[3].core.delivered < 30 {
		t.Fatalf("a voter with %d entries", s.nodes[3].core.delivered)
	}
	leader := s.leader()
	change = MemberChange{Kind: RemoveMember, Member: hornbeamwell.LedgerMember{ID: s.nodes[leader].endpoint.ID}}
	if out := s.step(leader, changeEvent{change: change}); out.refused != nil {
		t.Fatal(out.refused)
	}
	s.runUntil("removed", func() bool { return !s.isCommittedVoter(leader) && s.leader() >= 0 && s.leader() != leader })
	s.checkRecovers()
}

func TestRemovalThatLeavesNoQuorumIsRefused(t *testing.T) {
	s := healthySimulation(t, 1, 0)
	leader := s.leader()
	s.crash((leader + 1) % 3)
	s.run(800 * time.Millisecond)
	healthy := s.nodes[(leader+2)%3].endpoint.ID
	out := s.step(leader, changeEvent{change: MemberChange{Kind: RemoveMember, Member: hornbeamwell.LedgerMember{ID: healthy}}})
	if !errors.Is(out.refused, errNoQuorumAfter) {
		t.Fatalf("refused with %v", out.refused)
	}
}
