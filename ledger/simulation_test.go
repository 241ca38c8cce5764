package ledger

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
)

// simulation runs cores with a simulated network, simulated disks and drifting
// clocks, and checks the invariants across them after every step.
type simulation struct {
	t      testReporter
	random *rand.Rand
	// now is the true time since the start.
	now           time.Duration
	nodes         []*node
	initialVoters int
	network       []inFlightMessage
	// cuts holds the pairs of sender and receiver between which every message is
	// lost.
	cuts map[[2]int]bool
	// lossPercent, duplicatePercent and latePercent apply to each message.
	// delay bounds a message's latency, lateDelay that of a late one.
	lossPercent, duplicatePercent, latePercent int
	delay                                      time.Duration
	timing                                     Timing
	// resolution is the step of the simulated time.
	resolution    time.Duration
	identityCount int
	// tolerateLosses is as in Options.
	tolerateLosses int
	// isSeeded is true if the nodes find each other through the initial voters.
	isSeeded bool

	// leaders holds the identity of the leader of each term.
	leaders map[uint64]string
	// history holds the committed entries after the bootstrap, digests the
	// running digest after each of them. members is the last committed list.
	history []hornbeamwell.LedgerEntry
	digests []uint64
	members []hornbeamwell.LedgerMember
	// appendedMembers are the lists of members that leaders appended.
	appendedMembers []memberList
	// elections, installs and lostDisks count elected leaders, installed
	// snapshots and lost disks.
	elections, installs, lostDisks int
}

type testReporter interface {
	Fatalf(format string, args ...any)
	Helper()
}

// inFlightMessage is a message in the network.
type inFlightMessage struct {
	deliverAt time.Duration
	to        int
	message   Message
}

const (
	simulationResolution = 5 * time.Millisecond
	lateDelay            = 3 * time.Second
)

var simulationLimits = Limits{
	BatchEntries:    4,
	BatchBytes:      1 << 10,
	MaxInflight:     3,
	MaxUncommitted:  64,
	CommandBytes:    1 << 10,
	SnapshotEntries: 20,
	TrailingEntries: 5,
	TrailingBytes:   200,
	LogBytes:        64 << 10,
	ChunkBytes:      7,
}

func newSimulation(t testReporter, seed uint64, voters, extra int) *simulation {
	s := &simulation{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, 0)),
		initialVoters: voters,
		cuts:          map[[2]int]bool{},
		delay:         10 * time.Millisecond,
		timing:        DefaultTiming(),
		resolution:    simulationResolution,
		leaders:       map[uint64]string{},
	}
	for i := range voters + extra {
		n := &node{
			endpoint:     Endpoint{ID: string(rune('a' + i)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)},
			folder:       faulty.NewFolder(),
			clockPercent: 100,
		}
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *simulation) startAll() {
	for i := range s.nodes {
		s.start(i)
	}
}

// clock returns the node's local time.
func (s *simulation) clock(n *node) time.Time {
	return time.Unix(1_000_000, 0).Add(s.now * time.Duration(n.clockPercent) / 100)
}

// run advances the time, delivers messages and ticks the nodes.
func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.now += s.resolution
		s.deliverDue()
		for i, n := range s.nodes {
			if n.core == nil || s.now < n.pausedUntil {
				continue
			}
			if n.syncAt > 0 && s.now >= n.syncAt {
				s.finishSync(i)
			}
			if s.now >= n.tickAt {
				n.tickAt = s.now + 25*time.Millisecond
				s.step(i, tickEvent{})
			}
		}
		s.checkLeaseHolder()
	}
}

func (s *simulation) deliverDue() {
	var due, later []inFlightMessage
	for _, f := range s.network {
		n := s.nodes[f.to]
		switch {
		case f.deliverAt > s.now || (n.core != nil && s.now < n.pausedUntil):
			later = append(later, f)
		case n.core != nil:
			due = append(due, f)
		}
	}
	s.network = later
	slices.SortStableFunc(due, func(a, b inFlightMessage) int { return int(a.deliverAt - b.deliverAt) })
	for _, f := range due {
		s.step(f.to, messageEvent{message: f.message})
	}
}

// step runs an event on a node, carries out the effects and checks the
// invariants.
func (s *simulation) step(i int, e event) effects {
	n := s.nodes[i]
	out := n.core.Step(s.clock(n), e)
	if len(out.writes) > 0 {
		n.writes = append(n.writes, out.writes...)
		n.lastWrite = out.lastWrite
		if n.syncAt == 0 {
			n.syncAt = s.now + s.resolution + time.Duration(s.random.Int64N(int64(n.diskDelay)+1))
		}
	}
	for _, m := range out.messages {
		s.sendMessage(i, m)
	}
	if out.restore != nil {
		s.installs++
		n.entriesSinceSnapshot = 0
		s.checkSnapshot(n, *out.restore)
	}
	for _, entry := range out.committed {
		s.checkCommitted(n, entry)
	}
	s.checkLeader(n)
	if n.entriesSinceSnapshot >= int(simulationLimits.SnapshotEntries) {
		n.entriesSinceSnapshot = 0
		s.step(i, compactEvent{data: s.machineState(n.core.delivered)})
	}
	return out
}

// sendMessage sends a message over the network, which may lose, delay or
// duplicate it.
func (s *simulation) sendMessage(from int, m Message) {
	to := slices.IndexFunc(s.nodes, func(n *node) bool { return n.endpoint.Address == m.To.Address })
	if to < 0 || s.cuts[[2]int{from, to}] || s.random.IntN(100) < s.lossPercent {
		return
	}
	// The message is encoded and decoded, as between processes.
	decoded, err := decodeMessage(encodeMessage(m))
	if err != nil {
		s.t.Fatalf("message %+v: %v", m, err)
	}
	copies := 1
	if s.random.IntN(100) < s.duplicatePercent {
		copies = 2
	}
	for range copies {
		delay := s.delay
		if s.random.IntN(100) < s.latePercent {
			delay = lateDelay
		}
		at := s.now + time.Millisecond + time.Duration(s.random.Int64N(int64(delay)))
		s.network = append(s.network, inFlightMessage{deliverAt: at, to: to, message: decoded})
	}
}

// heal ends every fault and starts every node.
func (s *simulation) heal() {
	s.cuts = map[[2]int]bool{}
	s.lossPercent, s.duplicatePercent, s.latePercent, s.delay = 0, 0, 0, 10*time.Millisecond
	for i, n := range s.nodes {
		n.diskDelay, n.pausedUntil = 0, 0
		if n.core == nil {
			s.start(i)
		}
	}
}

// leader returns the index of the node that holds the lease, or -1 if there is
// none.
func (s *simulation) leader() int {
	return slices.IndexFunc(s.nodes, func(n *node) bool {
		return n.core != nil && s.clock(n).Before(n.core.leaseEnd(s.clock(n)))
	})
}

func (s *simulation) describe() string {
	text := ""
	for _, n := range s.nodes {
		if n.core == nil {
			text += n.endpoint.ID + " is down\n"
			continue
		}
		text += fmt.Sprintf("%s %+v\n", n.endpoint.Identity, n.core.status(s.clock(n)))
	}
	return text
}

func TestSimulationWithoutFaults(t *testing.T) {
	s := newSimulation(t, 1, 3, 0)
	s.startAll()
	s.run(3 * time.Second)
	s.checkRecovery()
	if s.elections != 1 {
		t.Fatalf("%d leaders were elected, want 1", s.elections)
	}
}
