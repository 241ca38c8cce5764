package hornbeamwell

import (
	"context"
	"net/netip"
)

// LogStatus is what a process knows of the log.
type LogStatus struct {
	// Leads is true while this process holds the leader's lease.
	Leads bool
	// Leader is the id of the leader, empty when none is known.
	Leader string
	// LeaderAddress is unset when no leader is known.
	LeaderAddress netip.AddrPort
	Term          uint64
	Members       []LogMember
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

// LogMember is a member as the leader sees it.
type LogMember struct {
	LedgerMember
	State MemberState
	// EntriesBehind is the number of committed entries that the member has not
	// synced.
	EntriesBehind uint64
}

// ToleratedLosses returns the number of voters that may be lost now with
// nothing accepted lost and a quorum left.
func (s *LogStatus) ToleratedLosses() int {
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

// Log is a replicated log of commands.
type Log interface {
	// Propose returns the answer to a command once a quorum has synced it. It
	// returns an ErrNotRun where the command provably did not run, and
	// ErrUnknownOutcome where it may have run.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm returns nil when this process leads and has applied every
	// command that was answered before the call.
	Confirm(ctx context.Context) error
	Status() LogStatus
	// AddMember adds a control instance, which becomes a voter once it has
	// caught up.
	AddMember(ctx context.Context, member LedgerMember) error
	RemoveMember(ctx context.Context, id string) error
}
