package ledger

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// recordLeaderContact renews the promise to vote for no other candidate for the
// minimum election timeout and resets the election timer. A start counts as
// contact with a leader, because the instance may have given the promise before
// it stopped.
func (c *core) recordLeaderContact(now time.Time) {
	c.refuseVotesUntil = now.Add(c.config.timing.ElectionMin)
	c.resetElection(now)
}

// resetElection sets the election timer to a random time between the minimum
// and the maximum election timeout.
func (c *core) resetElection(now time.Time) {
	timing := c.config.timing
	jitter := time.Duration(c.config.random.Int64N(int64(timing.ElectionMax - timing.ElectionMin)))
	c.electionAt = now.Add(timing.ElectionMin + jitter)
	c.hasWaited = false
}

const (
	// minPreVoteBackoff and maxPreVoteBackoff bound the time between two rounds
	// of pre-votes. A pre-vote does not affect the other instances; the random
	// spread makes it unlikely that two instances start elections within the
	// same few milliseconds.
	minPreVoteBackoff = 40 * time.Millisecond
	maxPreVoteBackoff = 160 * time.Millisecond
)

// mayVote reports whether the promise to the leader allows a vote for the
// candidate. On the leader itself, it reports whether the leader had no contact
// with a quorum for as long as that promise lasts.
func (c *core) mayVote(now time.Time, candidate Endpoint) bool {
	if c.role == RoleLeader {
		return !now.Before(c.lastQuorumContact(now).Add(c.config.timing.ElectionMin))
	}
	if candidate.Identity == c.leader.Identity && candidate.Identity != "" {
		return true
	}
	return !now.Before(c.refuseVotesUntil)
}

// startPreVote starts a round of pre-votes, which shows whether an election
// could be won. The next round follows after a short backoff rather than an
// election timeout, because the promises of the other voters end one after the
// other.
func (c *core) startPreVote(now time.Time) {
	spread := maxPreVoteBackoff - minPreVoteBackoff
	c.electionAt = now.Add(minPreVoteBackoff + time.Duration(c.config.random.Int64N(int64(spread))))
	c.role = RolePreCandidate
	c.leader = Endpoint{}
	c.votes = map[string]bool{c.config.self.Identity: true}
	if c.hasVoteQuorum() {
		c.startElection(now, false)
		return
	}
	request := VoteRequest{PreVote: true, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm()}
	c.forEachPeer(func(m hornbeamwell.LedgerMember) {
		message := c.message(endpointOf(m), request)
		message.Term = c.vote.Term + 1
		c.out.messages = append(c.out.messages, message)
	}, hornbeamwell.LedgerVoter)
}

// startElection enters the next term and requests votes. isTransfer is true if
// the last leader asked for the election.
func (c *core) startElection(now time.Time, isTransfer bool) {
	metricElections.Inc()
	c.role = RoleCandidate
	c.leader = Endpoint{}
	c.votes = map[string]bool{}
	c.resetElection(now)
	c.saveVote(hornbeamwell.LedgerVote{Term: c.vote.Term + 1, Candidate: c.config.self.Identity})
	request := VoteRequest{Transfer: isTransfer, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm()}
	c.forEachPeer(func(m hornbeamwell.LedgerMember) {
		c.sendAfterSync(endpointOf(m), request)
	}, hornbeamwell.LedgerVoter)
	// The vote for itself counts once it is durable, like any other.
	c.sendAfterSync(c.config.self, VoteReply{Granted: true})
}

func (c *core) receiveVoteRequest(now time.Time, m Message, b VoteRequest) {
	upToDate := b.LastTerm > c.log.lastTerm() || (b.LastTerm == c.log.lastTerm() && b.LastIndex >= c.log.lastIndex())
	if b.PreVote {
		c.replyPreVote(m, upToDate)
		return
	}
	canVote := c.vote.Candidate == "" || c.vote.Candidate == m.From.Identity
	granted := upToDate && canVote && c.role != RoleLeader
	if granted {
		c.role = RoleFollower
		c.resetElection(now)
		if c.vote.Candidate == "" {
			c.saveVote(hornbeamwell.LedgerVote{Term: m.Term, Candidate: m.From.Identity})
		}
	}
	c.sendAfterSync(m.From, VoteReply{Granted: granted})
}

func (c *core) replyPreVote(m Message, upToDate bool) {
	granted := upToDate && m.Term > c.vote.Term
	reply := c.message(m.From, VoteReply{PreVote: true, Granted: granted})
	if granted {
		reply.Term = m.Term
	}
	c.out.messages = append(c.out.messages, reply)
}

func (c *core) receiveVoteReply(now time.Time, m Message, b VoteReply) {
	expected := RoleCandidate
	if b.PreVote {
		expected = RolePreCandidate
	}
	if c.role != expected || !b.Granted {
		return
	}
	c.votes[m.From.Identity] = true
	if !c.hasVoteQuorum() {
		return
	}
	if b.PreVote {
		c.startElection(now, false)
		return
	}
	c.becomeLeader(now)
}

// hasVoteQuorum reports whether a quorum of voters granted their votes.
func (c *core) hasVoteQuorum() bool {
	granted, voters := 0, 0
	for _, m := range c.log.members() {
		if m.Role != hornbeamwell.LedgerVoter {
			continue
		}
		voters++
		if c.votes[m.Identity] {
			granted++
		}
	}
	return granted > voters/2
}

// becomeLeader makes this instance the leader of the term and appends a no-op
// entry.
func (c *core) becomeLeader(now time.Time) {
	if c.vote.Candidate != c.config.self.Identity {
		hornbeamwell.ReportViolation("ledger_leader_voted_itself", "term %d", c.vote.Term)
		return
	}
	c.role = RoleLeader
	c.leader = c.config.self
	c.votes = nil
	c.leaderSince = now
	c.round = 0
	c.roundSentAt = map[uint64]time.Time{}
	c.joining = map[string]joiningMember{}
	c.progress = map[string]*progress{}
	c.updateProgress(now)
	c.appendAsLeader(hornbeamwell.LedgerNoop, [][]byte{nil})
	c.sendHeartbeats(now)
	c.replicate(now)
	c.advanceLeaderCommit(now)
}
