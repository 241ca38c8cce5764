package instance

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger"
)

// replicatedLog is a ledger as the operators' calls see it.
type replicatedLog struct {
	ledger *ledger.Ledger
	now    func() time.Time
}

// memberSilence is the time without an answer after which a member is silent.
const memberSilence = time.Second

var _ hornbeamwell.Ledger = (*replicatedLog)(nil)

// AddMember implements hornbeamwell.Log.
func (l *replicatedLog) AddMember(ctx context.Context, member hornbeamwell.LedgerMember) error {
	return l.ledger.ChangeMember(ctx, ledger.MemberChange{Kind: ledger.AddMember, Member: member})
}

// ReadBarrier implements hornbeamwell.Log.
func (l *replicatedLog) ReadBarrier(ctx context.Context) error { return l.ledger.ReadBarrier(ctx) }

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
func (l *replicatedLog) Status() hornbeamwell.LedgerStatus {
	status := l.ledger.Status()
	members := make([]hornbeamwell.LedgerMemberStatus, 0, len(status.Members))
	for _, m := range status.Members {
		members = append(members, toLogMember(l.now(), status, m))
	}
	return hornbeamwell.LedgerStatus{
		HoldsLease:    status.HoldsLease,
		Leader:        status.Leader,
		LeaderAddress: status.LeaderAddress,
		Term:          status.Term,
		Members:       members,
	}
}

// toLogMember says how far the leader is in touch with a member.
func toLogMember(now time.Time, status ledger.Status, m ledger.MemberStatus) hornbeamwell.LedgerMemberStatus {
	member := hornbeamwell.LedgerMemberStatus{LedgerMember: m.LedgerMember, State: hornbeamwell.MemberInSync}
	if m.ID == status.ID {
		return member
	}
	member.EntriesBehind = status.Commit - min(m.Match, status.Commit)
	switch {
	case now.Sub(m.LastContact) > memberSilence:
		member.State = hornbeamwell.MemberSilent
	case member.EntriesBehind > 0:
		member.State = hornbeamwell.MemberBehind
	}
	return member
}
