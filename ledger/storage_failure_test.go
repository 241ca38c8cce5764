package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/disk"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// TestFullDiskCommitsNothingUntilSpaceIsFreed fills the disk of a single voter.
// Commands proposed meanwhile must not be reported as committed, and the
// instance must keep running. Once there is free space, commands are committed
// and survive a crash.
func TestFullDiskCommitsNothingUntilSpaceIsFreed(t *testing.T) {
	folder := faulty.NewFolder()
	storage, err := disk.Open(folder, func() string { return "identity" })
	if err != nil {
		t.Fatal(err)
	}
	self := settings.Member{ID: "a", Address: freeAddress(t)}
	l, err := Open(Options{ID: "a", Address: self.Address, Members: []settings.Member{self}, Storage: storage, StateMachine: &listStateMachine{}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	for !l.Status().HoldsLease {
		time.Sleep(time.Millisecond)
	}
	if _, err := l.Propose(t.Context(), []byte("first")); err != nil {
		t.Fatal(err)
	}
	folder.SetFull(true)
	for _, command := range []string{"second", "third"} {
		shortCtx, cancel := context.WithTimeout(t.Context(), 3*repairInterval)
		if _, err := l.Propose(shortCtx, []byte(command)); !errors.Is(err, hornbeamwell.ErrUnknownOutcome) {
			t.Fatalf("proposal on a full disk: error %v, want ErrUnknownOutcome", err)
		}
		cancel()
	}
	folder.SetFull(false)
	accepted, err := l.Propose(t.Context(), []byte("fourth"))
	if err != nil {
		t.Fatalf("proposal after space was freed: %v", err)
	}
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("Run ended with error %v, want context.Canceled", err)
	}
	folder.Crash(rand.New(rand.NewPCG(1, 1)))
	reopened, err := disk.Open(folder, func() string { return "another" })
	if err != nil {
		t.Fatal(err)
	}
	state, err := reopened.Load()
	if err != nil {
		t.Fatal(err)
	}
	var commands []string
	for _, e := range state.Entries {
		if e.Kind == hornbeamwell.LedgerCommand && e.Index <= accepted.Index {
			commands = append(commands, string(e.Data))
		}
	}
	if want := []string{"first", "second", "third", "fourth"}; !slices.Equal(commands, want) {
		t.Errorf("after the crash the disk holds %q, want %q", commands, want)
	}
}

// fullFolder is a data folder that rejects a number of writes for lack of
// space.
type fullFolder struct {
	hornbeamwell.DataFolder
	failures int
}

func (f *fullFolder) Replace(name string, content []byte) error {
	if f.failures > 0 {
		f.failures--
		return fmt.Errorf("replace %s: %w", name, syscall.ENOSPC)
	}
	return f.DataFolder.Replace(name, content)
}

// TestOpenWaitsForDiskSpace checks that a start waits until the disk has free
// space, with an empty folder and with one that holds a ledger.
func TestOpenWaitsForDiskSpace(t *testing.T) {
	path := t.TempDir()
	self := settings.Member{ID: "a", Address: freeAddress(t)}
	for _, start := range []string{"first", "second"} {
		full := &fullFolder{failures: 2}
		l, err := Open(Options{
			ID: "a", Folder: path, Address: self.Address, Members: []settings.Member{self}, StateMachine: &listStateMachine{},
			WrapFolder: func(_ string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder {
				full.DataFolder = folder
				return full
			},
		})
		if err != nil {
			t.Fatalf("%s start: %v", start, err)
		}
		if full.failures != 0 {
			t.Errorf("%s start: %d injected failures are left", start, full.failures)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		for !l.Status().HoldsLease {
			time.Sleep(time.Millisecond)
		}
		if _, err := l.Propose(t.Context(), []byte(start)); err != nil {
			t.Errorf("%s start: %v", start, err)
		}
		stop()
		<-ended
	}
}
