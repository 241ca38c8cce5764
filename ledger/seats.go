package ledger

import (
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// defaultCatchUp is the CatchUp of an instance whose options have none.
	defaultCatchUp = 12 * time.Second
	// leaveTTL is the time for which a leave request is valid.
	leaveTTL = time.Second
)

// silenceTimeout returns the time without contact after which a voter is replaced by a
// learner that has caught up. The other half of CatchUp is left for an election, two
// changes of the members, and the catching up of a learner that has just started.
func (c *core) silenceTimeout() time.Duration { return c.config.catchUp / 2 }

// assignSeats makes the next change of the members that brings the voters to
// maxVoters instances that run. Without seeds, it only promotes learners.
//
// A learner takes the seat of a leaving voter before that one is demoted, so that no fewer
// disks than before may be lost meanwhile. A silent voter is removed before the learner is
// promoted, because each voter that may not reply makes a commit less likely.
func (c *core) assignSeats(now time.Time) {
	if !c.mayChange() {
		return
	}
	if c.config.seeds == nil {
		c.promoteLearner(now)
		return
	}
	switch voters := c.voterCount(); {
	case voters > c.config.maxVoters:
		c.demoteSurplusVoter(now)
	case voters < c.config.maxVoters || c.hasLeavingVoter(now):
		if !c.promoteLearner(now) {
			c.removeSilentLearner(now)
		}
	case c.readyLearner(now) >= 0:
		c.removeSilentVoter(now)
	default:
		c.removeSilentLearner(now)
	}
}

// readyLearner returns the position of a learner that has synced every committed entry,
// replied within the minimum election timeout and is not leaving, or -1.
func (c *core) readyLearner(now time.Time) int {
	return slices.IndexFunc(c.log.members(), func(m hornbeamwell.LedgerMember) bool {
		p := c.progress[m.ID]
		return m.Role == hornbeamwell.LedgerLearner && p != nil && p.match >= c.commit &&
			now.Sub(p.lastContact) <= c.config.timing.ElectionMin && !p.isLeaving(now)
	})
}

// promoteLearner promotes a learner that is ready. It reports whether there is one.
func (c *core) promoteLearner(now time.Time) bool {
	at := c.readyLearner(now)
	if at < 0 {
		return false
	}
	members := slices.Clone(c.log.members())
	members[at].Role = hornbeamwell.LedgerVoter
	c.appendIfActive(now, members)
	return true
}

// demoteSurplusVoter demotes a voter that is leaving, or else the one whose last reply is
// the oldest.
func (c *core) demoteSurplusVoter(now time.Time) {
	var surplus *progress
	for _, p := range c.progress {
		if !c.isVoter(p.member.Identity) {
			continue
		}
		if surplus == nil || p.isLeaving(now) && !surplus.isLeaving(now) ||
			p.isLeaving(now) == surplus.isLeaving(now) && p.lastContact.Before(surplus.lastContact) {
			surplus = p
		}
	}
	if surplus == nil {
		return
	}
	members := slices.Clone(c.log.members())
	at := slices.IndexFunc(members, func(m hornbeamwell.LedgerMember) bool { return m.Identity == surplus.member.Identity })
	members[at].Role = hornbeamwell.LedgerLearner
	c.appendIfActive(now, members)
}

// removeSilentVoter removes a voter without contact for silenceTimeout.
func (c *core) removeSilentVoter(now time.Time) { c.removeSilent(now, hornbeamwell.LedgerVoter) }

// removeSilentLearner removes a learner without contact for silenceTimeout. It joins again
// when it is back, and otherwise would take one of the places of learners for good.
func (c *core) removeSilentLearner(now time.Time) { c.removeSilent(now, hornbeamwell.LedgerLearner) }

func (c *core) removeSilent(now time.Time, role hornbeamwell.LedgerRole) {
	members := c.log.members()
	at := slices.IndexFunc(members, func(m hornbeamwell.LedgerMember) bool {
		p := c.progress[m.ID]
		return m.Role == role && p != nil && c.silence(now, p) >= c.silenceTimeout()
	})
	if at < 0 {
		return
	}
	if c.appendIfActive(now, slices.Delete(slices.Clone(members), at, at+1)) && role == hornbeamwell.LedgerVoter {
		metricMembersReplaced.Inc()
	}
}

// appendIfActive appends a list of members that has an active quorum. It reports whether
// it did.
func (c *core) appendIfActive(now time.Time, members []hornbeamwell.LedgerMember) bool {
	if !c.hasActiveQuorum(now, members) {
		return false
	}
	c.appendMembers(now, members)
	return true
}

// silence returns the time without contact to the member. It counts from this leader's
// election or from the addition of the member at the earliest.
func (c *core) silence(now time.Time, p *progress) time.Duration {
	if p.lastContact.Before(p.since) {
		return now.Sub(p.since)
	}
	return now.Sub(p.lastContact)
}

// isLeaving reports whether the member has asked to leave within leaveTTL.
func (p *progress) isLeaving(now time.Time) bool { return now.Before(p.leavingUntil) }

func (c *core) hasLeavingVoter(now time.Time) bool {
	for _, p := range c.progress {
		if c.isVoter(p.member.Identity) && p.isLeaving(now) {
			return true
		}
	}
	return false
}

// isForming reports whether the first command has to wait, because instances that start
// together for the first time have not all become voters. Those that have not joined within
// CatchUp of the leader's election count as lost, and are not waited for.
func (c *core) isForming(now time.Time) bool {
	if c.config.seeds == nil || c.role != RoleLeader || c.voterCount() >= c.config.maxVoters {
		return false
	}
	return now.Sub(c.leaderSince) < c.config.catchUp && !c.log.hasCommand()
}

// leave makes this instance ask for another voter in its place until hasLeft.
func (c *core) leave(now time.Time) {
	c.isLeaving = true
	c.leaveAt = time.Time{}
	c.requestLeave(now)
}

// hasLeft reports whether no learner is to take the seat of this instance any more. In a
// cluster whose members are added by hand, none ever does.
func (c *core) hasLeft() bool {
	if c.config.seeds == nil || c.mayLeave || !c.inCluster() {
		return true
	}
	members := c.log.membersAt(c.commit)
	self, found := memberByID(members, c.config.self.ID)
	if !found || self.Role != hornbeamwell.LedgerVoter {
		return true
	}
	return !slices.ContainsFunc(c.log.members(), func(m hornbeamwell.LedgerMember) bool {
		return m.Role == hornbeamwell.LedgerLearner
	}) && c.voterCount() <= c.config.maxVoters
}

// requestLeave asks the leader to give the seat of this leaving instance to a learner. A
// leaving leader gives up its leadership first.
func (c *core) requestLeave(now time.Time) {
	if !c.isLeaving || c.hasLeft() || now.Before(c.leaveAt) {
		return
	}
	c.leaveAt = now.Add(c.config.timing.Heartbeat)
	switch {
	case c.role == RoleLeader && c.hasCommittedInTerm():
		c.mayLeave = !c.hasSuccessor(now)
		c.stepDown(now)
	case c.role == RoleFollower && c.leader.Identity != "":
		c.send(c.leader, LeaveRequest{})
	}
}

// receiveLeaveRequest records that a member leaves. It replies that the member need not
// wait if it has no vote, or if there is no learner that may take its place.
func (c *core) receiveLeaveRequest(now time.Time, m Message) {
	if c.role != RoleLeader {
		return
	}
	p := c.progressOf(m.From)
	if p == nil {
		c.send(m.From, LeaveReply{})
		return
	}
	p.leavingUntil = now.Add(leaveTTL)
	hasVote := p.member.Role == hornbeamwell.LedgerVoter || c.log.membersIndex() > c.commit
	if !hasVote || c.voterCount() <= c.config.maxVoters && !c.hasSuccessor(now) {
		c.send(m.From, LeaveReply{})
	}
}

// hasSuccessor reports whether there is a learner that may be promoted, now or once it has
// caught up: it runs, as far as the maximum election timeout shows.
func (c *core) hasSuccessor(now time.Time) bool {
	for _, p := range c.progress {
		runs := c.silence(now, p) <= c.config.timing.ElectionMax
		if p.member.Role == hornbeamwell.LedgerLearner && runs && !p.isLeaving(now) {
			return true
		}
	}
	return false
}
