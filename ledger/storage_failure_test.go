package ledger

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/disk"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// TestAFailedSyncEndsTheInstance lets the sync of a lone voter's second command
// fail: the command is not accepted, and the instance stops.
func TestAFailedSyncEndsTheInstance(t *testing.T) {
	folder := faulty.NewFolder()
	storage, err := disk.Open(folder, func() string { return "identity" })
	if err != nil {
		t.Fatal(err)
	}
	self := settings.Member{ID: "a", Address: freeAddress(t)}
	machine := &hookMachine{applied: func() { folder.FailSync(0) }}
	l, err := Open(Options{ID: "a", Address: self.Address, Members: []settings.Member{self}, Storage: storage, Machine: machine})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run(t.Context()) }()
	for !l.Status().Leads {
		time.Sleep(time.Millisecond)
	}
	if _, err := l.Propose(context.Background(), []byte("first")); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Propose(context.Background(), []byte("second")); !errors.Is(err, hornbeamwell.ErrUnknownOutcome) {
		t.Fatalf("proposal whose sync fails: %v", err)
	}
	if err := <-ended; !errors.Is(err, faulty.ErrInjected) {
		t.Fatalf("the instance ended with %v", err)
	}
	if _, err := l.Propose(context.Background(), []byte("third")); !errors.Is(err, hornbeamwell.ErrNotRun) {
		t.Fatalf("proposal after the end: %v", err)
	}
}

// hookMachine calls a function after each command. The ledger is idle then,
// which makes it safe to touch the folder of a test.
type hookMachine struct {
	listMachine
	applied func()
}

func (h *hookMachine) Apply(index uint64, command []byte) []byte {
	h.applied()
	return h.listMachine.Apply(index, command)
}
