package instance

import (
	"context"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger"
)

// replicatedLog is a ledger as the operators' calls see it.
type replicatedLog struct {
	ledger *ledger.Ledger
}

var _ hornbeamwell.Log = (*replicatedLog)(nil)

// AddMember implements hornbeamwell.Log.
func (l *replicatedLog) AddMember(ctx context.Context, member hornbeamwell.LedgerMember) error {
	return l.ledger.ChangeMember(ctx, ledger.MemberChange{Kind: ledger.AddMember, Member: member})
}

// Confirm implements hornbeamwell.Log.
func (l *replicatedLog) Confirm(ctx context.Context) error { return l.ledger.Confirm(ctx) }

// Propose implements hornbeamwell.Log.
func (l *replicatedLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := l.ledger.Propose(ctx, command)
	return result.Response, err
}

// RemoveMember implements hornbeamwell.Log.
func (l *replicatedLog) RemoveMember(ctx context.Context, id string) error {
	member := hornbeamwell.LedgerMember{ID: id}
	return l.ledger.ChangeMember(ctx, ledger.MemberChange{Kind: ledger.RemoveMember, Member: member})
}

// Status implements hornbeamwell.Log.
func (l *replicatedLog) Status() hornbeamwell.LogStatus {
	status := l.ledger.Status()
	members := make([]hornbeamwell.LedgerMember, 0, len(status.Members))
	for _, m := range status.Members {
		members = append(members, m.LedgerMember)
	}
	return hornbeamwell.LogStatus{
		Leads:         status.Leads,
		Leader:        status.Leader,
		LeaderAddress: status.LeaderAddress,
		Term:          status.Term,
		Members:       members,
	}
}
