package ledger

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
)

// scriptSeeds is the number of seeds that each script runs with.
const scriptSeeds = 10

// TestScripts runs the scripts of testdata/scripts. Its README.md describes the
// commands.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/scripts/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			for seed := range uint64(scriptSeeds) {
				runScript(t, string(content), seed)
			}
		})
	}
}

// script runs the commands of a script on a simulation.
type script struct {
	*simulation
	seed uint64
	// rejected is the error of the last member change, changedNode its node.
	rejected    error
	changedNode int
}

func runScript(t *testing.T, content string, seed uint64) {
	s := &script{seed: seed}
	for number, line := range strings.Split(content, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if err := s.run(t, words); err != nil {
			t.Fatalf("seed %d, line %d: %s: %v\n%s", seed, number+1, line, err, s.describe())
		}
	}
}

func (s *script) run(t *testing.T, words []string) error {
	command, arguments := words[0], append(words[1:], "", "")
	switch command {
	case "nodes":
		voters, _ := strconv.Atoi(arguments[0])
		extra, _ := strconv.Atoi(arguments[1])
		s.simulation = newSimulation(t, s.seed, voters, extra)
	case "start":
		s.forEachNode(words[1:], s.start)
	case "crash":
		s.forEachNode(words[1:], s.crash)
	case "lose", "force-lose":
		return s.lose(s.node(arguments[0]), command == "force-lose")
	case "propose":
		count, _ := strconv.Atoi(arguments[0])
		for range count {
			if err := s.commitCommand(); err != nil {
				return err
			}
		}
	case "run":
		duration, err := time.ParseDuration(arguments[0])
		s.simulation.run(duration)
		return err
	case "until":
		return s.until(arguments[0], arguments[1])
	case "add":
		s.change(AddMember, s.node(arguments[0]))
	case "remove":
		s.change(RemoveMember, s.node(arguments[0]))
	case "check-recovery":
		s.checkRecovery()
	default:
		return s.check(command, strings.TrimSpace(strings.Join(arguments, " ")))
	}
	return nil
}

// check compares the state with an expectation of the script.
func (s *script) check(command, argument string) error {
	switch {
	case command == "rejected" && s.rejected != nil && strings.Contains(s.rejected.Error(), argument):
	case command == "no" && argument == "leader" && s.leader() < 0:
	case command == "no-cluster" && !s.nodes[s.node(argument)].core.inCluster():
	default:
		return fmt.Errorf("unknown command, or expectation not met; error of the last member change: %s", fmt.Sprint(s.rejected))
	}
	return nil
}

// node returns the index of the node with a name.
func (s *script) node(name string) int {
	switch name {
	case "leader":
		return s.leader()
	case "other":
		other := (s.leader() + 1) % len(s.nodes)
		for s.nodes[other].core == nil {
			other = (other + 1) % len(s.nodes)
		}
		return other
	default:
		return int(name[0] - 'a')
	}
}

func (s *script) forEachNode(names []string, fn func(int)) {
	for _, name := range names {
		fn(s.node(name))
	}
}

func (s *script) lose(i int, force bool) error {
	if !s.wipe(i) {
		if !force {
			return fmt.Errorf("losing the disk of node %d would leave no quorum", i)
		}
		s.crash(i)
		s.nodes[i].folder = faulty.NewFolder()
	}
	s.start(i)
	return nil
}

// commitCommand proposes a command and waits until it is committed. It does not
// wait, and returns no error, if the leader rejects the command.
func (s *script) commitCommand() error {
	out := s.step(s.leader(), proposeEvent{commands: [][]byte{[]byte("command")}})
	return s.wait(func() bool { return uint64(len(s.history))+bootstrapIndex >= out.proposed.index })
}

func (s *script) change(kind ChangeKind, i int) {
	e := s.nodes[i].endpoint
	s.changedNode = i
	s.rejected = s.step(s.leader(), changeEvent{change: MemberChange{
		Kind:   kind,
		Member: hornbeamwell.LedgerMember{ID: e.ID, Address: e.Address},
	}}).rejected
}

func (s *script) until(what, name string) error {
	switch what {
	case "leader":
		return s.wait(func() bool { return s.leader() >= 0 })
	case "voter":
		return s.wait(func() bool { return s.isCommittedVoter(s.node(name)) })
	default:
		return s.wait(func() bool { return !s.isCommittedVoter(s.changedNode) })
	}
}

// wait runs the simulation until a condition holds.
func (s *script) wait(holds func() bool) error {
	for end := s.now + 20*time.Second; s.now < end; s.simulation.run(s.resolution) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within 20 s")
}

// isCommittedVoter reports whether a node's current identity is a voter in the
// committed list of members.
func (s *simulation) isCommittedVoter(i int) bool {
	return slices.ContainsFunc(s.members, func(m hornbeamwell.LedgerMember) bool {
		return m.Identity == s.nodes[i].endpoint.Identity && m.Role == hornbeamwell.LedgerVoter
	})
}
