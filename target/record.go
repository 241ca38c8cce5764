package target

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// finalSequence is the sequence of a withdrawn target, above every other one of its
// incarnation. A source that has it refuses all that the target announced before, also
// from a later process that has not heard of the withdrawal.
const finalSequence = math.MaxInt64

// SetRecord sets what a source has of the local target. It ignores a record that is not
// newer than the last one.
func (a *Announcer) SetRecord(record hornbeamwell.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if record.ID != a.options.ID || !record.IsNewer(&a.record) {
		return
	}
	a.record = record
	a.notifyRecord()
}

// notifyRecord wakes those that wait for a change of record or departure.
func (a *Announcer) notifyRecord() {
	close(a.recordChanged)
	a.recordChanged = make(chan struct{})
}

// SetDeparture sets a departure of the local target that the ledger has. If the target was
// announced since as ready with an older announcement, it is withdrawn or drained again.
func (a *Announcer) SetDeparture(now time.Time, departure hornbeamwell.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	departed := departure.Target
	if departed.ID != a.options.ID || departed.State == hornbeamwell.TargetReady || !departed.IsNewer(&a.departure.Target) {
		return
	}
	a.departure = departure
	a.notifyRecord()
	a.endLateAnnouncement(now, departure)
}

// endLateAnnouncement ends the current target if it was announced by a late announcement
// from before its departure. Where the target gives no incarnation, that of a new start
// can't be told from a late one within sequenceDoubt; it is accepted if it goes on.
func (a *Announcer) endLateAnnouncement(now time.Time, departure hornbeamwell.Departure) {
	if a.current == nil || a.current.target.State == hornbeamwell.TargetGone {
		return
	}
	departed := departure.Target
	isGone := departed.State == hornbeamwell.TargetGone
	isDoubtful := a.current.announcement.Incarnation == 0 && now.Sub(departure.RecordedAt) < sequenceDoubt
	switch {
	case isDoubtful && isGone && departed.Name != "" && a.current.target.Name == departed.Name:
		a.rememberWithdrawal(now, departed.Name, 0, true)
		a.finish()
	case !departed.IsNewer(&a.current.target):
	case isGone && departed.Incarnation == a.current.target.Incarnation:
		a.rememberWithdrawal(now, departed.Name, departed.Incarnation, false)
		a.finish()
	case isGone:
		// It is not withdrawn for good: it may be a later start whose clock was set back.
		a.setState(hornbeamwell.TargetGone, 0)
	default:
		a.startDrain(now, departed.Sequence)
	}
}

// AwaitDeparture returns nil once the ledger has the target as draining or gone, in this
// state or a later one, so that no kill of processes undoes it. It also returns nil once a
// source has another target in its place, as no call is sent to a target that has been replaced.
func (a *Announcer) AwaitDeparture(ctx context.Context, target hornbeamwell.Target) error {
	for {
		a.mu.Lock()
		record, departed, changed := a.record, a.departure.Target, a.recordChanged
		a.mu.Unlock()
		isReplaced := record.Incarnation > target.Incarnation && record.Name != target.Name
		if !target.IsNewer(&departed) || isReplaced {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait until the ledger has target %s as %s: %w", target.ID, target.State, ctx.Err())
		}
	}
}

// Withdraw marks the target with the name as gone. It is called when the target
// deregisters. The withdrawal may be acknowledged after AwaitDeparture of the returned
// target. Withdraw returns false if another target is announced, which it leaves as it is.
func (a *Announcer) Withdraw(now time.Time, name string) (hornbeamwell.Target, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	isNewerRecord := a.record.ID != "" && (a.current == nil || a.record.IsNewer(&a.current.target))
	switch {
	case isNewerRecord && a.record.Name == name:
		// An earlier process announced it.
		a.rememberWithdrawal(now, name, a.record.Incarnation, false)
		a.lastGiven = max(a.lastGiven, a.record.Incarnation)
		a.finishUnannounced(now, a.record)
	case a.current != nil && a.current.target.Name == name:
		given := a.current.announcement.Incarnation
		a.rememberWithdrawal(now, name, given, given == 0)
		a.finish()
	default:
		a.rememberWithdrawal(now, name, 0, false)
		if a.current != nil || a.options.Service == "" {
			return hornbeamwell.Target{}, false
		}
		a.finishUnannounced(now, hornbeamwell.Target{
			ID: a.options.ID, Name: name, Service: a.options.Service, Zone: a.options.Zone, Exit: a.options.Exit,
			Slots: 1, Connections: 1, Incarnation: uint64(now.UnixMilli()),
		})
	}
	return a.current.target, true
}

// rememberWithdrawal records the withdrawal of a named target. The incarnation is 0 if it
// is not known.
func (a *Announcer) rememberWithdrawal(now time.Time, name string, incarnation uint64, isUnnumbered bool) {
	if name == "" {
		return
	}
	if incarnation == 0 {
		incarnation = uint64(now.UnixMilli())
	}
	a.withdrawals.add(name, withdrawal{at: now, incarnation: incarnation, isUnnumbered: isUnnumbered})
}

// finish marks the current target as gone for good.
func (a *Announcer) finish() {
	if a.current.isWithdrawn {
		return
	}
	a.current.isWithdrawn = true
	a.setState(hornbeamwell.TargetGone, finalSequence)
}

// finishUnannounced marks a target as gone that was not announced to this process.
func (a *Announcer) finishUnannounced(now time.Time, target hornbeamwell.Target) {
	a.lastIncarnation = max(a.lastIncarnation, target.Incarnation)
	a.current = &announcedTarget{target: target, renewedAt: now}
	a.finish()
}
