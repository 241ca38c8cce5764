package disk

import (
	"encoding/json"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
)

// metricTornBytes counts the bytes that a crash left after the last complete
// record.
var metricTornBytes = metrics.NewCounter("hornbeamwell_ledger_torn_bytes_total")

// recoverState reads the state from the newest log file and the newest snapshot.
func (s *Storage) recoverState(found fileNumbers) error {
	if len(found.logs) == 0 {
		return &hornbeamwell.CorruptError{File: logName(1), Problem: "the log is missing but a snapshot exists"}
	}
	var snapshot hornbeamwell.LedgerSnapshot
	if n := len(found.snapshots); n > 0 {
		name := snapshotName(found.snapshots[n-1])
		content, err := s.folder.Read(name)
		if err != nil {
			return err
		}
		if snapshot, err = decodeSnapshot(name, content); err != nil {
			return err
		}
	}
	s.sequence = found.logs[len(found.logs)-1]
	if err := s.readLog(logName(s.sequence), snapshot); err != nil {
		return err
	}
	// What was read may never have been synced. A new file makes it durable
	// before the instance acts on it.
	if err := s.startLog(); err != nil {
		return err
	}
	return s.removeObsolete(found)
}

// readLog reads a log file up to its last complete record.
func (s *Storage) readLog(name string, snapshot hornbeamwell.LedgerSnapshot) error {
	content, err := s.folder.Read(name)
	if err != nil {
		return err
	}
	records, end := readRecords(content)
	header, err := readHeader(name, records, end)
	if err != nil {
		return err
	}
	if header.Base > snapshot.Index {
		problem := fmt.Sprintf("the log starts after index %d, which no snapshot covers", header.Base)
		return &hornbeamwell.CorruptError{File: name, Problem: problem}
	}
	if synced := syncedSizeAfter(content, end); synced > end {
		return &hornbeamwell.CorruptError{File: name, Offset: end, Problem: "a synced record is damaged"}
	}
	metricTornBytes.Add(len(content) - int(end))
	s.state = hornbeamwell.LedgerState{Identity: header.Identity}
	s.state.Snapshot.Index = header.Base
	if err := s.replay(name, records[1:]); err != nil {
		return err
	}
	s.setSnapshot(header.Base, snapshot)
	return nil
}

// setSnapshot sets the snapshot. The entries of a log that starts at the
// snapshot all follow it.
func (s *Storage) setSnapshot(base uint64, snapshot hornbeamwell.LedgerSnapshot) {
	if base == snapshot.Index {
		s.state.Snapshot = snapshot
		return
	}
	applySnapshot(&s.state, snapshot)
}

func readHeader(name string, records []record, end int64) (logHeader, error) {
	var header logHeader
	if len(records) == 0 || records[0].kind != recordHeader {
		return header, &hornbeamwell.CorruptError{File: name, Problem: "the header is damaged"}
	}
	if err := json.Unmarshal(records[0].payload, &header); err != nil || header.Identity == "" {
		return header, &hornbeamwell.CorruptError{File: name, Problem: "the header is malformed"}
	}
	if end < records[0].end+header.InitialBytes {
		return header, &hornbeamwell.CorruptError{File: name, Offset: end, Problem: "a record written with the header is damaged"}
	}
	return header, nil
}

// replay applies the records of a log file in order.
func (s *Storage) replay(name string, records []record) error {
	for _, r := range records {
		corrupt := &hornbeamwell.CorruptError{File: name, Offset: r.offset, Problem: "the record is malformed"}
		switch r.kind {
		case recordVote:
			vote, err := decodeVote(r.payload)
			if err != nil {
				return corrupt
			}
			s.state.Vote = vote
		case recordEntry:
			entry, err := decodeEntry(r.payload)
			if err != nil {
				return corrupt
			}
			if !addEntry(&s.state, entry) {
				corrupt.Problem = fmt.Sprintf("entry %d does not follow the log", entry.Index)
				return corrupt
			}
		case recordSynced:
		default:
			return corrupt
		}
	}
	return nil
}

// removeObsolete removes the files that a crash kept from being removed.
func (s *Storage) removeObsolete(found fileNumbers) error {
	for _, sequence := range found.logs[:len(found.logs)-1] {
		if err := s.folder.Remove(logName(sequence)); err != nil {
			return err
		}
	}
	for _, index := range found.snapshots {
		if index == s.state.Snapshot.Index {
			continue
		}
		if err := s.folder.Remove(snapshotName(index)); err != nil {
			return err
		}
	}
	return nil
}
