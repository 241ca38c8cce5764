package ledger

import (
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// sendHeartbeats starts a round of heartbeats.
func (c *core) sendHeartbeats(now time.Time) {
	c.heartbeatAt = now.Add(c.config.timing.Heartbeat)
	c.round++
	c.roundSentAt[c.round] = now
	for round, sentAt := range c.roundSentAt {
		if now.Sub(sentAt) > c.config.timing.ElectionMax {
			delete(c.roundSentAt, round)
		}
	}
	for _, p := range c.progress {
		c.send(endpointOf(p.member), Heartbeat{
			Round:       c.round,
			Commit:      min(c.commit, p.match),
			DigestIndex: c.digests.index,
			Digest:      c.digests.digest,
		})
	}
}

func (c *core) receiveHeartbeat(now time.Time, m Message, b Heartbeat) {
	if !c.followLeader(now, m) {
		return
	}
	c.advanceCommit(max(c.commit, b.Commit))
	c.digests.verify(b.DigestIndex, b.Digest)
	c.send(m.From, HeartbeatReply{Round: b.Round})
}

func (c *core) receiveHeartbeatReply(now time.Time, m Message, b HeartbeatReply) {
	p := c.progressOf(m.From)
	if p == nil {
		return
	}
	p.lastContact = now
	sentAt, ok := c.roundSentAt[b.Round]
	if ok && sentAt.After(p.ackedHeartbeatAt) {
		p.ackedHeartbeatAt = sentAt
	}
	c.sendEntries(now, p)
}

// quorumContact returns the latest time for which a quorum of voters has
// acknowledged a heartbeat sent at that time or later. Their promises to vote
// for no other candidate began no earlier. This instance counts with the
// current time. The result is zero if no quorum has acknowledged a heartbeat.
func (c *core) quorumContact(now time.Time) time.Time {
	var contacts []time.Time
	for _, m := range c.log.members() {
		if m.Role != hornbeamwell.LedgerVoter {
			continue
		}
		switch p := c.progress[m.ID]; {
		case m.Identity == c.config.self.Identity:
			contacts = append(contacts, now)
		case p != nil && p.member.Identity == m.Identity:
			contacts = append(contacts, p.ackedHeartbeatAt)
		default:
			contacts = append(contacts, time.Time{})
		}
	}
	if len(contacts) == 0 {
		return time.Time{}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[len(contacts)/2]
}

// lastQuorumContact returns the quorumContact of this leader, or the time of
// its election if that is later.
func (c *core) lastQuorumContact(now time.Time) time.Time {
	contact := c.quorumContact(now)
	if contact.Before(c.leaderSince) {
		return c.leaderSince
	}
	return contact
}

// leaseEnd returns the time until which no other instance can lead. It is zero
// if this instance does not lead, has committed nothing in its term, or no
// quorum has acknowledged a heartbeat.
func (c *core) leaseEnd(now time.Time) time.Time {
	if c.role != RoleLeader || !c.hasCommittedInTerm() {
		return time.Time{}
	}
	contact := c.quorumContact(now)
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(c.config.timing.lease())
}

// hasCommittedInTerm reports whether an entry of the current term is committed,
// so that the commit index covers all earlier terms.
func (c *core) hasCommittedInTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.vote.Term
}

// checkQuorum makes this leader a follower if it had no contact with a quorum
// for the maximum election timeout.
func (c *core) checkQuorum(now time.Time) {
	if now.Sub(c.lastQuorumContact(now)) <= c.config.timing.ElectionMax {
		return
	}
	c.becomeFollower(now, c.vote.Term, Endpoint{})
}
