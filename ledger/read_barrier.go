package ledger

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// readRequest is a linearizable read that waits for the leader lease and the
// applied index.
type readRequest struct {
	// commit is the commit index when the read arrived.
	commit   uint64
	deadline time.Time
	done     chan error
}

// ReadBarrier waits until this instance holds the leader lease and has applied
// every entry committed before the call, so that a read of the state machine is
// linearizable. It returns a hornbeamwell.NotLeaderError if this instance does
// not lead, or if the wait takes longer than Timing.ElectionMax.
func (l *Ledger) ReadBarrier(ctx context.Context) error {
	q := &readRequest{done: make(chan error, 1)}
	select {
	case l.reads <- q:
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

func (l *Ledger) addReads(q *readRequest) {
	q.commit = l.core.commit
	q.deadline = l.options.Now().Add(l.options.Timing.ElectionMax)
	l.pendingReads = append(l.pendingReads, q)
	// The reads queued behind this one are added with it.
	for range len(l.reads) {
		q := <-l.reads
		q.commit = l.core.commit
		q.deadline = l.options.Now().Add(l.options.Timing.ElectionMax)
		l.pendingReads = append(l.pendingReads, q)
	}
}

// completeReads completes the reads that the lease and the applied index allow,
// and fails those that timed out. It fails all if this instance does not lead.
func (l *Ledger) completeReads(now time.Time) {
	if len(l.pendingReads) == 0 {
		return
	}
	holdsLease := now.Before(l.core.leaseEnd(now))
	waiting := l.pendingReads[:0]
	for _, q := range l.pendingReads {
		switch {
		case l.core.role != RoleLeader:
			q.done <- &hornbeamwell.NotLeaderError{Leader: l.core.leader.ID}
		case holdsLease && l.appliedIndex >= q.commit:
			q.done <- nil
		case now.After(q.deadline):
			q.done <- &hornbeamwell.NotLeaderError{}
		default:
			waiting = append(waiting, q)
		}
	}
	l.pendingReads = waiting
}
