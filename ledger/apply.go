package ledger

import (
	"fmt"

	"github.com/hornbeamwell/hornbeamwell"
)

// apply hands a snapshot and committed entries to the machine and answers
// their proposals.
func (l *Ledger) apply(out effects) {
	if out.restore != nil {
		l.restore(*out.restore)
	}
	for _, e := range out.committed {
		if e.Index <= l.appliedIndex {
			hornbeamwell.ReportViolation("ledger_applied_monotone", "entry %d is applied after %d", e.Index, l.appliedIndex)
			continue
		}
		l.appliedIndex = e.Index
		var response []byte
		if e.Kind == hornbeamwell.LedgerCommand {
			response = l.options.StateMachine.Apply(e.Index, e.Data)
			l.options.OnCommitted(e.Index)
		}
		l.finish(e, response)
	}
}

func (l *Ledger) restore(snapshot hornbeamwell.LedgerSnapshot) {
	metricInstalls.Inc()
	l.appliedIndex, l.snapshotAt = snapshot.Index, snapshot.Index
	for index, p := range l.pending {
		if index <= snapshot.Index {
			delete(l.pending, index)
			p.answer(Result{}, hornbeamwell.ErrUnknownOutcome)
		}
	}
	if len(snapshot.Data) == 0 {
		return
	}
	if err := l.options.StateMachine.Restore(snapshot.Index, snapshot.Data); err != nil {
		hornbeamwell.ReportViolation("ledger_snapshot_restores", "snapshot %d: %v", snapshot.Index, err)
		l.broken = fmt.Errorf("restore snapshot %d: %w", snapshot.Index, err)
		return
	}
	l.options.OnCommitted(snapshot.Index)
}

// compactIfDue takes a snapshot after a number of applied entries.
func (l *Ledger) compactIfDue() error {
	if l.broken != nil {
		return l.broken
	}
	if l.appliedIndex-l.snapshotAt < l.options.Limits.SnapshotEntries {
		return nil
	}
	data, err := l.options.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot at %d: %w", l.appliedIndex, err)
	}
	l.snapshotAt = l.appliedIndex
	metricSnapshots.Inc()
	metricSnapBytes.Add(len(data))
	l.step(compactEvent{data: data})
	return nil
}
