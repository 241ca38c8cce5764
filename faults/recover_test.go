package faults

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/soak"
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
	for _, p := range s.Controls {
		s.kill(p)
	}
	for _, p := range s.Controls[1:] {
		s.emptyFolder(p)
	}
	s.run("ledger", "recover", "--settings", s.Controls[0].Settings, "--accept-loss")
	for _, p := range s.Controls {
		s.startAgain(p)
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
	response, err := s.OperatorClient(at).Get(s.t.Context(), connect.NewRequest(&schema.GetRequest{}))
	if err != nil {
		s.t.Fatal(err)
	}
	s.awaitInForce(response.Msg.GetConfiguration().GetVersion(), 20*time.Second)
}

// emptyFolder replaces the data folder of a control instance by an empty one.
func (s *site) emptyFolder(p *soak.Process) {
	s.must(p.ClearDataFolder())
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
		Member: &schema.Member{Id: soak.ControlID(i), Zone: soak.Zone(i), Address: s.Sources[i].String()},
	}
	s.eventually(30*time.Second, func(ctx context.Context, _ int) error {
		_, err := s.OperatorClient(0).ChangeMember(ctx, connect.NewRequest(request))
		return err
	})
}
