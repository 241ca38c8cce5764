package ledger

import (
	"fmt"

	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/disk"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// PersistentState describes the ledger in a data folder.
type PersistentState struct {
	// LastIndex and LastTerm are those of the last entry in the folder. Among
	// several remaining folders, the one with the highest term, then the
	// highest index, has every committed entry that was not lost.
	LastIndex, LastTerm uint64
	Members             []hornbeamwell.LedgerMember
	// Cluster is the identity of the cluster. Recover sets a new one.
	Cluster string
}

// Inspect reads the data folder of a stopped instance. It changes no entry.
func Inspect(folder string) (PersistentState, error) {
	return withStorage(folder, func(_ *disk.Storage, state hornbeamwell.LedgerState) (PersistentState, error) {
		return summarize(state)
	})
}

// recoveryIndexGap is added to the last index of a recovered ledger. The
// indexes of lost commands are assumed to be at most the sum, so that no new
// command gets the index, and with it the version, of a lost one.
const recoveryIndexGap = 1 << 20

// Recover makes the instance of a data folder the only voter of a new cluster.
// All entries of the folder are applied to the state machine, which must be
// empty, and its state becomes the first snapshot of the new cluster. Recover is
// meant for a permanent loss of the quorum; the instance must be stopped.
// Commands that are only on the lost instances are lost. The other instances
// must start with empty folders.
func Recover(folder string, self settings.Member, machine StateMachine) (PersistentState, error) {
	return withStorage(folder, func(storage *disk.Storage, state hornbeamwell.LedgerState) (PersistentState, error) {
		if state.Snapshot.Index == 0 {
			return PersistentState{}, fmt.Errorf("recover %s: the folder belongs to no cluster: %w", folder, hornbeamwell.ErrNotFound)
		}
		snapshot, err := recoverySnapshot(state, self, machine)
		if err != nil {
			return PersistentState{}, fmt.Errorf("recover %s: %w", folder, err)
		}
		vote := hornbeamwell.LedgerVote{Term: snapshot.Term}
		for _, w := range []hornbeamwell.LedgerWrite{{Vote: &vote}, {Snapshot: &snapshot}} {
			if err := storage.Write(w); err != nil {
				return PersistentState{}, fmt.Errorf("recover %s: %w", folder, err)
			}
		}
		if err := storage.Sync(); err != nil {
			return PersistentState{}, fmt.Errorf("recover %s: %w", folder, err)
		}
		return PersistentState{LastIndex: snapshot.Index, LastTerm: snapshot.Term, Members: snapshot.Members, Cluster: snapshot.Cluster}, nil
	})
}

// recoverySnapshot applies every entry and returns the first snapshot of the
// new cluster. The new cluster identity keeps this instance from following
// instances of the old cluster.
func recoverySnapshot(state hornbeamwell.LedgerState, self settings.Member, machine StateMachine) (hornbeamwell.LedgerSnapshot, error) {
	if len(state.Snapshot.Data) > 0 {
		if err := machine.Restore(state.Snapshot.Index, state.Snapshot.Data); err != nil {
			return hornbeamwell.LedgerSnapshot{}, fmt.Errorf("restore snapshot %d: %w", state.Snapshot.Index, err)
		}
	}
	last := state.Snapshot.Index
	for _, e := range state.Entries {
		last = e.Index
		if e.Kind == hornbeamwell.LedgerCommand {
			machine.Apply(e.Index, e.Data)
		}
	}
	data, err := machine.Snapshot()
	if err != nil {
		return hornbeamwell.LedgerSnapshot{}, fmt.Errorf("take snapshot: %w", err)
	}
	return hornbeamwell.LedgerSnapshot{
		Cluster: uuid.NewString(),
		Index:   last + recoveryIndexGap,
		Term:    state.Vote.Term + 1,
		Members: []hornbeamwell.LedgerMember{{
			ID:       self.ID,
			Identity: state.Identity,
			Zone:     self.Zone,
			Address:  self.Address,
			Role:     hornbeamwell.LedgerVoter,
		}},
		Data: data,
	}, nil
}

func summarize(state hornbeamwell.LedgerState) (PersistentState, error) {
	log, err := newEntryLog(state.Snapshot, state.Entries)
	if err != nil {
		return PersistentState{}, err
	}
	return PersistentState{LastIndex: log.lastIndex(), LastTerm: log.lastTerm(), Members: log.members(), Cluster: state.Snapshot.Cluster}, nil
}

func withStorage(path string, fn func(*disk.Storage, hornbeamwell.LedgerState) (PersistentState, error)) (PersistentState, error) {
	folder, err := disk.OpenFolder(path)
	if err != nil {
		return PersistentState{}, err
	}
	defer func() { _ = folder.Close() }()
	names, err := folder.List()
	if err != nil {
		return PersistentState{}, err
	}
	if len(names) == 0 {
		return PersistentState{}, fmt.Errorf("read ledger in %s: %w", path, hornbeamwell.ErrNotFound)
	}
	storage, err := disk.Open(folder, uuid.NewString)
	if err != nil {
		return PersistentState{}, fmt.Errorf("open ledger in %s: %w", path, err)
	}
	defer func() { _ = storage.Close() }()
	state, err := storage.Load()
	if err != nil {
		return PersistentState{}, fmt.Errorf("load ledger in %s: %w", path, err)
	}
	return fn(storage, state)
}
