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

func newFolder(t *testing.T) (*Process, *FaultyFolder) {
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
	return p, NewFaultyFolder(p.DataFolder, p.faultFolder(), folder)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestPowerLossDropsUnsyncedData checks that the synced part of a file survives
// every power loss, and that the rest is truncated in some and corrupted in some.
func TestPowerLossDropsUnsyncedData(t *testing.T) {
	t.Parallel()
	const synced, unsynced = "header and synced", " and what was not"
	lost, corrupted := 0, 0
	for seed := range uint64(40) {
		p, faulty := newFolder(t)
		must(t, faulty.Replace("log", []byte("header")))
		file, err := faulty.OpenAppend("log")
		must(t, err)
		_, err = file.Write([]byte(" and synced"))
		must(t, err)
		must(t, file.Sync())
		_, err = file.Write([]byte(unsynced))
		must(t, err)
		must(t, p.losePower(rand.New(rand.NewPCG(seed, 0))))
		content, err := faulty.Read("log")
		must(t, err)
		if !bytes.HasPrefix(content, []byte(synced)) {
			t.Fatalf("seed %d: synced data was lost, the file holds %q", seed, content)
		}
		if len(content) < len(synced+unsynced) {
			lost++
		}
		if !bytes.HasPrefix([]byte(synced+unsynced), content) {
			corrupted++
		}
	}
	if lost == 0 || corrupted == 0 {
		t.Errorf("of 40 power losses %d truncated the file and %d corrupted it, want at least one of each", lost, corrupted)
	}
}

// TestPowerLossRestoresRemovedFiles checks that a removal is durable only after
// a sync of the folder.
func TestPowerLossRestoresRemovedFiles(t *testing.T) {
	t.Parallel()
	restored := 0
	for seed := range uint64(20) {
		p, faulty := newFolder(t)
		must(t, faulty.Replace("old", []byte("old")))
		must(t, faulty.Remove("old"))
		must(t, faulty.Replace("new", []byte("new")))
		must(t, faulty.Remove("new"))
		must(t, p.losePower(rand.New(rand.NewPCG(seed, 0))))
		names, err := faulty.List()
		must(t, err)
		for _, name := range names {
			if name == "old" {
				t.Fatalf("seed %d: a file was restored after its removal was synced", seed)
			}
			restored++
		}
	}
	if restored == 0 {
		t.Error("no removed file was restored")
	}
}

func TestFolderInjectsFaults(t *testing.T) {
	t.Parallel()
	p, faulty := newFolder(t)
	must(t, faulty.Replace("log", []byte("header")))
	file, err := faulty.OpenAppend("log")
	must(t, err)
	must(t, p.setStorageFault(faultFull))
	if _, err := file.Write([]byte("x")); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("a write to a full disk returned %v, want ENOSPC", err)
	}
	if err := faulty.Replace("other", nil); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("creating a file on a full disk returned %v, want ENOSPC", err)
	}
	must(t, p.setStorageFault("30ms"))
	began := time.Now()
	_, err = file.Write([]byte("x"))
	must(t, err)
	if took := time.Since(began); took < 30*time.Millisecond {
		t.Errorf("a write to a slow disk took %s, want at least 30 ms", took)
	}
	must(t, p.setStorageFault(""))
	must(t, file.Sync())
	if content, err := os.ReadFile(filepath.Join(p.DataFolder, "log")); err != nil || string(content) != "headerx" {
		t.Errorf("the file holds %q: %v", content, err)
	}
}

// TestPowerLossIgnoresUnfinishedRecord creates the empty temporary file that a
// process leaves if it is killed while it records what was synced.
func TestPowerLossIgnoresUnfinishedRecord(t *testing.T) {
	t.Parallel()
	p, faulty := newFolder(t)
	must(t, faulty.Replace("log", []byte("header")))
	_, err := faulty.OpenAppend("log")
	must(t, err)
	must(t, os.WriteFile(filepath.Join(p.faultFolder(), "log"+syncedSuffix+nextSuffix), nil, 0o600))
	must(t, p.losePower(rand.New(rand.NewPCG(1, 1))))
	if content, err := faulty.Read("log"); err != nil || string(content) != "header" {
		t.Errorf("the file holds %q: %v", content, err)
	}
}
