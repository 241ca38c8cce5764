package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// checkCommitted checks that a committed entry equals the entry that other
// nodes committed at its index.
func (s *simulation) checkCommitted(n *node, e hornbeamwell.LedgerEntry) {
	n.entriesSinceSnapshot++
	at := int(e.Index) - bootstrapIndex - 1
	if at > len(s.history) {
		s.t.Fatalf("node %s commits entry %d, but the last committed entry is %d", n.endpoint.ID, e.Index, len(s.history)+bootstrapIndex)
	}
	if at < len(s.history) {
		if known := s.history[at]; known.Term != e.Term || string(known.Data) != string(e.Data) {
			s.t.Fatalf("committed entries differ: node %s commits %+v, others committed %+v", n.endpoint.ID, e, known)
		}
		return
	}
	chain := digestChain{index: e.Index - 1}
	if at > 0 {
		chain.digest = s.digests[at-1]
	}
	chain.add(e)
	s.history = append(s.history, e)
	s.digests = append(s.digests, chain.digest)
	if e.Kind == hornbeamwell.LedgerMembership {
		members, err := wire.DecodeLedgerMembers(e.Data)
		if err != nil {
			s.t.Fatalf("entry %d: %v", e.Index, err)
		}
		s.members = members
	} else if s.members == nil {
		s.members = n.core.log.membersAt(e.Index)
	}
}

// machineState returns a stand-in for the state of the state machine after an
// index.
func (s *simulation) machineState(index uint64) []byte {
	return fmt.Appendf(nil, "state after entry %d", index)
}

func (s *simulation) checkSnapshot(n *node, snapshot hornbeamwell.LedgerSnapshot) {
	if snapshot.Index <= bootstrapIndex {
		return
	}
	at := int(snapshot.Index) - bootstrapIndex - 1
	if at >= len(s.history) || s.digests[at] != snapshot.Digest || string(snapshot.Data) != string(s.machineState(snapshot.Index)) {
		s.t.Fatalf("node %s has a snapshot at %d that does not match the committed entries", n.endpoint.ID, snapshot.Index)
	}
}

// checkLeader checks that a term has one leader, which has every committed
// entry.
func (s *simulation) checkLeader(n *node) {
	c := n.core
	if c.role != RoleLeader {
		return
	}
	if c.log.membersIndex() > c.commit {
		s.appendedMembers = append(s.appendedMembers, memberList{index: c.log.membersIndex(), members: c.log.members()})
	}
	known, ok := s.leaders[c.vote.Term]
	if ok && known != n.endpoint.Identity {
		s.t.Fatalf("term %d has leaders %s and %s", c.vote.Term, known, n.endpoint.Identity)
	}
	if ok {
		return
	}
	s.elections++
	s.leaders[c.vote.Term] = n.endpoint.Identity
	for i := len(s.history) - 1; i >= 0; i-- {
		e := s.history[i]
		if e.Index < c.log.baseIndex {
			break
		}
		if term, ok := c.log.term(e.Index); !ok || term != e.Term {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.endpoint.ID, c.vote.Term, e.Index, e.Term)
		}
	}
}

// checkLeaseHolder checks that at most one node that is not paused holds the
// lease, and that it has every committed entry.
func (s *simulation) checkLeaseHolder() {
	holder := ""
	for _, n := range s.nodes {
		if n.core == nil || s.now < n.pausedUntil {
			continue
		}
		now := s.clock(n)
		if !now.Before(n.core.leaseEnd(now)) {
			continue
		}
		if holder != "" {
			s.t.Fatalf("%s and %s hold the lease at once", holder, n.endpoint.ID)
		}
		holder = n.endpoint.ID
		if last := uint64(len(s.history)) + bootstrapIndex; n.core.delivered < last {
			s.t.Fatalf("%s holds the lease at entry %d, entry %d is committed", n.endpoint.ID, n.core.delivered, last)
		}
	}
}

// checkRecovery ends the faults and checks that a new command commits on every
// member and that every member is a voter again.
func (s *simulation) checkRecovery() {
	s.heal()
	s.run(20 * time.Second)
	leader := s.leader()
	if leader < 0 {
		s.t.Fatalf("no leader 20 s after the faults:\n%s", s.describe())
	}
	out := s.step(leader, proposeEvent{commands: [][]byte{[]byte("after the faults")}})
	if out.rejected != nil {
		s.t.Fatalf("leader rejected the command: %v", out.rejected)
	}
	s.run(2 * time.Second)
	for _, m := range s.members {
		n := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.endpoint.ID == m.ID })]
		if m.Role != hornbeamwell.LedgerVoter || n.core.delivered < out.proposed.index {
			s.t.Fatalf("member %s is a %s and has applied %d of %d:\n%s", m.ID, m.Role, n.core.delivered, out.proposed.index, s.describe())
		}
	}
}
