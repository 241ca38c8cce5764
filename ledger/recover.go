package ledger

import (
	"fmt"

	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/disk"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// Recovery says from what a ledger was recovered.
type Recovery struct {
	// LastIndex and LastTerm are those of the last entry in the folder. Of
	// several survivors the one with the highest term, then the highest index,
	// has everything that was accepted and not lost.
	LastIndex, LastTerm uint64
	Members             []hornbeamwell.LedgerMember
	// Cluster is the ledger's new identity.
	Cluster string
}

// Inspect reads a data folder whose instance is stopped and changes no entry.
func Inspect(folder string) (Recovery, error) {
	return withStorage(folder, func(_ *disk.Storage, state hornbeamwell.LedgerState) (Recovery, error) {
		return describe(state)
	})
}

// Recover makes the instance of a data folder the only voter of a new cluster
// with all entries of the folder. It is for the loss of a quorum for good, with
// the instance stopped. Commands that the lost instances accepted and this one
// does not have are lost. The other instances must start from empty folders.
func Recover(folder string, self settings.Member) (Recovery, error) {
	return withStorage(folder, func(storage *disk.Storage, state hornbeamwell.LedgerState) (Recovery, error) {
		if state.Snapshot.Index == 0 {
			return Recovery{}, fmt.Errorf("recover %s: the folder belongs to no cluster: %w", folder, hornbeamwell.ErrNotFound)
		}
		writes, err := recoveryWrites(state, self)
		if err != nil {
			return Recovery{}, err
		}
		for _, w := range writes {
			if err := storage.Write(w); err != nil {
				return Recovery{}, fmt.Errorf("recover %s: %w", folder, err)
			}
		}
		if err := storage.Sync(); err != nil {
			return Recovery{}, fmt.Errorf("recover %s: %w", folder, err)
		}
		after, err := storage.Load()
		if err != nil {
			return Recovery{}, fmt.Errorf("recover %s: %w", folder, err)
		}
		return describe(after)
	})
}

// recoveryWrites gives the snapshot a new cluster, so that instances of the old
// one are not followed, and appends a list with this instance alone.
func recoveryWrites(state hornbeamwell.LedgerState, self settings.Member) ([]hornbeamwell.LedgerWrite, error) {
	snapshot := state.Snapshot
	snapshot.Cluster = uuid.NewString()
	vote := hornbeamwell.LedgerVote{Term: state.Vote.Term + 1, Candidate: state.Identity}
	data, err := wire.EncodeLedgerMembers([]hornbeamwell.LedgerMember{{
		ID:       self.ID,
		Identity: state.Identity,
		Zone:     self.Zone,
		Address:  self.Address,
		Role:     hornbeamwell.LedgerVoter,
	}})
	if err != nil {
		return nil, err
	}
	entry := hornbeamwell.LedgerEntry{
		Index: snapshot.Index + uint64(len(state.Entries)) + 1,
		Term:  vote.Term,
		Kind:  hornbeamwell.LedgerMembership,
		Data:  data,
	}
	return []hornbeamwell.LedgerWrite{{Snapshot: &snapshot}, {Vote: &vote}, {Entries: []hornbeamwell.LedgerEntry{entry}}}, nil
}

func describe(state hornbeamwell.LedgerState) (Recovery, error) {
	log, err := newEntryLog(state.Snapshot, state.Entries)
	if err != nil {
		return Recovery{}, err
	}
	return Recovery{LastIndex: log.lastIndex(), LastTerm: log.lastTerm(), Members: log.members(), Cluster: state.Snapshot.Cluster}, nil
}

func withStorage(path string, do func(*disk.Storage, hornbeamwell.LedgerState) (Recovery, error)) (Recovery, error) {
	folder, err := disk.OpenFolder(path)
	if err != nil {
		return Recovery{}, err
	}
	defer func() { _ = folder.Close() }()
	names, err := folder.List()
	if err != nil {
		return Recovery{}, err
	}
	if len(names) == 0 {
		return Recovery{}, fmt.Errorf("read ledger in %s: %w", path, hornbeamwell.ErrNotFound)
	}
	storage, err := disk.Open(folder, uuid.NewString)
	if err != nil {
		return Recovery{}, fmt.Errorf("open ledger in %s: %w", path, err)
	}
	defer func() { _ = storage.Close() }()
	state, err := storage.Load()
	if err != nil {
		return Recovery{}, fmt.Errorf("load ledger in %s: %w", path, err)
	}
	return do(storage, state)
}
