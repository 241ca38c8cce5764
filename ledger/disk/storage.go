// Package disk stores the ledger of one control instance in the files of its
// data folder. In a running instance only the ledger's writer goroutine uses
// it. The command line tool uses it on the folder of a stopped instance.
//
// A log file holds checksummed records of entries and votes. A snapshot starts
// a new log file. Records that were not synced may be lost in a crash; damage
// to synced records is an error.
package disk

import (
	"encoding/binary"
	"fmt"

	"github.com/hornbeamwell/hornbeamwell"
)

// Storage implements hornbeamwell.LedgerStorage on a data folder.
type Storage struct {
	folder hornbeamwell.DataFolder
	state  hornbeamwell.LedgerState
	// sequence is the number of the log file. It grows with every file.
	sequence uint64
	file     hornbeamwell.AppendFile
	// size is the size of the log file without the buffer, in bytes.
	size   int64
	buffer []byte
	// failure is the first error of a write or a sync. Nothing is written after
	// it until Repair, because it is not known what reached the disk.
	failure error
}

// Open reads the ledger in a folder. A folder without ledger files becomes a
// new ledger with a new identity.
func Open(folder hornbeamwell.DataFolder, newIdentity func() string) (*Storage, error) {
	s := &Storage{folder: folder}
	files, err := listFiles(folder)
	if err != nil {
		return nil, err
	}
	if files.isEmpty() {
		s.state.Identity = newIdentity()
		if err := s.startLog(); err != nil {
			return nil, err
		}
		return s, nil
	}
	if err := s.recoverState(files); err != nil {
		return nil, err
	}
	return s, nil
}

// Load returns the state that Open read, with every write since then.
func (s *Storage) Load() (hornbeamwell.LedgerState, error) {
	state := s.state
	state.Entries = append([]hornbeamwell.LedgerEntry(nil), s.state.Entries...)
	return state, nil
}

// Write changes the state. The change is durable after the next Sync.
func (s *Storage) Write(w hornbeamwell.LedgerWrite) error {
	if s.failure != nil {
		return s.failure
	}
	switch {
	case w.Vote != nil:
		s.state.Vote = *w.Vote
		s.buffer = appendRecord(s.buffer, recordVote, encodeVote(*w.Vote))
	case w.Snapshot != nil:
		return s.setFailure(s.writeSnapshot(*w.Snapshot))
	default:
		for _, e := range w.Entries {
			// A repeated write finds its entries already in the state.
			if !addEntry(&s.state, e) {
				return s.setFailure(fmt.Errorf("write ledger entry %d: it does not follow the log", e.Index))
			}
			s.buffer = appendRecord(s.buffer, recordEntry, encodeEntry(e))
		}
	}
	return nil
}

// Sync makes every write durable.
func (s *Storage) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	if len(s.buffer) == 0 {
		return nil
	}
	if err := s.flush(); err != nil {
		return s.setFailure(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.setFailure(fmt.Errorf("sync ledger file: %w", err))
	}
	s.buffer = appendRecord(s.buffer, recordSynced, binary.BigEndian.AppendUint64(nil, uint64(s.size)))
	return s.setFailure(s.flush())
}

// Repair writes the whole state to a new log file, because it is not known what
// reached the old one.
func (s *Storage) Repair() error {
	s.failure = nil
	return s.setFailure(s.startLog())
}

// Close closes the log file without a sync.
func (s *Storage) Close() error {
	if s.file == nil {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("close ledger file: %w", err)
	}
	return nil
}

// Identity returns the random identity of the folder.
func (s *Storage) Identity() string { return s.state.Identity }

func (s *Storage) flush() error {
	if _, err := s.file.Write(s.buffer); err != nil {
		return fmt.Errorf("write ledger file: %w", err)
	}
	s.size += int64(len(s.buffer))
	s.buffer = s.buffer[:0]
	return nil
}

func (s *Storage) setFailure(err error) error {
	if err != nil && s.failure == nil {
		s.failure = err
	}
	return err
}

// addEntry sets the entry at its index and removes those after it. It reports
// false if the entry would leave a gap or is covered by the snapshot.
func addEntry(state *hornbeamwell.LedgerState, e hornbeamwell.LedgerEntry) bool {
	first := state.Snapshot.Index + 1
	if e.Index < first || e.Index > first+uint64(len(state.Entries)) {
		return false
	}
	state.Entries = append(state.Entries[:e.Index-first], e)
	return true
}
