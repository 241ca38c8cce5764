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

// simulation runs cores over a fake network, fake disks and drifting clocks,
// and checks the invariants across them after every step.
type simulation struct {
	t      failer
	random *rand.Rand
	// now is the true time since the start.
	now     time.Duration
	nodes   []*node
	founder int
	network []flight
	cuts    map[[2]int]bool
	// loss, doubling and late are in percent. delay bounds a message's way,
	// lateDelay that of a late one.
	loss, doubling, late int
	delay                time.Duration
	timing               Timing
	// grain is the time between two looks at the nodes.
	grain      time.Duration
	identities int

	leaders map[uint64]string
	history []hornbeamwell.LedgerEntry
	digests []uint64
	members []hornbeamwell.LedgerMember
	// appended are the lists of members that leaders appended.
	appended []membershipAt
	// elected, installs and replaced count leaders, installed snapshots and
	// lost disks.
	elected, installs, replaced int
}

type failer interface {
	Fatalf(format string, args ...any)
	Helper()
}

// flight is a message on its way.
type flight struct {
	at      time.Duration
	to      int
	message Message
}

const (
	simulationGrain = 5 * time.Millisecond
	lateDelay       = 3 * time.Second
)

var simulationLimits = Limits{
	BatchEntries:    4,
	BatchBytes:      1 << 10,
	MaxInflight:     3,
	MaxUncommitted:  64,
	CommandBytes:    1 << 10,
	SnapshotEntries: 20,
	TrailingEntries: 5,
	ChunkBytes:      7,
}

func newSimulation(t failer, seed uint64, founders, extra int) *simulation {
	s := &simulation{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 0)),
		founder: founders,
		cuts:    map[[2]int]bool{},
		delay:   10 * time.Millisecond,
		timing:  DefaultTiming(),
		grain:   simulationGrain,
		leaders: map[uint64]string{},
	}
	for i := range founders + extra {
		n := &node{
			endpoint: Endpoint{ID: string(rune('a' + i)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)},
			folder:   faulty.NewFolder(),
			rate:     100,
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

// clock returns the node's time.
func (s *simulation) clock(n *node) time.Time {
	return time.Unix(1_000_000, 0).Add(s.now * time.Duration(n.rate) / 100)
}

// run lets time pass.
func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.now += s.grain
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
		s.checkLeases()
	}
}

func (s *simulation) deliverDue() {
	var due, later []flight
	for _, f := range s.network {
		n := s.nodes[f.to]
		switch {
		case f.at > s.now || (n.core != nil && s.now < n.pausedUntil):
			later = append(later, f)
		case n.core != nil:
			due = append(due, f)
		}
	}
	s.network = later
	slices.SortStableFunc(due, func(a, b flight) int { return int(a.at - b.at) })
	for _, f := range due {
		s.step(f.to, messageEvent{message: f.message})
	}
}

// step runs an event and checks what came of it.
func (s *simulation) step(i int, e event) effects {
	n := s.nodes[i]
	out := n.core.Step(s.clock(n), e)
	if len(out.writes) > 0 {
		n.writes = append(n.writes, out.writes...)
		n.lastWrite = out.lastWrite
		if n.syncAt == 0 {
			n.syncAt = s.now + s.grain + time.Duration(s.random.Int64N(int64(n.diskDelay)+1))
		}
	}
	for _, m := range out.messages {
		s.post(i, m)
	}
	if out.restore != nil {
		s.installs++
		n.applied = 0
		s.checkSnapshot(n, *out.restore)
	}
	for _, entry := range out.committed {
		s.commit(n, entry)
	}
	s.checkLeader(n)
	if n.applied >= int(simulationLimits.SnapshotEntries) {
		n.applied = 0
		s.step(i, compactEvent{data: s.machineState(n.core.delivered)})
	}
	return out
}

// post puts a message on the network, which may lose, delay or double it.
func (s *simulation) post(from int, m Message) {
	to := slices.IndexFunc(s.nodes, func(n *node) bool { return n.endpoint.Address == m.To.Address })
	if to < 0 || s.cuts[[2]int{from, to}] || s.random.IntN(100) < s.loss {
		return
	}
	// The message goes through the wire's codec, as between processes.
	decoded, err := decodeMessage(encodeMessage(m))
	if err != nil {
		s.t.Fatalf("message %+v: %v", m, err)
	}
	copies := 1
	if s.random.IntN(100) < s.doubling {
		copies = 2
	}
	for range copies {
		delay := s.delay
		if s.random.IntN(100) < s.late {
			delay = lateDelay
		}
		at := s.now + time.Millisecond + time.Duration(s.random.Int64N(int64(delay)))
		s.network = append(s.network, flight{at: at, to: to, message: decoded})
	}
}

// heal ends every fault and starts every node.
func (s *simulation) heal() {
	s.cuts = map[[2]int]bool{}
	s.loss, s.doubling, s.late, s.delay = 0, 0, 0, 10*time.Millisecond
	for i, n := range s.nodes {
		n.diskDelay, n.pausedUntil = 0, 0
		if n.core == nil {
			s.start(i)
		}
	}
}

// leader returns the node that holds the lease, negative for none.
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
	s.checkRecovers()
	if s.elected != 1 {
		t.Fatalf("%d leaders were elected, want 1", s.elected)
	}
}
