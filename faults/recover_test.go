package faults

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// TestRecoverFromOneDisk loses two of three disks at once and recovers the
// system from the one that is left.
func TestRecoverFromOneDisk(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newSite(t)
	s.start()
	s.applyNamed(0, "accepted")
	s.awaitInForceOn(0)
	for _, p := range s.controls {
		p.kill()
	}
	for _, p := range s.controls[1:] {
		s.emptyFolder(p)
	}
	s.run("ledger", "recover", "--settings", s.controls[0].settings, "--accept-loss")
	for _, p := range s.controls {
		p.start()
	}
	s.addMember(1)
	s.addMember(2)
	s.awaitLosses(func(tolerated int32) bool { return tolerated > 0 })
	if got := s.versionName(0); got != "accepted" {
		t.Fatalf("the recovered configuration is %q", got)
	}
	s.awaitInForce(s.applyNamed(0, "after"), 30*time.Second)
}

// awaitInForceOn waits until the current version is in force everywhere.
func (s *site) awaitInForceOn(at int) {
	response, err := s.operators(at).Get(s.t.Context(), connect.NewRequest(&schema.GetRequest{}))
	if err != nil {
		s.t.Fatal(err)
	}
	s.awaitInForce(response.Msg.GetConfiguration().GetVersion(), 20*time.Second)
}

// emptyFolder replaces the data folder of a control instance by an empty one.
func (s *site) emptyFolder(p *process) {
	folder := filepath.Join(s.folder, p.id)
	if err := os.RemoveAll(folder); err != nil {
		s.t.Fatal(err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		s.t.Fatal(err)
	}
}

// run runs a command of the program to its end.
func (s *site) run(arguments ...string) {
	command := exec.CommandContext(context.Background(), os.Args[0], arguments...)
	command.Env = append(os.Environ(), asProgram+"=1")
	output, err := command.CombinedOutput()
	if err != nil {
		s.t.Fatalf("%v: %v\n%s", arguments, err, output)
	}
}

// addMember adds a control instance through the recovered one.
func (s *site) addMember(i int) {
	request := &schema.ChangeMemberRequest{
		RequestId: uuid.NewString(), Change: "add",
		Member: &schema.Member{Id: controlID(i), Zone: zone(i), Address: s.sources[i]},
	}
	s.eventually(30*time.Second, func(ctx context.Context, _ int) error {
		_, err := s.operators(0).ChangeMember(ctx, connect.NewRequest(request))
		return err
	})
}
