package ledger

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Role is the role of an instance in its term.
type Role string

// The roles of an instance.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// coreConfig is the configuration of a core.
type coreConfig struct {
	self Endpoint
	// zone is the availability zone of this instance.
	zone string
	// initialVoters are the voters of a new cluster, ordered by id.
	initialVoters []hornbeamwell.LedgerMember
	// seeds returns the addresses to which join requests are sent. It is nil if
	// members are added by hand only.
	seeds func() []netip.AddrPort
	// minCopies is the least number of voters that must have synced an entry
	// before it is committed, in addition to the quorum rule. If there are fewer
	// voters, all of them must have synced it. Values below 1 count as 1.
	minCopies int
	// maxVoters is the number of voters up to which learners are promoted if
	// seeds is set. Without seeds there is no limit.
	maxVoters int
	// catchUp is the time after which an instance that has joined has the seat of a
	// voter that is gone. It is greater than zero.
	catchUp time.Duration
	timing  Timing
	limits  Limits
	random  *rand.Rand
	// newClusterIdentity returns a random identity for a new cluster.
	newClusterIdentity func() string
}

// core is the protocol state machine of one instance. It does no I/O and reads
// no clock. It is not safe for concurrent use.
type core struct {
	config coreConfig
	log    *entryLog
	vote   hornbeamwell.LedgerVote
	role   Role
	// leader is the leader of the term, empty when none is known.
	leader Endpoint
	// commit is the last index known to be committed. It never decreases.
	commit uint64
	// delivered is the last index passed on to be applied to the state machine.
	// It never decreases and is at most commit.
	delivered uint64
	digests   digestChain

	// refuseVotesUntil is the end of the promise to the last known leader that
	// this instance votes for no other candidate.
	refuseVotesUntil time.Time
	electionAt       time.Time
	// tickedAt is the time of the last tick. hasWaited is true if the election timer ran out
	// during a delay of this process and was extended once.
	tickedAt  time.Time
	hasWaited bool
	// votes holds the identities of the instances that granted a vote or, to a
	// pre-candidate, a pre-vote.
	votes map[string]bool

	// The fields from progress to joining are used only while this instance
	// leads, except heartbeatAt, which also paces the identity requests of
	// bootstrap.
	progress    map[string]*progress
	round       uint64
	roundSentAt map[uint64]time.Time
	heartbeatAt time.Time
	leaderSince time.Time
	joining     map[string]joiningMember

	// joinAt is the time of the next join request, leaveAt that of the next leave request.
	joinAt, leaveAt time.Time
	// isLeaving is true once this instance is about to stop. mayLeave is true once the
	// leader has replied that it need not wait for a successor.
	isLeaving, mayLeave bool

	durability durability
	incoming   *incomingSnapshot
	// initialPeers are the states of the initial voters by id, kept until this instance
	// belongs to a cluster.
	initialPeers map[string]peerState
	// currentIdentities holds, by id, the identities that members sent. One that differs from
	// that of the list of members shows that the member has lost its disk.
	currentIdentities map[string]string
	out               effects
}

func newCore(config coreConfig, state hornbeamwell.LedgerState, now time.Time) (*core, error) {
	config.self.Identity = state.Identity
	log, err := newEntryLog(state.Snapshot, state.Entries)
	if err != nil {
		return nil, err
	}
	c := &core{
		config:       config,
		log:          log,
		vote:         state.Vote,
		role:         RoleFollower,
		commit:       state.Snapshot.Index,
		delivered:    state.Snapshot.Index,
		durability:   durability{index: log.lastIndex()},
		initialPeers: map[string]peerState{},

		currentIdentities: map[string]string{},
	}
	c.digests.reset(state.Snapshot.Index, state.Snapshot.Digest)
	c.recordLeaderContact(now)
	return c, nil
}

// Step applies one event to the state and returns the effects that the driver
// must carry out.
func (c *core) Step(now time.Time, e event) effects {
	c.out = effects{}
	switch e := e.(type) {
	case tickEvent:
		c.tick(now)
	case messageEvent:
		c.receive(now, e.message)
	case proposeEvent:
		c.propose(now, e.commands)
	case syncedEvent:
		c.completeWrites(now, e.write)
	case compactEvent:
		c.compact(e.data)
	case changeEvent:
		c.changeMember(now, e.change)
	case stepDownEvent:
		c.stepDown(now)
	case leaveEvent:
		c.leave(now)
	case connectionLostEvent:
		c.connectionLost(now, e.id)
	}
	c.receiveOwnMessages(now)
	c.deliver()
	c.out.lastWrite = c.durability.written
	return c.out
}

func (c *core) tick(now time.Time) {
	wasDelayed := !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > c.config.timing.ElectionMin/2
	c.tickedAt = now
	c.forgetIdentities()
	c.requestLeave(now)
	if c.role == RoleLeader {
		c.tickLeader(now)
		return
	}
	if !c.inCluster() {
		c.bootstrap(now)
	}
	c.join(now)
	if !c.mayCampaign() || now.Before(c.electionAt) {
		return
	}
	if wasDelayed && !c.hasWaited {
		// A leader that was delayed too, or whose messages are not read yet, is heard by then.
		c.hasWaited = true
		c.electionAt = now.Add(2 * c.config.timing.Heartbeat)
		return
	}
	c.startPreVote(now)
}

// receiveOwnMessages handles the messages that this instance sent to itself.
func (c *core) receiveOwnMessages(now time.Time) {
	for i := 0; i < len(c.out.messages); i++ {
		m := c.out.messages[i]
		if m.To.Identity != c.config.self.Identity {
			continue
		}
		c.out.messages = append(c.out.messages[:i:i], c.out.messages[i+1:]...)
		i--
		c.receive(now, m)
	}
}

// receive handles a message. It answers every identity request, and drops other
// messages that are for another instance or from another cluster. To a message
// for a former identity of this instance it replies with the current identity.
func (c *core) receive(now time.Time, m Message) {
	if _, ok := m.Body.(IdentityRequest); ok {
		c.sendIdentification(m.From)
		return
	}
	if m.To.ID != c.config.self.ID {
		return
	}
	if b, ok := m.Body.(Identification); ok && m.To.Identity == "" {
		c.receiveJoinRequest(now, m, b)
		return
	}
	if m.To.Identity != c.config.self.Identity {
		c.sendIdentification(m.From)
		return
	}
	if b, ok := m.Body.(Identification); ok {
		c.receiveIdentification(now, m, b)
		return
	}
	if c.inCluster() && m.Cluster != "" && m.Cluster != c.cluster() {
		return
	}
	if !c.acceptTerm(now, m) {
		return
	}
	switch b := m.Body.(type) {
	case VoteRequest:
		c.receiveVoteRequest(now, m, b)
	case VoteReply:
		c.receiveVoteReply(now, m, b)
	case Append:
		c.receiveAppend(now, m, b)
	case AppendReply:
		c.receiveAppendReply(now, m, b)
	case Heartbeat:
		c.receiveHeartbeat(now, m, b)
	case HeartbeatReply:
		c.receiveHeartbeatReply(now, m, b)
	case SnapshotChunk:
		c.receiveSnapshotChunk(now, m, b)
	case SnapshotReply:
		c.receiveSnapshotReply(now, m, b)
	case LeadershipTransfer:
		c.receiveLeadershipTransfer(now, m)
	case LeaveRequest:
		c.receiveLeaveRequest(now, m)
	case LeaveReply:
		c.mayLeave = c.isLeaving
	}
}

// acceptTerm compares the term of a message with that of this instance, which
// becomes a follower in the message's term if that is higher. Pre-vote
// requests, granted pre-votes, and vote requests that the promise to the leader
// forbids do not change the term. It reports whether the message is to be
// handled.
func (c *core) acceptTerm(now time.Time, m Message) bool {
	request, isVoteRequest := m.Body.(VoteRequest)
	reply, isVoteReply := m.Body.(VoteReply)
	switch {
	case isVoteRequest && !request.Transfer && !c.mayVote(now, m.From):
		return false
	case isVoteRequest && request.PreVote:
		return true
	case isVoteReply && reply.PreVote && reply.Granted:
		return m.Term == c.vote.Term+1
	case m.Term > c.vote.Term:
		c.becomeFollower(now, m.Term, Endpoint{})
		return !isVoteReply
	case m.Term < c.vote.Term:
		c.rejectOldTerm(m)
		return false
	}
	return true
}

// rejectOldTerm replies with the current term to a vote request, append,
// heartbeat or snapshot chunk of an older term.
func (c *core) rejectOldTerm(m Message) {
	switch m.Body.(type) {
	case Append, Heartbeat, SnapshotChunk:
		c.send(m.From, AppendReply{Rejected: true, Match: c.commit})
	case VoteRequest:
		c.send(m.From, VoteReply{})
	}
}

// becomeFollower enters a term as a follower. The leader may be unknown.
func (c *core) becomeFollower(now time.Time, term uint64, leader Endpoint) {
	if term > c.vote.Term {
		c.saveVote(hornbeamwell.LedgerVote{Term: term})
	}
	if c.role != RoleFollower || c.electionAt.IsZero() {
		c.resetElection(now)
	}
	c.role = RoleFollower
	c.leader = leader
	c.progress, c.roundSentAt, c.votes, c.joining = nil, nil, nil, nil
}

// followLeader accepts the sender as the leader of the term. It reports false
// if the term has another leader.
func (c *core) followLeader(now time.Time, m Message) bool {
	if c.role == RoleLeader || (c.leader.Identity != "" && c.leader.Identity != m.From.Identity) {
		hornbeamwell.ReportViolation("ledger_one_leader_per_term", "term %d has leaders %s and %s", c.vote.Term, c.leader.Identity, m.From.Identity)
		return false
	}
	if c.role != RoleFollower {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.leader = m.From
	c.recordLeaderContact(now)
	return true
}

// deliver passes newly committed entries on to be applied to the state machine.
func (c *core) deliver() {
	if c.commit == c.delivered {
		return
	}
	entries := c.log.between(c.delivered, c.commit)
	for _, e := range entries {
		c.digests.add(e)
	}
	c.out.committed = append(c.out.committed, entries...)
	c.delivered = c.commit
}

// advanceCommit raises the commit index.
func (c *core) advanceCommit(index uint64) {
	if index > c.log.lastIndex() {
		hornbeamwell.ReportViolation("ledger_commit_in_log", "commit %d is after the last entry %d", index, c.log.lastIndex())
		return
	}
	c.commit = max(c.commit, index)
}

// send sends a body to an endpoint without waiting for unsynced writes.
func (c *core) send(to Endpoint, body Body) {
	c.out.messages = append(c.out.messages, c.message(to, body))
}

func (c *core) message(to Endpoint, body Body) Message {
	return Message{From: c.config.self, To: to, Cluster: c.cluster(), Term: c.vote.Term, Body: body}
}

func (c *core) cluster() string { return c.log.snapshot.Cluster }

// inCluster reports whether this instance belongs to a cluster.
func (c *core) inCluster() bool { return c.log.snapshot.Index > 0 }
