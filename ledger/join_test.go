package ledger

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// seededCluster is instances that know three seeds and nothing else.
type seededCluster struct {
	t         *testing.T
	seeds     []netip.AddrPort
	instances map[netip.AddrPort]*instance
	folders   map[netip.AddrPort]string
}

// tolerateLosses is the number of disks that a seeded site bears to lose at once.
const tolerateLosses = 2

func newSeededCluster(t *testing.T, size int) *seededCluster {
	s := &seededCluster{t: t, instances: map[netip.AddrPort]*instance{}, folders: map[netip.AddrPort]string{}}
	addresses := make([]netip.AddrPort, 0, size)
	for range size {
		addresses = append(addresses, freeAddress(t))
	}
	s.seeds = addresses[:3]
	for _, address := range addresses {
		s.start(address, t.TempDir(), true)
	}
	t.Cleanup(func() {
		for address := range s.instances {
			s.stop(address)
		}
	})
	return s
}

func (s *seededCluster) start(address netip.AddrPort, folder string, isInitial bool) {
	var founders []settings.Member
	for _, seed := range s.seeds {
		if isInitial {
			founders = append(founders, settings.Member{ID: seed.String(), Address: seed})
		}
	}
	l, err := Open(Options{
		ID: address.String(), Address: address, Folder: folder, Members: founders,
		Seeds: func() []netip.AddrPort { return s.seeds }, TolerateLosses: tolerateLosses,
		StateMachine: &listStateMachine{}, Timing: SiteTiming(),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	mux := wire.NewMux()
	l.Register(mux)
	ended := make(chan struct{})
	go func() { _ = wire.Serve(ctx, listener, mux, nil) }()
	go func() {
		defer close(ended)
		if err := l.Run(ctx); !errors.Is(err, context.Canceled) {
			s.t.Errorf("instance %s: %v", address, err)
		}
	}()
	s.instances[address] = &instance{ledger: l, stop: func() { cancel(); <-ended }}
	s.folders[address] = folder
}

func (s *seededCluster) stop(address netip.AddrPort) {
	if i := s.instances[address]; i != nil {
		delete(s.instances, address)
		i.stop()
	}
}

// waitVoters waits until the addresses are the leader's voters and have all that is
// committed. A voter that lost its disk is listed until it is heard with its new
// identity.
func (s *seededCluster) waitVoters(want ...netip.AddrPort) *Ledger {
	s.t.Helper()
	var seen []hornbeamwell.LedgerMember
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range s.instances {
			status := i.ledger.Status()
			if !status.HoldsLease {
				continue
			}
			seen = seen[:0]
			voters := map[netip.AddrPort]bool{}
			for _, m := range status.Members {
				seen = append(seen, m.LedgerMember)
				isSelf := m.ID == status.ID
				isInSync := isSelf || time.Since(m.LastContact) < time.Second && m.Match >= status.Commit
				voters[m.Address] = m.Role == hornbeamwell.LedgerVoter && isInSync
			}
			if allVoters(voters, want) {
				return i.ledger
			}
		}
	}
	s.t.Fatalf("the voters do not become %v: %+v", want, seen)
	return nil
}

func allVoters(voters map[netip.AddrPort]bool, want []netip.AddrPort) bool {
	for _, address := range want {
		if !voters[address] {
			return false
		}
	}
	return true
}

func (s *seededCluster) addresses() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(s.instances))
	for address := range s.instances {
		all = append(all, address)
	}
	return all
}

// propose proposes until a leader accepts.
func (s *seededCluster) propose(command string) Result {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range s.instances {
			if !i.ledger.Status().HoldsLease {
				continue
			}
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
			result, err := i.ledger.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return result
			}
		}
	}
	s.t.Fatalf("%q is not accepted", command)
	return Result{}
}

// TestInstancesJoinThroughSeeds founds with three seeds; the other two instances
// become voters without being named anywhere.
func TestInstancesJoinThroughSeeds(t *testing.T) {
	t.Parallel()
	s := newSeededCluster(t, 5)
	s.waitVoters(s.addresses()...)
	s.propose("first")
}

// TestTwoDiskLossesLoseNoCommittedEntry wipes two instances at once again and
// again, the leader among them. What was accepted right before is still there.
func TestTwoDiskLossesLoseNoCommittedEntry(t *testing.T) {
	t.Parallel()
	s := newSeededCluster(t, 5)
	all := s.addresses()
	leader := s.waitVoters(all...)
	const rounds = 3
	for round := range rounds {
		command := "round " + strconv.Itoa(round)
		accepted := s.propose(command)
		lost := []netip.AddrPort{netip.MustParseAddrPort(leader.Status().ID)}
		for _, address := range all {
			if address != lost[0] {
				lost = append(lost, address)
				break
			}
		}
		for _, address := range lost {
			s.stop(address)
		}
		for _, address := range lost {
			s.start(address, t.TempDir(), false)
		}
		leader = s.waitVoters(all...)
		found := false
		for _, entry := range readEntries(t, leader) {
			found = found || entry.Index == accepted.Index && string(entry.Data) == command
		}
		if !found {
			t.Fatalf("%q was accepted at %d and is gone", command, accepted.Index)
		}
	}
}

// readEntries returns the committed entries of an instance.
func readEntries(t *testing.T, l *Ledger) []hornbeamwell.LedgerEntry {
	t.Helper()
	if err := l.ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	return l.core.log.between(l.core.log.baseIndex, l.core.commit)
}

// TestNewInstanceReplacesLostVoter ends one instance for good and
// starts another at a new address.
func TestNewInstanceReplacesLostVoter(t *testing.T) {
	t.Parallel()
	s := newSeededCluster(t, 5)
	all := s.addresses()
	s.waitVoters(all...)
	s.stop(all[4])
	fresh := freeAddress(t)
	s.start(fresh, t.TempDir(), false)
	s.waitVoters(append(all[:4:4], fresh)...)
	s.propose("after the replacement")
	// The lost one comes back with its disk and finds its place taken.
	s.start(all[4], s.folders[all[4]], false)
	s.propose("after the return")
}

// TestNoCommitOnTooFewDisks stops two of the three founders before the
// others have joined: one disk is less than what two losses leave.
func TestNoCommitOnTooFewDisks(t *testing.T) {
	t.Parallel()
	s := newSeededCluster(t, 3)
	leader := s.waitVoters(s.addresses()...)
	for address := range s.instances {
		if address.String() != leader.Status().ID {
			s.stop(address)
			break
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := leader.Propose(ctx, []byte("on two disks")); err == nil {
		t.Error("accepted on two disks where two may be lost")
	}
}
