package ledger

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// confirmation is a read that waits until this instance may answer it.
type confirmation struct {
	// commit is the commit index when the read arrived.
	commit uint64
	until  time.Time
	done   chan error
}

// ReadBarrier waits until this instance holds the leader's lease and has applied
// everything committed before the call. It returns a
// hornbeamwell.NotLeaderError where it does not lead.
func (l *Ledger) ReadBarrier(ctx context.Context) error {
	q := &confirmation{done: make(chan error, 1)}
	select {
	case l.confirms <- q:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return errStopped
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return errStopped
	}
}

func (l *Ledger) addConfirmation(q *confirmation) {
	q.commit = l.core.commit
	q.until = l.options.Now().Add(l.options.Timing.ElectionMax)
	l.waitConfirms = append(l.waitConfirms, q)
	for range len(l.confirms) {
		q := <-l.confirms
		q.commit = l.core.commit
		q.until = l.options.Now().Add(l.options.Timing.ElectionMax)
		l.waitConfirms = append(l.waitConfirms, q)
	}
}

// settleConfirmations answers the reads that can be answered.
func (l *Ledger) settleConfirmations(now time.Time) {
	if len(l.waitConfirms) == 0 {
		return
	}
	leads := now.Before(l.core.leaseEnd(now))
	waiting := l.waitConfirms[:0]
	for _, q := range l.waitConfirms {
		switch {
		case l.core.role != RoleLeader:
			q.done <- &hornbeamwell.NotLeaderError{Leader: l.core.leader.ID}
		case leads && l.appliedIndex >= q.commit:
			q.done <- nil
		case now.After(q.until):
			q.done <- &hornbeamwell.NotLeaderError{}
		default:
			waiting = append(waiting, q)
		}
	}
	l.waitConfirms = waiting
}
