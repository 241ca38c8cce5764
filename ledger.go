package hornbeamwell

import (
	"context"
	"net/netip"
)

// LedgerStatus is the status of the ledger as seen by one process.
type LedgerStatus struct {
	// HoldsLease is true while this process holds the leader's lease.
	HoldsLease bool
	// Leader is the id of the leader, empty when none is known.
	Leader string
	// LeaderAddress is unset when no leader is known.
	LeaderAddress netip.AddrPort
	Term          uint64
	// Members are the members of the ledger. If this process is not the leader,
	// their states are unknown and it reports all others as silent.
	Members []LedgerMemberStatus
}

// MemberState is the replication state of a member as seen by the leader.
type MemberState string

// The states of members.
const (
	// MemberInSync members have all committed entries.
	MemberInSync MemberState = "in_sync"
	// MemberBehind members respond and are catching up.
	MemberBehind MemberState = "behind"
	// MemberSilent members do not respond.
	MemberSilent MemberState = "silent"
)

// LedgerMemberStatus is a member and its replication state as seen by the
// leader.
type LedgerMemberStatus struct {
	LedgerMember
	State MemberState
	// EntriesBehind is the number of committed entries that the member has not
	// synced.
	EntriesBehind uint64
}

// ToleratedLosses returns the number of voters that can be lost now without
// losing an accepted command or the quorum. The status must be the leader's.
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
	// Propose returns the result of a command once a quorum has synced it. It
	// returns an error that matches ErrNotRun if the command provably did not
	// run, and one that matches ErrUnknownOutcome if it may have run.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns nil if this process is the leader and has applied
	// every command that was answered before the call.
	ReadBarrier(ctx context.Context) error
	Status() LedgerStatus
	// AddMember adds a control instance. It becomes a voter once it has caught
	// up.
	AddMember(ctx context.Context, member LedgerMember) error
	RemoveMember(ctx context.Context, id string) error
}
