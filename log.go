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
	Members       []LedgerMember
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
