package disk

import (
	"encoding/json"
	"fmt"

	"github.com/hornbeamwell/hornbeamwell"
)

// fileNumbers are the numbers of the ledger's files in a folder, in order.
type fileNumbers struct {
	logs, snapshots []uint64
}

func (f fileNumbers) isEmpty() bool { return len(f.logs) == 0 && len(f.snapshots) == 0 }

func logName(sequence uint64) string { return fmt.Sprintf("log-%016x", sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("snapshot-%016x", index) }

func listFiles(folder hornbeamwell.DataFolder) (fileNumbers, error) {
	names, err := folder.List()
	if err != nil {
		return fileNumbers{}, fmt.Errorf("find ledger files: %w", err)
	}
	var found fileNumbers
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, "log-%x", &number); err == nil {
			found.logs = append(found.logs, number)
			continue
		}
		if _, err := fmt.Sscanf(name, "snapshot-%x", &number); err == nil {
			found.snapshots = append(found.snapshots, number)
		}
	}
	return found, nil
}

// writeSnapshot writes a snapshot and starts a new log file. A crash between
// the two leaves a log that starts before the snapshot, which recoverState
// handles.
func (s *Storage) writeSnapshot(snapshot hornbeamwell.LedgerSnapshot) error {
	content, err := encodeSnapshot(snapshot)
	if err != nil {
		return fmt.Errorf("encode ledger snapshot: %w", err)
	}
	if err := s.folder.Replace(snapshotName(snapshot.Index), content); err != nil {
		return fmt.Errorf("write ledger snapshot: %w", err)
	}
	previous := s.state.Snapshot.Index
	// A repeated write finds its snapshot already in the state.
	if s.state.Snapshot.Index != snapshot.Index {
		applySnapshot(&s.state, snapshot)
	}
	if err := s.startLog(); err != nil {
		return err
	}
	if previous > 0 && previous != snapshot.Index {
		if err := s.folder.Remove(snapshotName(previous)); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
	}
	return nil
}

// applySnapshot sets the snapshot and keeps the entries after it only if the
// log contains the snapshot's last entry.
func applySnapshot(state *hornbeamwell.LedgerState, snapshot hornbeamwell.LedgerSnapshot) {
	var kept []hornbeamwell.LedgerEntry
	for i, e := range state.Entries {
		if e.Index == snapshot.Index && e.Term == snapshot.Term {
			kept = append(kept, state.Entries[i+1:]...)
		}
	}
	state.Snapshot = snapshot
	state.Entries = kept
}

// startLog writes the vote and the entries to a new log file and removes the
// old one.
func (s *Storage) startLog() error {
	vote := encodeVote(s.state.Vote)
	initialBytes := recordHeadBytes + len(vote)
	for _, e := range s.state.Entries {
		initialBytes += recordHeadBytes + len(encodeEntryHead(e)) + len(e.Data)
	}
	header, err := json.Marshal(logHeader{
		Identity:     s.state.Identity,
		Base:         s.state.Snapshot.Index,
		InitialBytes: int64(initialBytes),
	})
	if err != nil {
		return fmt.Errorf("encode ledger header: %w", err)
	}
	// One buffer of the whole size: a start must not need several times the memory of the log.
	content := make([]byte, 0, recordHeadBytes+len(header)+initialBytes)
	content = appendRecord(content, recordHeader, header)
	content = appendRecord(content, recordVote, vote)
	for _, e := range s.state.Entries {
		content = appendRecord(content, recordEntry, encodeEntry(e))
	}
	if err := s.folder.Replace(logName(s.sequence+1), content); err != nil {
		return fmt.Errorf("start ledger file: %w", err)
	}
	if err := s.openLog(s.sequence+1, int64(len(content))); err != nil {
		return err
	}
	s.buffer = nil
	if s.sequence == 1 {
		return nil
	}
	if err := s.folder.Remove(logName(s.sequence - 1)); err != nil {
		return fmt.Errorf("remove old ledger file: %w", err)
	}
	return nil
}

// openLog opens a log file for writing.
func (s *Storage) openLog(sequence uint64, size int64) error {
	file, err := s.folder.OpenAppend(logName(sequence))
	if err != nil {
		return fmt.Errorf("open ledger file: %w", err)
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, s.sequence, s.size = file, sequence, size
	return nil
}
