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
	waiters  []chan struct{}
}

func (d *drain) start() {
	d.rejectsProposals, d.isActive = true, true
	if d.deadline == nil {
		d.deadline = time.After(drainTimeout)
	}
}

// Drain prepares a planned stop: the instance rejects new proposals, waits for
// the pending ones for a limited time and transfers its leadership. Run still
// takes part in the protocol until its context ends, and the instance remains a
// member. Call Drain while other instances can still reach this one.
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

// transferLeadership ends the leadership, waits until the messages about it are
// sent, and ends the calls of Drain.
func (l *Ledger) transferLeadership() {
	l.step(stepDownEvent{})
	l.completePending()
	for end := time.Now().Add(transferTimeout); l.transport.unsent.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for _, done := range l.drain.waiters {
		close(done)
	}
	l.drain.isActive, l.drain.deadline, l.drain.waiters = false, nil, nil
}
