package hornbeamwell

import (
	"context"
	"net/netip"
)

// LedgerStatus is what a process knows of the log.
type LedgerStatus struct {
	// HoldsLease is true while this process holds the leader's lease.
	HoldsLease bool
	// Leader is the id of the leader, empty when none is known.
	Leader string
	// LeaderAddress is unset when no leader is known.
	LeaderAddress netip.AddrPort
	Term          uint64
	Members       []LedgerMemberStatus
}

// MemberState says how far the leader is in touch with a member.
type MemberState string

// The states of members.
const (
	// MemberInSync members have all that is committed.
	MemberInSync MemberState = "in_sync"
	// MemberBehind members answer and catch up.
	MemberBehind MemberState = "behind"
	// MemberSilent members do not answer.
	MemberSilent MemberState = "silent"
)

// LedgerMemberStatus is a member as the leader sees it.
type LedgerMemberStatus struct {
	LedgerMember
	State MemberState
	// EntriesBehind is the number of committed entries that the member has not
	// synced.
	EntriesBehind uint64
}

// ToleratedLosses returns the number of voters that may be lost now with
// nothing accepted lost and a quorum left.
func (s *LedgerStatus) ToleratedLosses() int {
	voters, inSync := 0, 0
	for _, m := range s.Members {
		if m.Role != LedgerVoter {
			continue
		}
		voters++
		if m.State == MemberInSync {
			inSync++
		}
	}
	quorum := voters/2 + 1
	return max(inSync-quorum, 0)
}

// Ledger is a replicated log of commands.
type Ledger interface {
	// Propose returns the answer to a command once a quorum has synced it. It
	// returns an ErrNotRun where the command provably did not run, and
	// ErrUnknownOutcome where it may have run.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns nil when this process leads and has applied every
	// command that was answered before the call.
	ReadBarrier(ctx context.Context) error
	Status() LedgerStatus
	// AddMember adds a control instance, which becomes a voter once it has
	// caught up.
	AddMember(ctx context.Context, member LedgerMember) error
	RemoveMember(ctx context.Context, id string) error
}
