package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
)

func newIdentity() string { return "identity" }

// storageModel compares a storage with the states that its writes produced.
type storageModel struct {
	folder  *faulty.Folder
	storage *Storage
	// states holds the initial state and the state after each write.
	// states[synced] is the last that must survive a crash.
	states []hornbeamwell.LedgerState
	synced int
}

func (m *storageModel) current() hornbeamwell.LedgerState { return m.states[len(m.states)-1] }

func (m *storageModel) write(t *rapid.T, w hornbeamwell.LedgerWrite) {
	if err := m.storage.Write(w); err != nil {
		t.Fatal(err)
	}
	m.states = append(m.states, load(t, m.storage))
	if w.Snapshot != nil {
		m.synced = len(m.states) - 1
	}
}

func load(t *rapid.T, s *Storage) hornbeamwell.LedgerState {
	state, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func (m *storageModel) writeEntries(t *rapid.T) {
	state := m.current()
	first := state.Snapshot.Index + 1
	index := first + rapid.Uint64Range(0, uint64(len(state.Entries))).Draw(t, "position")
	count := rapid.Uint64Range(1, 5).Draw(t, "count")
	entries := make([]hornbeamwell.LedgerEntry, 0, count)
	for i := range count {
		data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "data")
		entries = append(entries, hornbeamwell.LedgerEntry{
			Index: index + i,
			Term:  uint64(len(m.states)) + 1,
			Kind:  hornbeamwell.LedgerCommand,
			Data:  append([]byte(nil), data...),
		})
	}
	m.write(t, hornbeamwell.LedgerWrite{Entries: entries})
}

func (m *storageModel) writeVote(t *rapid.T) {
	vote := hornbeamwell.LedgerVote{Term: uint64(len(m.states)), Candidate: rapid.StringMatching("[a-c]?").Draw(t, "candidate")}
	m.write(t, hornbeamwell.LedgerWrite{Vote: &vote})
}

// writeSnapshot writes a snapshot that covers a part of the log or replaces the
// log.
func (m *storageModel) writeSnapshot(t *rapid.T) {
	state := m.current()
	last := state.Snapshot.Index + uint64(len(state.Entries))
	snapshot := hornbeamwell.LedgerSnapshot{
		Cluster: "cluster",
		Index:   rapid.Uint64Range(state.Snapshot.Index+1, last+3).Draw(t, "index"),
		Term:    uint64(len(m.states)) + 1,
		Members: []hornbeamwell.LedgerMember{{ID: "a", Identity: "i", Address: netip.MustParseAddrPort("10.0.0.1:1"), Role: hornbeamwell.LedgerVoter}},
		Data:    []byte(rapid.StringN(1, 100, -1).Draw(t, "state")),
	}
	if snapshot.Index <= last && rapid.Bool().Draw(t, "agrees") {
		snapshot.Term = state.Entries[snapshot.Index-state.Snapshot.Index-1].Term
	}
	m.write(t, hornbeamwell.LedgerWrite{Snapshot: &snapshot})
}

func (m *storageModel) sync(t *rapid.T) {
	if err := m.storage.Sync(); err != nil {
		t.Fatal(err)
	}
	m.synced = len(m.states) - 1
}

// crash checks that the storage reopens with a state that a prefix of the
// writes produced and that contains everything synced.
func (m *storageModel) crash(t *rapid.T) {
	m.folder.Crash(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
	m.reopen(t)
}

func (m *storageModel) reopen(t *rapid.T) {
	storage, err := Open(m.folder, newIdentity)
	if err != nil {
		t.Fatal(err)
	}
	m.storage = storage
	got := load(t, storage)
	for i := m.synced; i < len(m.states); i++ {
		if isPartialWrite(m.states[max(i, 1)-1], m.states[i], got) {
			m.states, m.synced = []hornbeamwell.LedgerState{got}, 0
			return
		}
	}
	t.Fatalf("state %+v is none of those from write %d on, the last durable one: %+v", got, m.synced, m.states[m.synced:])
}

// isPartialWrite reports whether got is the state after a write, or after only
// the first entries of the write.
func isPartialWrite(before, after, got hornbeamwell.LedgerState) bool {
	if equalStates(after, got) {
		return true
	}
	if len(got.Entries) == 0 || got.Vote != before.Vote || !reflect.DeepEqual(got.Snapshot, before.Snapshot) || len(got.Entries) > len(after.Entries) {
		return false
	}
	return equalStates(hornbeamwell.LedgerState{Identity: after.Identity, Vote: after.Vote, Snapshot: after.Snapshot, Entries: after.Entries[:len(got.Entries)]}, got)
}

func equalStates(a, b hornbeamwell.LedgerState) bool {
	return fmt.Sprint(a) == fmt.Sprint(b)
}

func TestStorageKeepsSyncedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storageModel{folder: faulty.NewFolder()}
		storage, err := Open(m.folder, newIdentity)
		if err != nil {
			t.Fatal(err)
		}
		m.storage = storage
		m.states = append(m.states, load(t, storage))
		t.Repeat(map[string]func(*rapid.T){
			"entries":  m.writeEntries,
			"vote":     m.writeVote,
			"snapshot": m.writeSnapshot,
			"sync":     m.sync,
			"crash":    m.crash,
			"restart":  m.reopen,
		})
	})
}

func TestOpenRejectsDamagedSyncedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storageModel{folder: faulty.NewFolder()}
		storage, err := Open(m.folder, newIdentity)
		if err != nil {
			t.Fatal(err)
		}
		m.storage = storage
		m.states = append(m.states, load(t, storage))
		for range rapid.IntRange(0, 6).Draw(t, "rounds") {
			m.writeEntries(t)
			m.writeVote(t)
			m.sync(t)
			if rapid.IntRange(0, 3).Draw(t, "snapshot") == 0 {
				m.writeSnapshot(t)
			}
		}
		names, _ := m.folder.List()
		name := rapid.SampledFrom(names).Draw(t, "file")
		content, _ := m.folder.Read(name)
		synced := int64(len(content))
		records, _ := readRecords(content)
		if last := records[len(records)-1]; last.kind == recordSynced {
			// The last record is written after the sync that it records.
			synced = last.offset
		}
		m.folder.Corrupt(name, int(rapid.Int64Range(0, synced-1).Draw(t, "offset")))
		_, err = Open(m.folder, newIdentity)
		var corrupt *hornbeamwell.CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("opening with a damaged byte in %s, of whose %d bytes %d are synced: error %v, want a CorruptError", name, len(content), synced, err)
		}
	})
}

func TestOpenRejectsMissingFiles(t *testing.T) {
	folder := faulty.NewFolder()
	storage, err := Open(folder, newIdentity)
	if err != nil {
		t.Fatal(err)
	}
	if err := storage.Write(hornbeamwell.LedgerWrite{Snapshot: &hornbeamwell.LedgerSnapshot{Cluster: "c", Index: 5, Term: 2, Data: []byte("x")}}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{logName(2), snapshotName(5)} {
		content, err := folder.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := folder.Remove(name); err != nil {
			t.Fatal(err)
		}
		var corrupt *hornbeamwell.CorruptError
		if _, err := Open(folder, newIdentity); !errors.As(err, &corrupt) {
			t.Fatalf("opening without %s: error %v, want a CorruptError", name, err)
		}
		if err := folder.Replace(name, content); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNoWriteAfterFailedSync(t *testing.T) {
	folder := faulty.NewFolder()
	storage, err := Open(folder, newIdentity)
	if err != nil {
		t.Fatal(err)
	}
	folder.FailSyncAfter(0)
	vote := hornbeamwell.LedgerWrite{Vote: &hornbeamwell.LedgerVote{Term: 3}}
	if err := storage.Write(vote); err != nil {
		t.Fatal(err)
	}
	if err := storage.Sync(); !errors.Is(err, faulty.ErrInjected) {
		t.Fatalf("first sync: error %v, want ErrInjected", err)
	}
	if err := storage.Write(vote); !errors.Is(err, faulty.ErrInjected) {
		t.Fatalf("write after the failed sync: error %v, want ErrInjected", err)
	}
	if err := storage.Sync(); !errors.Is(err, faulty.ErrInjected) {
		t.Fatalf("sync after the failed sync: error %v, want ErrInjected", err)
	}
}
