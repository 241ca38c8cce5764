package instance

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger"
)

// ledgerAdapter implements hornbeamwell.Ledger, the interface that the operator
// API uses, with a ledger.Ledger.
type ledgerAdapter struct {
	inner *ledger.Ledger
	now   func() time.Time
}

// memberTimeout is the time without contact after which a member is reported as
// silent.
const memberTimeout = time.Second

var _ hornbeamwell.Ledger = (*ledgerAdapter)(nil)

// AddMember implements hornbeamwell.Ledger.
func (a *ledgerAdapter) AddMember(ctx context.Context, member hornbeamwell.LedgerMember) error {
	return a.inner.ChangeMember(ctx, ledger.MemberChange{Kind: ledger.AddMember, Member: member})
}

// ReadBarrier implements hornbeamwell.Ledger.
func (a *ledgerAdapter) ReadBarrier(ctx context.Context) error { return a.inner.ReadBarrier(ctx) }

// Propose implements hornbeamwell.Ledger.
func (a *ledgerAdapter) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := a.inner.Propose(ctx, command)
	return result.Response, err
}

// RemoveMember implements hornbeamwell.Ledger.
func (a *ledgerAdapter) RemoveMember(ctx context.Context, id string) error {
	member := hornbeamwell.LedgerMember{ID: id}
	return a.inner.ChangeMember(ctx, ledger.MemberChange{Kind: ledger.RemoveMember, Member: member})
}

// Status implements hornbeamwell.Ledger.
func (a *ledgerAdapter) Status() hornbeamwell.LedgerStatus {
	status := a.inner.Status()
	members := make([]hornbeamwell.LedgerMemberStatus, 0, len(status.Members))
	for _, m := range status.Members {
		members = append(members, toMemberStatus(a.now(), status, m))
	}
	return hornbeamwell.LedgerStatus{
		HoldsLease:    status.HoldsLease,
		Leader:        status.Leader,
		LeaderAddress: status.LeaderAddress,
		Term:          status.Term,
		Members:       members,
	}
}

// toMemberStatus returns the status of a member, which is in sync, behind or
// silent as this instance sees it.
func toMemberStatus(now time.Time, status ledger.Status, m ledger.MemberStatus) hornbeamwell.LedgerMemberStatus {
	member := hornbeamwell.LedgerMemberStatus{LedgerMember: m.LedgerMember, State: hornbeamwell.MemberInSync}
	if m.ID == status.ID {
		return member
	}
	member.EntriesBehind = status.Commit - min(m.Match, status.Commit)
	switch {
	case now.Sub(m.LastContact) > memberTimeout:
		member.State = hornbeamwell.MemberSilent
	case member.EntriesBehind > 0:
		member.State = hornbeamwell.MemberBehind
	}
	return member
}
