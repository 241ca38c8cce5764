package soak

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/ledger/disk"
)

func newStorage(t *testing.T) (*Process, *FaultyFolder) {
	t.Helper()
	p := &Process{ID: "control-0", DataFolder: filepath.Join(t.TempDir(), "control-0")}
	if err := p.ClearDataFolder(); err != nil {
		t.Fatal(err)
	}
	folder, err := disk.OpenFolder(p.DataFolder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = folder.Close() })
	return p, NewFaultyFolder(p.DataFolder, p.storageFaults(), folder)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestLossOfPowerTakesWhatWasNotSynced checks that the synced part of a file
// outlives every loss of power, and that the rest is lost in some.
func TestLossOfPowerTakesWhatWasNotSynced(t *testing.T) {
	t.Parallel()
	const synced, unsynced = "header and synced", " and what was not"
	lost, spoilt := 0, 0
	for seed := range uint64(40) {
		p, storage := newStorage(t)
		must(t, storage.Replace("log", []byte("header")))
		file, err := storage.Append("log")
		must(t, err)
		_, err = file.Write([]byte(" and synced"))
		must(t, err)
		must(t, file.Sync())
		_, err = file.Write([]byte(unsynced))
		must(t, err)
		must(t, p.losePower(rand.New(rand.NewPCG(seed, 0))))
		content, err := storage.Read("log")
		must(t, err)
		if !bytes.HasPrefix(content, []byte(synced)) {
			t.Fatalf("seed %d: %q is left", seed, content)
		}
		if len(content) < len(synced+unsynced) {
			lost++
		}
		if !bytes.HasPrefix([]byte(synced+unsynced), content) {
			spoilt++
		}
	}
	if lost == 0 || spoilt == 0 {
		t.Errorf("of 40 losses of power %d tore the file and %d spoilt it", lost, spoilt)
	}
}

// TestLossOfPowerBringsRemovedFilesBack checks that a removal lasts only after
// a sync of the folder.
func TestLossOfPowerBringsRemovedFilesBack(t *testing.T) {
	t.Parallel()
	returned := 0
	for seed := range uint64(20) {
		p, storage := newStorage(t)
		must(t, storage.Replace("old", []byte("old")))
		must(t, storage.Remove("old"))
		must(t, storage.Replace("new", []byte("new")))
		must(t, storage.Remove("new"))
		must(t, p.losePower(rand.New(rand.NewPCG(seed, 0))))
		names, err := storage.List()
		must(t, err)
		for _, name := range names {
			if name == "old" {
				t.Fatalf("seed %d: a file came back after its removal was synced", seed)
			}
			returned++
		}
	}
	if returned == 0 {
		t.Error("no removed file ever came back")
	}
}

func TestStorageObeysOrders(t *testing.T) {
	t.Parallel()
	p, storage := newStorage(t)
	must(t, storage.Replace("log", []byte("header")))
	file, err := storage.Append("log")
	must(t, err)
	must(t, p.order(orderFull))
	if _, err := file.Write([]byte("x")); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("a write to a full disk: %v", err)
	}
	if err := storage.Replace("other", nil); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("a new file on a full disk: %v", err)
	}
	must(t, p.order("30ms"))
	began := time.Now()
	_, err = file.Write([]byte("x"))
	must(t, err)
	if took := time.Since(began); took < 30*time.Millisecond {
		t.Errorf("a write to a slow disk took %s", took)
	}
	must(t, p.order(""))
	must(t, file.Sync())
	if content, err := os.ReadFile(filepath.Join(p.DataFolder, "log")); err != nil || string(content) != "headerx" {
		t.Errorf("the file holds %q: %v", content, err)
	}
}

// TestLossOfPowerPassesOverAnUnfinishedNote kills the process, so to say, while it
// notes what was synced.
func TestLossOfPowerPassesOverAnUnfinishedNote(t *testing.T) {
	t.Parallel()
	p, storage := newStorage(t)
	must(t, storage.Replace("log", []byte("header")))
	_, err := storage.Append("log")
	must(t, err)
	must(t, os.WriteFile(filepath.Join(p.storageFaults(), "log"+syncedSuffix+nextSuffix), nil, 0o600))
	must(t, p.losePower(rand.New(rand.NewPCG(1, 1))))
	if content, err := storage.Read("log"); err != nil || string(content) != "header" {
		t.Errorf("the file holds %q: %v", content, err)
	}
}
