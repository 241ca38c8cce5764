package ledger

import (
	"context"
	"time"
)

const (
	// drainTimeout is the longest time for which a draining leader waits for
	// the outcome of its commands.
	drainTimeout = 500 * time.Millisecond
	// transferTimeout is the longest wait for the last messages to be sent
	// after the leadership has been given up.
	transferTimeout = 100 * time.Millisecond
)

// drain is the state of a planned stop.
type drain struct {
	// rejectsProposals is true from the start of the first drain on.
	rejectsProposals bool
	// isActive is true from the start of a drain until the leadership has been
	// transferred.
	isActive bool
	deadline <-chan time.Time
	// isLeaving is true while a learner is to take the seat of this instance. leaveDeadline
	// is the end of the wait for it.
	isLeaving     bool
	leaveDeadline <-chan time.Time
	waiters       []chan struct{}
}

func (d *drain) start() {
	d.rejectsProposals, d.isActive = true, true
	if d.deadline == nil {
		d.deadline = time.After(drainTimeout)
	}
}

// Drain prepares a planned stop: the instance rejects new proposals, waits for
// the pending ones for a limited time and transfers its leadership. With Seeds, it
// also waits until a learner has taken its seat, if there is one, for CatchUp at most.
// Run still takes part in the protocol until its context ends. Call Drain while other
// instances can still reach this one.
func (l *Ledger) Drain(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case l.drains <- done:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return errStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return errStopped
	}
}

// transferLeadership ends the leadership and asks for a successor in this instance's seat.
func (l *Ledger) transferLeadership() {
	l.step(stepDownEvent{})
	l.drain.isActive, l.drain.deadline = false, nil
	l.step(leaveEvent{})
	l.drain.isLeaving, l.drain.leaveDeadline = true, time.After(l.options.CatchUp)
	l.completePending()
}

// endDrain waits until the messages about the end of the leadership are sent, and ends the
// calls of Drain.
func (l *Ledger) endDrain() {
	_ = l.options.Logger.Log("event", "left", "is_voter", l.core.isVoter(l.core.config.self.Identity))
	for end := time.Now().Add(transferTimeout); l.transport.unsent.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for _, done := range l.drain.waiters {
		close(done)
	}
	l.drain.isLeaving, l.drain.leaveDeadline, l.drain.waiters = false, nil, nil
}
