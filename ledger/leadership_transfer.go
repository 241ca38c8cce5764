package ledger

import "time"

// stepDown ends this instance's leadership, and with it its lease, and asks the
// responsive voter with the longest known log to start an election. That voter
// need not wait for the promises to this instance to end.
func (c *core) stepDown(now time.Time) {
	if c.role != RoleLeader {
		return
	}
	var successor *progress
	for _, p := range c.progress {
		if !c.isVoter(p.member.Identity) || p.isLeaving(now) || now.Sub(p.lastContact) > c.config.timing.ElectionMin {
			continue
		}
		if successor == nil || p.match > successor.match {
			successor = p
		}
	}
	c.becomeFollower(now, c.vote.Term, Endpoint{})
	if successor != nil {
		c.send(endpointOf(successor.member), LeadershipTransfer{})
	}
}

// receiveLeadershipTransfer starts an election at once, as the leader of the
// term requested.
func (c *core) receiveLeadershipTransfer(now time.Time, m Message) {
	isFromLeader := c.role == RoleFollower && c.leader.Identity == m.From.Identity
	if isFromLeader && c.mayCampaign() {
		c.startElection(now, true)
	}
}
