package ledger

import (
	"fmt"

	"github.com/hornbeamwell/hornbeamwell"
)

// apply passes a snapshot and committed entries to the state machine and
// completes the proposals of the entries.
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
		l.bytesSinceSnapshot += len(e.Data)
		var response []byte
		if e.Kind == hornbeamwell.LedgerCommand {
			response = l.options.StateMachine.Apply(e.Index, e.Data)
			l.options.OnApplied(e.Index)
		}
		l.completeProposal(e, response)
	}
}

func (l *Ledger) restore(snapshot hornbeamwell.LedgerSnapshot) {
	metricSnapshotsInstalled.Inc()
	l.appliedIndex, l.snapshotIndex = snapshot.Index, snapshot.Index
	l.bytesSinceSnapshot, l.snapshotBytes = 0, len(snapshot.Data)
	for index, p := range l.pendingProposals {
		if index <= snapshot.Index {
			delete(l.pendingProposals, index)
			p.complete(Result{}, hornbeamwell.ErrUnknownOutcome)
		}
	}
	if len(snapshot.Data) == 0 {
		return
	}
	if err := l.options.StateMachine.Restore(snapshot.Index, snapshot.Data); err != nil {
		hornbeamwell.ReportViolation("ledger_snapshot_restores", "snapshot %d: %v", snapshot.Index, err)
		l.restoreErr = fmt.Errorf("restore snapshot %d: %w", snapshot.Index, err)
		return
	}
	l.options.OnApplied(snapshot.Index)
}

// takeSnapshotIfDue takes a snapshot once enough entries, or enough data in them, have been
// applied since the last one. It also returns the error of a snapshot that could not be
// restored.
func (l *Ledger) takeSnapshotIfDue() error {
	if l.restoreErr != nil {
		return l.restoreErr
	}
	limits := l.options.Limits
	entries := l.appliedIndex - l.snapshotIndex
	if entries == 0 || entries < limits.SnapshotEntries && l.bytesSinceSnapshot < limits.snapshotDueBytes(l.snapshotBytes) {
		return nil
	}
	data, err := l.options.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot at %d: %w", l.appliedIndex, err)
	}
	_ = l.options.Logger.Log("event", "snapshot_taken", "index", l.appliedIndex, "entries", entries,
		"entry_bytes", l.bytesSinceSnapshot, "snapshot_bytes", len(data))
	l.snapshotIndex = l.appliedIndex
	l.bytesSinceSnapshot, l.snapshotBytes = 0, len(data)
	metricSnapshots.Inc()
	metricSnapshotBytes.Add(len(data))
	l.step(compactEvent{data: data})
	return nil
}
