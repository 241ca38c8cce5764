package ledger

import (
	"context"
	"time"
)

const (
	// drainTimeout bounds the wait of a leader that is to stop for the
	// outcome of its commands.
	drainTimeout = 500 * time.Millisecond
	// transferTimeout bounds the wait until its last messages have left.
	transferTimeout = 100 * time.Millisecond
)

// drain is the end of an instance's leadership before it stops.
type drain struct {
	// isClosed is true once the instance takes no more commands.
	isClosed bool
	// isActive is true until the leadership is handed over. It is false
	// where isClosed is.
	isActive bool
	deadline   <-chan time.Time
	waiters    []chan struct{}
}

func (d *drain) start() {
	d.isClosed, d.isActive = true, true
	if d.deadline == nil {
		d.deadline = time.After(drainTimeout)
	}
}

// Drain prepares a planned stop: the instance takes no more commands, waits for
// those under way and hands its leadership over. It goes on as a voter until the
// context of Run ends. Call it while other instances still reach this one.
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

// transferLeadership ends the leadership and waits until the messages about it have
// left.
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
