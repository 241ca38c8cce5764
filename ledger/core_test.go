package ledger

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

var (
	testStart   = time.Unix(1_000_000, 0)
	testMembers = []hornbeamwell.LedgerMember{testMember("a"), testMember("b"), testMember("c")}
)

func testMember(id string) hornbeamwell.LedgerMember {
	return hornbeamwell.LedgerMember{
		ID:       id,
		Identity: "identity of " + id,
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[0]}), 1),
		Role:     hornbeamwell.LedgerVoter,
	}
}

// newTestCore returns the core of member b and the time at which the promise
// that it gave at its start ends.
func newTestCore(t *testing.T) (*core, time.Time) {
	self := endpointOf(testMembers[1])
	c, err := newCore(coreConfig{
		self:   self,
		timing: DefaultTiming(),
		limits: DefaultLimits(),
		random: rand.New(rand.NewPCG(1, 2)),
	}, hornbeamwell.LedgerState{
		Identity: self.Identity,
		Vote:     hornbeamwell.LedgerVote{Term: 1},
		Snapshot: hornbeamwell.LedgerSnapshot{Cluster: "cluster", Index: 1, Term: 1, Members: testMembers},
	}, testStart)
	if err != nil {
		t.Fatal(err)
	}
	return c, testStart.Add(DefaultTiming().ElectionMin)
}

func fromA(term uint64, body Body) messageEvent {
	return messageEvent{message: Message{From: endpointOf(testMembers[0]), To: endpointOf(testMembers[1]), Cluster: "cluster", Term: term, Body: body}}
}

func expectMessages(t *testing.T, out effects, want ...Body) {
	t.Helper()
	got := make([]Body, 0, len(out.messages))
	for _, m := range out.messages {
		got = append(got, m.Body)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("messages are %+v, want %+v", got, want)
	}
}

func TestVoteReplyWaitsForSync(t *testing.T) {
	c, now := newTestCore(t)
	out := c.Step(now, fromA(2, VoteRequest{LastIndex: 1, LastTerm: 1}))
	expectMessages(t, out)
	expectMessages(t, c.Step(now, syncedEvent{write: out.lastWrite - 1}))
	expectMessages(t, c.Step(now, syncedEvent{write: out.lastWrite}), VoteReply{Granted: true})
}

func TestAppendReplyWaitsForSync(t *testing.T) {
	c, now := newTestCore(t)
	entry := hornbeamwell.LedgerEntry{Index: 2, Term: 2, Kind: hornbeamwell.LedgerNoop}
	out := c.Step(now, fromA(2, Append{PreviousIndex: 1, PreviousTerm: 1, Entries: []hornbeamwell.LedgerEntry{entry}}))
	expectMessages(t, out)
	expectMessages(t, c.Step(now, syncedEvent{write: out.lastWrite}), AppendReply{Match: 2})
}

func TestAppendBeforeCommitIndexIsAccepted(t *testing.T) {
	c, now := newTestCore(t)
	entries := []hornbeamwell.LedgerEntry{{Index: 2, Term: 2, Kind: hornbeamwell.LedgerNoop}, {Index: 3, Term: 2, Kind: hornbeamwell.LedgerNoop}}
	c.Step(now, fromA(2, Append{PreviousIndex: 1, PreviousTerm: 1, Entries: entries[:1], Commit: 2}))
	out := c.Step(now, fromA(2, Append{PreviousIndex: 1, PreviousTerm: 1, Entries: entries, Commit: 2}))
	if out = c.Step(now, syncedEvent{write: out.lastWrite}); c.log.lastIndex() != 3 {
		t.Fatalf("the log ends at %d, want 3", c.log.lastIndex())
	}
	expectMessages(t, out, AppendReply{Match: 2}, AppendReply{Match: 3})
}

func TestOneVotePerTerm(t *testing.T) {
	c, now := newTestCore(t)
	out := c.Step(now, fromA(2, VoteRequest{LastIndex: 1, LastTerm: 1}))
	c.Step(now, syncedEvent{write: out.lastWrite})
	rival := fromA(2, VoteRequest{LastIndex: 9, LastTerm: 1})
	rival.message.From = endpointOf(testMembers[2])
	expectMessages(t, c.Step(now, rival), VoteReply{})
	expectMessages(t, c.Step(now, fromA(2, VoteRequest{LastIndex: 1, LastTerm: 1})), VoteReply{Granted: true})
}

func TestNoVoteForOutdatedLog(t *testing.T) {
	c, now := newTestCore(t)
	entry := hornbeamwell.LedgerEntry{Index: 2, Term: 2, Kind: hornbeamwell.LedgerNoop}
	out := c.Step(now, fromA(2, Append{PreviousIndex: 1, PreviousTerm: 1, Entries: []hornbeamwell.LedgerEntry{entry}}))
	c.Step(now, syncedEvent{write: out.lastWrite})
	later := now.Add(DefaultTiming().ElectionMin)
	for _, request := range []VoteRequest{{LastIndex: 1, LastTerm: 1}, {LastIndex: 9, LastTerm: 1}} {
		out := c.Step(later, fromA(c.vote.Term+1, request))
		out.messages = append(out.messages, c.Step(later, syncedEvent{write: out.lastWrite}).messages...)
		expectMessages(t, out, VoteReply{})
	}
}

// TestEntryOfOlderTermIsNotCommittedByCount guards against the loss of an entry
// that a quorum holds but that is of an older term: a later leader may still
// replace it, so it must not be committed by its count alone.
func TestEntryOfOlderTermIsNotCommittedByCount(t *testing.T) {
	c, now := newTestCore(t)
	old := hornbeamwell.LedgerEntry{Index: 2, Term: 2, Kind: hornbeamwell.LedgerNoop}
	c.Step(now, fromA(2, Append{PreviousIndex: 1, PreviousTerm: 1, Entries: []hornbeamwell.LedgerEntry{old}}))
	now = now.Add(DefaultTiming().ElectionMax)
	c.Step(now, tickEvent{})
	c.Step(now, fromA(3, VoteReply{PreVote: true, Granted: true}))
	c.Step(now, syncedEvent{write: c.durability.written})
	c.Step(now, fromA(3, VoteReply{Granted: true}))
	c.Step(now, syncedEvent{write: c.durability.written})
	if c.role != RoleLeader || c.log.lastIndex() != 3 {
		t.Fatalf("role %s with last entry %d, want a leader with entry 3", c.role, c.log.lastIndex())
	}
	for match, want := range map[uint64]uint64{2: 1, 3: 3} {
		leader := *c
		leader.progress = map[string]*progress{"a": {member: testMembers[0]}}
		leader.Step(now, fromA(3, AppendReply{Match: match}))
		if leader.commit != want {
			t.Errorf("with match %d the commit index is %d, want %d", match, leader.commit, want)
		}
	}
}

// TestMemberIsUnreachedAfterConnectionLoss guards against a member that counts as
// in sync although its process has just ended: a reply that it sent before may
// arrive after the connection to it broke.
func TestMemberIsUnreachedAfterConnectionLoss(t *testing.T) {
	c, now := newTestCore(t)
	c.role = RoleLeader
	c.roundSentAt = map[uint64]time.Time{}
	c.updateProgress(now)
	reachedAt := func() time.Time { return c.status(now).Members[0].LastContact }
	heartbeat := func() messageEvent {
		c.sendHeartbeats(now)
		return fromA(c.vote.Term, HeartbeatReply{Round: c.round})
	}
	c.Step(now, heartbeat())
	if !reachedAt().Equal(now) {
		t.Fatalf("last contact at %v, want %v", reachedAt(), now)
	}
	late := heartbeat()
	now = now.Add(time.Millisecond)
	c.Step(now, connectionLostEvent{id: "a"})
	c.Step(now, late)
	if !reachedAt().IsZero() {
		t.Fatalf("last contact at %v after the connection broke, want none", reachedAt())
	}
	now = now.Add(time.Millisecond)
	c.Step(now, heartbeat())
	if !reachedAt().Equal(now) {
		t.Fatalf("last contact at %v after a new heartbeat, want %v", reachedAt(), now)
	}
}

func TestNoVoteWithinElectionMinAfterStart(t *testing.T) {
	c, now := newTestCore(t)
	request := fromA(2, VoteRequest{LastIndex: 1, LastTerm: 1})
	out := c.Step(now.Add(-time.Millisecond), request)
	if len(out.messages)+len(out.writes) > 0 {
		t.Fatalf("reply or write within the promise: %+v", out)
	}
}

func TestMessageToPreviousIdentityIsNotHandled(t *testing.T) {
	c, now := newTestCore(t)
	for _, body := range []Body{
		VoteRequest{LastIndex: 9, LastTerm: 9},
		Append{PreviousIndex: 1, PreviousTerm: 1},
		Heartbeat{Round: 1},
		SnapshotChunk{Snapshot: hornbeamwell.LedgerSnapshot{Index: 7, Term: 2}},
	} {
		e := fromA(9, body)
		e.message.To.Identity = "identity before the disk was lost"
		out := c.Step(now, e)
		expectMessages(t, out, Identification{InCluster: true})
		if len(out.writes) > 0 || c.vote.Term != 1 {
			t.Fatalf("%T to another identity changed the state: %+v", body, out)
		}
	}
}

func TestDivergentDigestViolatesInvariant(t *testing.T) {
	c, now := newTestCore(t)
	entry := hornbeamwell.LedgerEntry{Index: 2, Term: 2, Kind: hornbeamwell.LedgerNoop}
	c.Step(now, fromA(2, Append{PreviousIndex: 1, PreviousTerm: 1, Entries: []hornbeamwell.LedgerEntry{entry}, Commit: 2}))
	own := c.digests.digest
	c.Step(now, fromA(2, Heartbeat{Round: 1, Commit: 2, DigestIndex: 2, Digest: own}))
	defer func() {
		if recover() == nil {
			t.Fatal("a digest that differs from the leader's was not detected")
		}
	}()
	c.Step(now, fromA(2, Heartbeat{Round: 2, Commit: 2, DigestIndex: 2, Digest: own + 1}))
}

func TestSecondLeaderOfTermIsNotFollowed(t *testing.T) {
	hornbeamwell.PanicOnViolation.Store(false)
	defer hornbeamwell.PanicOnViolation.Store(true)
	c, now := newTestCore(t)
	c.Step(now, fromA(2, Heartbeat{Round: 1}))
	entry := hornbeamwell.LedgerEntry{Index: 2, Term: 2, Kind: hornbeamwell.LedgerNoop}
	rival := fromA(2, Append{PreviousIndex: 1, PreviousTerm: 1, Entries: []hornbeamwell.LedgerEntry{entry}})
	rival.message.From = endpointOf(testMembers[2])
	if out := c.Step(now, rival); len(out.messages)+len(out.writes) > 0 || c.leader.ID != "a" {
		t.Fatalf("followed %s: %+v", c.leader.ID, out)
	}
}

func TestMessageOfAnotherClusterIsDropped(t *testing.T) {
	c, now := newTestCore(t)
	e := fromA(9, Heartbeat{Round: 1})
	e.message.Cluster = "another cluster"
	if out := c.Step(now, e); len(out.messages)+len(out.writes) > 0 {
		t.Fatalf("message was handled: %+v", out)
	}
}
