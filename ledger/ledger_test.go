package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/standin"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

func TestMain(m *testing.M) {
	hornbeamwell.PanicOnViolation.Store(true)
	os.Exit(m.Run())
}

// listStateMachine stores the commands in order.
type listStateMachine struct{ commands []string }

func (l *listStateMachine) Apply(index uint64, command []byte) []byte {
	l.commands = append(l.commands, string(command))
	return fmt.Appendf(nil, "%d:%s", index, command)
}

func (l *listStateMachine) Snapshot() ([]byte, error) { return json.Marshal(l.commands) }

func (l *listStateMachine) Restore(_ uint64, data []byte) error {
	l.commands = nil
	return json.Unmarshal(data, &l.commands)
}

// instance is one ledger with its listener.
type instance struct {
	ledger  *Ledger
	machine StateMachine
	stop    func()
}

// group is a set of instances on loopback.
type group struct {
	t         testing.TB
	members   []settings.Member
	folders   []string
	limits    Limits
	instances []*instance
	// listenAddresses are the addresses that the instances listen on. They
	// differ from those of the members if there is a forwarder in between.
	listenAddresses []netip.AddrPort
	// newMachine returns the state machine of an instance, a listStateMachine
	// if nil.
	newMachine func() StateMachine
	// wrapFolder is the WrapFolder option of the instances. It may be nil.
	wrapFolder func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder
}

func newGroup(t testing.TB, size int, limits Limits) *group {
	g := prepareGroup(t, size, limits)
	g.startAll()
	return g
}

// prepareGroup returns a group whose instances are not started.
func prepareGroup(t testing.TB, size int, limits Limits) *group {
	g := &group{t: t, limits: limits, instances: make([]*instance, size)}
	for i := range size {
		g.members = append(g.members, settings.Member{ID: string(rune('a' + i)), Zone: fmt.Sprint(i), Address: freeAddress(t)})
		g.folders = append(g.folders, t.TempDir())
		g.listenAddresses = append(g.listenAddresses, g.members[i].Address)
	}
	return g
}

func (g *group) startAll() {
	t := g.t
	for i := range g.instances {
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.instances {
			g.stop(i)
		}
	})
}

func freeAddress(t testing.TB) netip.AddrPort {
	free, err := standin.FreeAddresses(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return free[0]
}

func (g *group) start(i int) {
	var machine StateMachine = &listStateMachine{}
	if g.newMachine != nil {
		machine = g.newMachine()
	}
	l, err := Open(Options{
		ID:           g.members[i].ID,
		Zone:         g.members[i].Zone,
		Folder:       g.folders[i],
		WrapFolder:   g.wrapFolder,
		Address:      g.members[i].Address,
		Members:      g.members[:min(3, len(g.members))],
		StateMachine: machine,
		Limits:       g.limits,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", g.listenAddresses[i].String())
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	mux := wire.NewMux()
	l.Register(mux)
	ended := make(chan struct{})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = wire.Serve(ctx, listener, mux, nil)
	}()
	go func() {
		defer close(ended)
		if err := l.Run(ctx); !errors.Is(err, context.Canceled) {
			g.t.Errorf("instance %d: %v", i, err)
		}
	}()
	g.instances[i] = &instance{ledger: l, machine: machine, stop: func() { cancel(); <-ended; <-closed }}
}

func (g *group) stop(i int) {
	if g.instances[i] != nil {
		g.instances[i].stop()
		g.instances[i] = nil
	}
}

// leader waits for an instance that holds the lease and returns its index.
func (g *group) leader() int {
	g.t.Helper()
	found := -1
	g.eventually("a leader", func() bool {
		for i, in := range g.instances {
			if in != nil && in.ledger.Status().HoldsLease {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func (g *group) eventually(what string, holds func() bool) {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	for i, in := range g.instances {
		if in != nil {
			g.t.Logf("instance %d: %+v", i, in.ledger.Status())
		}
	}
	g.t.Fatalf("condition not met within 20 s: %s", what)
}

// propose proposes a command until it is committed.
func (g *group) propose(command string) Result {
	g.t.Helper()
	for {
		result, err := g.instances[g.leader()].ledger.Propose(context.Background(), []byte(command))
		if err == nil {
			return result
		}
		if !errors.Is(err, hornbeamwell.ErrNotRun) {
			g.t.Fatal(err)
		}
	}
}

// waitApplied waits until every running instance has applied an index.
func (g *group) waitApplied(index uint64) {
	g.t.Helper()
	g.eventually(fmt.Sprintf("index %d everywhere", index), func() bool {
		for _, in := range g.instances {
			if in != nil && in.ledger.Status().Applied < index {
				return false
			}
		}
		return true
	})
}

// TestDrainTransfersLeadership drains leaders and stops them. The next command
// must be committed in far less time than an election takes after a leader
// fails without notice. The data folders are in memory: a transfer syncs four times
// in a row, and on a disk with other writers the syncs alone took 300 ms.
func TestDrainTransfersLeadership(t *testing.T) {
	g := prepareGroup(t, 3, DefaultLimits())
	g.wrapFolder = foldersInMemory()
	g.startAll()
	for range 3 {
		g.waitApplied(g.propose("before").Index)
		leader := g.leader()
		startedAt := time.Now()
		if err := g.instances[leader].ledger.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := g.instances[leader].ledger.Propose(t.Context(), []byte("late")); !errors.Is(err, hornbeamwell.ErrNotRun) {
			t.Fatalf("proposal at a drained instance: error %v, want ErrNotRun", err)
		}
		g.propose("after")
		took := time.Since(startedAt)
		g.stop(leader)
		t.Logf("next command committed %v after the drain began", took.Round(time.Millisecond))
		if took >= DefaultTiming().ElectionMin/2 {
			t.Errorf("took %v, nearly as long as an election after a failed leader", took)
		}
		g.start(leader)
	}
}

// foldersInMemory returns a wrapFolder with one folder in memory per path, which
// keeps its files when an instance restarts.
func foldersInMemory() func(string, hornbeamwell.DataFolder) hornbeamwell.DataFolder {
	folders := map[string]*faulty.Folder{}
	return func(path string, _ hornbeamwell.DataFolder) hornbeamwell.DataFolder {
		if folders[path] == nil {
			folders[path] = faulty.NewFolder()
		}
		return folders[path]
	}
}

func TestThreeVotersSurviveLossOfLeader(t *testing.T) {
	g := newGroup(t, 3, DefaultLimits())
	first := g.propose("one")
	if want := fmt.Sprintf("%d:one", first.Index); string(first.Response) != want {
		t.Fatalf("response is %q, want %q", first.Response, want)
	}
	g.waitApplied(first.Index)
	old := g.leader()
	g.stop(old)
	second := g.propose("two")
	if second.Index <= first.Index {
		t.Fatalf("index %d does not follow %d", second.Index, first.Index)
	}
	g.start(old)
	g.waitApplied(second.Index)
}
