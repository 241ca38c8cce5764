package ledger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// forwarder forwards connections until they are silenced. A silenced connection
// stays open and forwards nothing more.
type forwarder struct {
	// generation is increased to silence the open connections.
	generation atomic.Int64
	// isCut silences new connections as well.
	isCut atomic.Bool
	// rate limits each direction of a connection in bytes per second, if set.
	rate atomic.Int64
}

func (f *forwarder) serve(ctx context.Context, listener net.Listener, target string) {
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		out, err := new(net.Dialer).DialContext(ctx, "tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		generation := f.generation.Load()
		var ended sync.Once
		end := func() { _, _ = in.Close(), out.Close() }
		context.AfterFunc(ctx, end)
		go f.forward(out, in, generation, func() { ended.Do(end) })
		go f.forward(in, out, generation, func() { ended.Do(end) })
	}
}

func (f *forwarder) forward(to io.Writer, from io.Reader, generation int64, end func()) {
	defer end()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if generation != f.generation.Load() || f.isCut.Load() {
			continue
		}
		if rate := f.rate.Load(); rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// newForwardedGroup returns a group of three instances that reach each other through
// forwarders.
func newForwardedGroup(t *testing.T) (*group, []*forwarder) {
	const size = 3
	g := &group{t: t, limits: DefaultLimits(), instances: make([]*instance, size)}
	forwarders := make([]*forwarder, size)
	for i := range size {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g.listenAddresses = append(g.listenAddresses, freeAddress(t))
		g.folders = append(g.folders, t.TempDir())
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		g.members = append(g.members, settings.Member{ID: string(rune('a' + i)), Address: address})
		forwarders[i] = &forwarder{}
		go forwarders[i].serve(t.Context(), listener, g.listenAddresses[i].String())
	}
	g.startAll()
	return g, forwarders
}

func TestSilentConnectionsAreReplacedBeforeElection(t *testing.T) {
	g, forwarders := newForwardedGroup(t)
	g.waitApplied(g.propose("before").Index)
	term := g.instances[g.leader()].ledger.Status().Term
	for _, f := range forwarders {
		f.generation.Add(1)
	}
	startedAt := time.Now()
	g.waitApplied(g.propose("after").Index)
	t.Logf("applied everywhere %v after every connection became unresponsive", time.Since(startedAt).Round(time.Millisecond))
	if newTerm := g.instances[g.leader()].ledger.Status().Term; newTerm != term {
		t.Errorf("term went from %d to %d", term, newTerm)
	}
}

func TestLargeCommandOnSlowLinkCausesNoElection(t *testing.T) {
	g, forwarders := newForwardedGroup(t)
	g.waitApplied(g.propose("before").Index)
	term := g.instances[g.leader()].ledger.Status().Term
	for _, f := range forwarders {
		f.rate.Store(4 << 20)
	}
	startedAt := time.Now()
	g.waitApplied(g.proposeLarge(strings.Repeat("x", 3<<20)))
	t.Logf("3 MiB applied everywhere after %v at 4 MiB/s", time.Since(startedAt).Round(time.Millisecond))
	if newTerm := g.instances[g.leader()].ledger.Status().Term; newTerm != term {
		t.Errorf("term went from %d to %d", term, newTerm)
	}
}

// proposeLarge proposes a command and returns its index. In short mode, in which CI runs
// the race detector, the command may be committed after its proposal has timed out: there
// the encoding of megabytes alone takes seconds.
func (g *group) proposeLarge(command string) uint64 {
	g.t.Helper()
	l := g.instances[g.leader()].ledger
	next := l.Status().Applied + 1
	result, err := l.Propose(g.t.Context(), []byte(command))
	if err == nil {
		return result.Index
	}
	if !testing.Short() || !errors.Is(err, hornbeamwell.ErrUnknownOutcome) {
		g.t.Fatal(err)
	}
	g.t.Logf("the command is not committed yet: %v", err)
	return next
}

func TestIsolatedLeaderRejectsReads(t *testing.T) {
	g, forwarders := newForwardedGroup(t)
	g.propose("before")
	old := g.leader()
	stale := g.instances[old].ledger
	if err := stale.ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	// Messages to the leader are lost. Its own messages arrive again once it
	// has reconnected, but it receives no reply.
	forwarders[old].isCut.Store(true)
	forwarders[old].generation.Add(1)
	for i, f := range forwarders {
		if i != old {
			f.generation.Add(1)
		}
	}
	g.eventually("end of the old lease", func() bool { return !stale.Status().HoldsLease })
	var notLeader *hornbeamwell.NotLeaderError
	if err := stale.ReadBarrier(t.Context()); !errors.As(err, &notLeader) {
		t.Fatalf("read barrier of an isolated leader: error %v, want a NotLeaderError", err)
	}
}

func TestMemberWithLostDiskBecomesVoterAgain(t *testing.T) {
	g := newGroup(t, 3, DefaultLimits())
	g.waitApplied(g.propose("before").Index)
	lost := (g.leader() + 1) % 3
	identity := g.instances[lost].ledger.Status().Identity
	g.stop(lost)
	emptyFolder(t, g.folders[lost])
	g.start(lost)
	g.eventually("voter with a new identity", func() bool {
		for _, m := range g.instances[g.leader()].ledger.Status().Members {
			if m.ID == g.members[lost].ID && m.Identity != identity && m.Role == hornbeamwell.LedgerVoter {
				return true
			}
		}
		return false
	})
	g.waitApplied(g.propose("after").Index)
}

func emptyFolder(t *testing.T, path string) {
	names, err := filepath.Glob(filepath.Join(path, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if err := os.Remove(name); err != nil {
			t.Fatal(err)
		}
	}
}

func TestLaggingMemberReceivesSnapshot(t *testing.T) {
	limits := DefaultLimits()
	limits.SnapshotEntries, limits.TrailingEntries, limits.ChunkBytes = 50, 10, 100
	g := newGroup(t, 3, limits)
	g.waitApplied(g.propose("before").Index)
	lagging := (g.leader() + 1) % 3
	g.stop(lagging)
	var last uint64
	for i := range 200 {
		last = g.propose(fmt.Sprint("while away ", i)).Index
	}
	g.start(lagging)
	g.waitApplied(last)
	g.stop(lagging)
	if got := len(g.restarted(lagging).commands); got != 201 {
		t.Fatalf("%d commands after the restart, want 201", got)
	}
}

// restarted starts an instance, waits until it has applied what the others
// committed, stops it and returns its state machine.
func (g *group) restarted(i int) *listStateMachine {
	g.start(i)
	machine := g.instances[i].machine.(*listStateMachine)
	g.waitApplied(g.instances[g.leader()].ledger.Status().Commit)
	g.stop(i)
	return machine
}

func TestMemberIsAddedAndLeaderRemoved(t *testing.T) {
	g := newGroup(t, 4, DefaultLimits())
	g.propose("before")
	add := MemberChange{Kind: AddMember, Member: hornbeamwell.LedgerMember{ID: "d", Address: g.members[3].Address}}
	if err := g.instances[g.leader()].ledger.ChangeMember(t.Context(), add); err != nil {
		t.Fatal(err)
	}
	g.waitApplied(g.propose("with four").Index)
	leader := g.leader()
	remove := MemberChange{Kind: RemoveMember, Member: hornbeamwell.LedgerMember{ID: g.members[leader].ID}}
	if err := g.instances[leader].ledger.ChangeMember(t.Context(), remove); err != nil {
		t.Fatal(err)
	}
	g.eventually("another leader", func() bool { return g.leader() != leader })
	g.stop(leader)
	g.waitApplied(g.propose("with three").Index)
	err := g.instances[g.leader()].ledger.ChangeMember(t.Context(), remove)
	if !errors.Is(err, hornbeamwell.ErrNotFound) {
		t.Fatalf("second removal: error %v, want ErrNotFound", err)
	}
}

func TestFollowerRejectsProposalsAndReads(t *testing.T) {
	g := newGroup(t, 3, DefaultLimits())
	g.waitApplied(g.propose("before").Index)
	leader := g.leader()
	follower := g.instances[(leader+1)%3].ledger
	var notLeader *hornbeamwell.NotLeaderError
	if _, err := follower.Propose(t.Context(), []byte("x")); !errors.As(err, &notLeader) || notLeader.Leader != g.members[leader].ID {
		t.Fatalf("proposal at a follower: error %v, want a NotLeaderError with the leader's id", err)
	}
	if err := follower.ReadBarrier(t.Context()); !errors.As(err, &notLeader) {
		t.Fatalf("read barrier at a follower: error %v, want a NotLeaderError", err)
	}
}

func TestProposalWithoutQuorumHasUnknownOutcome(t *testing.T) {
	g := newGroup(t, 3, DefaultLimits())
	g.propose("before")
	leader := g.leader()
	g.stop((leader + 1) % 3)
	g.stop((leader + 2) % 3)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := g.instances[leader].ledger.Propose(ctx, []byte("x")); !errors.Is(err, hornbeamwell.ErrUnknownOutcome) {
		t.Fatalf("proposal without a quorum: error %v, want ErrUnknownOutcome", err)
	}
}

// TestCommandBelowBulkThresholdOnSlowLinkIsApplied guards against a link that is closed
// again and again because a ping waits behind an append that is not sent as bulk.
func TestCommandBelowBulkThresholdOnSlowLinkIsApplied(t *testing.T) {
	g, forwarders := newForwardedGroup(t)
	g.waitApplied(g.propose("before").Index)
	term := g.instances[g.leader()].ledger.Status().Term
	for _, f := range forwarders {
		f.rate.Store(100_000)
	}
	startedAt, lost := time.Now(), metricLostConnections.Get()
	g.waitApplied(g.proposeLarge(strings.Repeat("x", bulkThresholdBytes-1)))
	t.Logf("applied everywhere after %v at 100 kB/s, %d connections lost", time.Since(startedAt).Round(time.Millisecond), metricLostConnections.Get()-lost)
	if newTerm := g.instances[g.leader()].ledger.Status().Term; newTerm != term {
		t.Errorf("term went from %d to %d", term, newTerm)
	}
}
