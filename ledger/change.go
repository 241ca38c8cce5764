package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// changeRequest is a member change that waits until it is committed.
type changeRequest struct {
	change MemberChange
	done   chan error
}

// ChangeMember adds or removes one instance and waits until the change is
// committed. An added instance starts as a learner and is promoted to voter
// once it has caught up. If another change is in progress, the call waits until
// that one ends.
func (l *Ledger) ChangeMember(ctx context.Context, change MemberChange) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for {
		err := l.submitChange(ctx, change)
		if !errors.Is(err, errChangePending) {
			return err
		}
		select {
		case <-time.After(l.options.Timing.Heartbeat):
		case <-ctx.Done():
			return err
		}
	}
}

func (l *Ledger) submitChange(ctx context.Context, change MemberChange) error {
	r := &changeRequest{change: change, done: make(chan error, 1)}
	select {
	case l.changes <- r:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", hornbeamwell.ErrNotRun, ctx.Err())
	case <-l.stopped:
		return fmt.Errorf("%w: %w", hornbeamwell.ErrNotRun, errStopped)
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", hornbeamwell.ErrUnknownOutcome, ctx.Err())
	case <-l.stopped:
		return fmt.Errorf("%w: %w", hornbeamwell.ErrUnknownOutcome, errStopped)
	}
}

func (l *Ledger) startChange(r *changeRequest) {
	out := l.step(changeEvent{change: r.change})
	if out.rejected != nil {
		r.done <- out.rejected
		return
	}
	l.pendingChanges = append(l.pendingChanges, r)
}

// completeChanges completes the changes that are committed, and fails the
// others if this instance no longer leads.
func (l *Ledger) completeChanges() {
	waiting := l.pendingChanges[:0]
	for _, r := range l.pendingChanges {
		_, present := memberByID(l.core.log.membersAt(l.core.commit), r.change.Member.ID)
		switch {
		case present == (r.change.Kind == AddMember):
			r.done <- nil
		case l.core.role != RoleLeader:
			r.done <- hornbeamwell.ErrUnknownOutcome
		default:
			waiting = append(waiting, r)
		}
	}
	l.pendingChanges = waiting
}
