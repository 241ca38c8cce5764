package ledger

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/disk"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
	"github.com/hornbeamwell/hornbeamwell/wire"
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
	elected, installs,
	replaced int
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

// node is one instance of a simulation.
type node struct {
	endpoint Endpoint
	folder   *faulty.Folder
	storage  *disk.Storage
	core     *core
	// rate is the speed of the node's clock in percent of true time.
	rate int
	// electionMax, if set, replaces the bound of the simulation's timing.
	electionMax time.Duration
	pausedUntil time.Duration
	writes      []hornbeamwell.LedgerWrite
	lastWrite   uint64
	syncAt      time.Duration
	diskDelay   time.Duration
	tickAt      time.Duration
	applied     int
}

const (
	simulationGrain = 5 * time.Millisecond
	lateDelay       = 3 * time.Second
)

var simulationLimits = Limits{
	BatchEntries:    4,
	BatchBytes:      1 << 10,
	Window:          3,
	Backlog:         64,
	CommandBytes:    1 << 10,
	SnapshotEntries: 20,
	KeptEntries:     5,
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

func (s *simulation) start(i int) {
	n := s.nodes[i]
	storage, err := disk.Open(n.folder, func() string {
		s.identities++
		return fmt.Sprintf("%s%d", n.endpoint.ID, s.identities)
	})
	if err != nil {
		s.t.Fatalf("node %s: %v", n.endpoint.ID, err)
	}
	state, err := storage.Load()
	if err != nil {
		s.t.Fatalf("node %s: %v", n.endpoint.ID, err)
	}
	config := coreConfig{
		self:       n.endpoint,
		timing:     s.timing,
		limits:     simulationLimits,
		random:     rand.New(rand.NewPCG(s.random.Uint64(), 0)),
		newCluster: func() string { return fmt.Sprintf("cluster %d", s.random.Uint64()) },
	}
	for _, f := range s.nodes[:s.founder] {
		config.founders = append(config.founders, hornbeamwell.LedgerMember{ID: f.endpoint.ID, Address: f.endpoint.Address})
	}
	if n.electionMax > 0 {
		config.timing.ElectionMax = n.electionMax
	}
	n.storage = storage
	n.endpoint.Identity = state.Identity
	if n.core, err = newCore(config, state, s.clock(n)); err != nil {
		s.t.Fatalf("node %s: %v", n.endpoint.ID, err)
	}
	n.writes, n.syncAt, n.applied = nil, 0, 0
	s.checkSnapshot(n, state.Snapshot)
}

// crash stops a node. What it had not synced may be lost in part.
func (s *simulation) crash(i int) {
	n := s.nodes[i]
	if n.core == nil {
		return
	}
	if len(n.writes) > 0 && s.random.IntN(2) == 0 {
		n.folder.FailSync(s.random.IntN(3))
		for _, w := range n.writes[:s.random.IntN(len(n.writes)+1)] {
			if n.storage.Write(w) != nil {
				break
			}
		}
		_ = n.storage.Sync()
	}
	n.folder.Crash(s.random)
	n.core = nil
}

// wipe replaces a node's disk by an empty one, if a quorum of every list of
// members that may be in force keeps its disks.
func (s *simulation) wipe(i int) bool {
	if len(s.history) == 0 {
		return false
	}
	if !s.keepsQuorum(s.members, i) {
		return false
	}
	for _, list := range s.appended {
		if list.index > foundingIndex+uint64(len(s.history)) && !s.keepsQuorum(list.members, i) {
			return false
		}
	}
	s.crash(i)
	s.nodes[i].folder = faulty.NewFolder()
	s.nodes[i].endpoint.Identity = ""
	s.replaced++
	return true
}

func (s *simulation) keepsQuorum(list []hornbeamwell.LedgerMember, lost int) bool {
	voters, kept := 0, 0
	for _, m := range list {
		if m.Role != hornbeamwell.LedgerVoter {
			continue
		}
		voters++
		for i, n := range s.nodes {
			if i != lost && n.endpoint.Identity == m.Identity {
				kept++
			}
		}
	}
	return voters == 0 || kept > voters/2
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

func (s *simulation) finishSync(i int) {
	n := s.nodes[i]
	for _, w := range n.writes {
		if err := n.storage.Write(w); err != nil {
			s.t.Fatalf("node %s: %v", n.endpoint.ID, err)
		}
	}
	if err := n.storage.Sync(); err != nil {
		s.t.Fatalf("node %s: %v", n.endpoint.ID, err)
	}
	n.writes, n.syncAt = nil, 0
	s.step(i, syncedEvent{write: n.lastWrite})
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

// commit compares a committed entry with the one history.
func (s *simulation) commit(n *node, e hornbeamwell.LedgerEntry) {
	n.applied++
	at := int(e.Index) - foundingIndex - 1
	if at > len(s.history) {
		s.t.Fatalf("node %s commits entry %d, the history ends at %d", n.endpoint.ID, e.Index, len(s.history)+foundingIndex)
	}
	if at < len(s.history) {
		if known := s.history[at]; known.Term != e.Term || string(known.Data) != string(e.Data) {
			s.t.Fatalf("two histories: node %s commits %+v, the history has %+v", n.endpoint.ID, e, known)
		}
		return
	}
	chain := digestChain{index: e.Index - 1}
	if at > 0 {
		chain.digest = s.digests[at-1]
	}
	chain.add(e)
	s.history = append(s.history, e)
	s.digests = append(s.digests, chain.digest)
	if e.Kind == hornbeamwell.LedgerMembership {
		members, err := wire.DecodeLedgerMembers(e.Data)
		if err != nil {
			s.t.Fatalf("entry %d: %v", e.Index, err)
		}
		s.members = members
	} else if s.members == nil {
		s.members = n.core.log.membersAt(e.Index)
	}
}

// machineState stands for the machine's state after an index.
func (s *simulation) machineState(index uint64) []byte {
	return fmt.Appendf(nil, "state after entry %d", index)
}

func (s *simulation) checkSnapshot(n *node, snapshot hornbeamwell.LedgerSnapshot) {
	if snapshot.Index <= foundingIndex {
		return
	}
	at := int(snapshot.Index) - foundingIndex - 1
	if at >= len(s.history) || s.digests[at] != snapshot.Digest || string(snapshot.Data) != string(s.machineState(snapshot.Index)) {
		s.t.Fatalf("node %s has a snapshot at %d that is not of the one history", n.endpoint.ID, snapshot.Index)
	}
}

// checkLeader checks that a term has one leader and that it has everything
// that was committed.
func (s *simulation) checkLeader(n *node) {
	c := n.core
	if c.role != RoleLeader {
		return
	}
	if c.log.membersIndex() > c.commit {
		s.appended = append(s.appended, membershipAt{index: c.log.membersIndex(), members: c.log.members()})
	}
	known, ok := s.leaders[c.vote.Term]
	if ok && known != n.endpoint.Identity {
		s.t.Fatalf("term %d has leaders %s and %s", c.vote.Term, known, n.endpoint.Identity)
	}
	if ok {
		return
	}
	s.elected++
	s.leaders[c.vote.Term] = n.endpoint.Identity
	for i := len(s.history) - 1; i >= 0; i-- {
		e := s.history[i]
		if e.Index < c.log.baseIndex {
			break
		}
		if term, ok := c.log.term(e.Index); !ok || term != e.Term {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.endpoint.ID, c.vote.Term, e.Index, e.Term)
		}
	}
}

// checkLeases checks that at most one node answers as leader, and that it knows
// everything that was committed.
func (s *simulation) checkLeases() {
	holder := ""
	for _, n := range s.nodes {
		if n.core == nil || s.now < n.pausedUntil {
			continue
		}
		now := s.clock(n)
		if !now.Before(n.core.leaseEnd(now)) {
			continue
		}
		if holder != "" {
			s.t.Fatalf("%s and %s hold the lease at once", holder, n.endpoint.ID)
		}
		holder = n.endpoint.ID
		if last := uint64(len(s.history)) + foundingIndex; n.core.delivered < last {
			s.t.Fatalf("%s holds the lease at entry %d, entry %d is committed", n.endpoint.ID, n.core.delivered, last)
		}
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

// checkRecovers checks that a healthy network commits again, on every node, and
// that every member is a voter again.
func (s *simulation) checkRecovers() {
	s.heal()
	s.run(20 * time.Second)
	leader := s.leader()
	if leader < 0 {
		s.t.Fatalf("no leader 20 s after the faults:\n%s", s.describe())
	}
	out := s.step(leader, proposeEvent{commands: [][]byte{[]byte("after the faults")}})
	if out.refused != nil {
		s.t.Fatalf("leader refuses: %v", out.refused)
	}
	s.run(2 * time.Second)
	for _, m := range s.members {
		n := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.endpoint.ID == m.ID })]
		if m.Role != hornbeamwell.LedgerVoter || n.core.delivered < out.proposed.index {
			s.t.Fatalf("member %s is a %s and has applied %d of %d:\n%s", m.ID, m.Role, n.core.delivered, out.proposed.index, s.describe())
		}
	}
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
