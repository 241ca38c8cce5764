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

// TestRecoverFromOneDisk removes two of three data folders at once and recovers
// the system from the one that is left.
func TestRecoverFromOneDisk(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newSite(t)
	s.start()
	s.applyNamed(0, "accepted")
	s.awaitCurrentInForce(0)
	for _, p := range s.Controls {
		s.kill(p)
	}
	for _, p := range s.Controls[1:] {
		s.clearDataFolder(p)
	}
	s.runCommand("ledger", "recover", "--settings", s.Controls[0].Settings, "--accept-loss")
	for _, p := range s.Controls {
		s.restart(p)
	}
	s.addMember(1)
	s.addMember(2)
	s.awaitToleratedLosses(func(tolerated int32) bool { return tolerated > 0 })
	if got := s.versionName(0); got != "accepted" {
		t.Fatalf("the recovered configuration is %q, want \"accepted\"", got)
	}
	s.awaitInForce(s.applyNamed(0, "after"), 30*time.Second)
}

// awaitCurrentInForce waits until the current version of a control instance is in
// force everywhere.
func (s *site) awaitCurrentInForce(controlIndex int) {
	response, err := s.OperatorClient(controlIndex).Get(s.t.Context(), connect.NewRequest(&schema.GetRequest{}))
	if err != nil {
		s.t.Fatal(err)
	}
	s.awaitInForce(response.Msg.GetConfiguration().GetVersion(), 20*time.Second)
}

// clearDataFolder replaces the data folder of a control instance by an empty
// one.
func (s *site) clearDataFolder(p *soak.Process) {
	s.must(p.ClearDataFolder())
}

// runCommand runs a command of the program and fails the test if the command
// fails.
func (s *site) runCommand(arguments ...string) {
	command := exec.CommandContext(context.Background(), os.Args[0], arguments...)
	command.Env = append(os.Environ(), runProgramEnv+"=1")
	output, err := command.CombinedOutput()
	if err != nil {
		s.t.Fatalf("%v: %v\n%s", arguments, err, output)
	}
}

// addMember adds a control instance as a member through the recovered one.
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
