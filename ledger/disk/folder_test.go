package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestOpenFolderLocksFolder(t *testing.T) {
	path := t.TempDir()
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(path); !errors.Is(err, ErrFolderInUse) {
		t.Fatalf("second opening: error %v, want ErrFolderInUse", err)
	}
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
}

func TestFolderStoresLedger(t *testing.T) {
	path := t.TempDir()
	for round := range uint64(3) {
		folder, err := OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(path, ".log-left-behind"), nil, filePermissions); err != nil {
			t.Fatal(err)
		}
		storage, err := Open(folder, newIdentity)
		if err != nil {
			t.Fatal(err)
		}
		state, _ := storage.Load()
		if state.Vote.Term != round {
			t.Fatalf("term is %d, want %d", state.Vote.Term, round)
		}
		vote := hornbeamwell.LedgerVote{Term: round + 1}
		if err := errors.Join(storage.Write(hornbeamwell.LedgerWrite{Vote: &vote}), storage.Sync(), storage.Close(), folder.Close()); err != nil {
			t.Fatal(err)
		}
	}
}
