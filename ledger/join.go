package ledger

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// joinInterval is the time between two requests to join.
	joinInterval = 300 * time.Millisecond
	// voterReplaceTimeout is the silence of a voter after which a learner that has
	// every entry takes its place. It is longer than the restart of a process
	// and shorter than the wait for a machine that does not come back.
	voterReplaceTimeout = 6 * time.Second
	// maxSpareLearners bounds the learners beyond the voters.
	maxSpareLearners = 8
)

// join asks the seeds and the known members to let this instance join, while it
// hears no leader.
func (c *core) join(now time.Time) {
	hasLeader := c.leader.Identity != "" && now.Before(c.electionAt)
	if c.config.seeds == nil || hasLeader || now.Before(c.joinAt) {
		return
	}
	c.joinAt = now.Add(joinInterval)
	requested := map[netip.AddrPort]bool{c.config.self.Address: true}
	request := func(address netip.AddrPort) {
		if requested[address] {
			return
		}
		requested[address] = true
		// An instance with seeds has its address as its id.
		c.send(Endpoint{ID: address.String(), Address: address}, Identification{InCluster: c.inCluster()})
	}
	for _, seed := range c.config.seeds() {
		request(seed)
	}
	for _, m := range c.log.members() {
		request(m.Address)
	}
}

// receiveJoinRequest lets the sender join, or hands its request to the leader.
func (c *core) receiveJoinRequest(now time.Time, m Message, b Identification) {
	if c.role == RoleLeader || !c.inCluster() {
		c.receiveIdentification(now, m, b)
		return
	}
	if c.leader.Identity != "" && now.Before(c.electionAt) && m.From.Identity != c.leader.Identity {
		m.To = c.leader
		c.out.messages = append(c.out.messages, m)
	}
}

// addLearner adds an instance that asked to join as a learner.
func (c *core) addLearner(now time.Time, from Endpoint) {
	members := slices.Clone(c.log.members())
	if len(members) >= c.config.maxVoters+maxSpareLearners {
		return
	}
	c.appendMembers(now, append(members, hornbeamwell.LedgerMember{
		ID: from.ID, Identity: from.Identity, Address: from.Address, Role: hornbeamwell.LedgerLearner,
	}))
}

// replaceSilentVoter removes a voter that has been silent for long where a learner
// can take its place. It returns true if it did.
func (c *core) replaceSilentVoter(now time.Time) bool {
	members := c.log.members()
	for i, m := range members {
		p := c.progress[m.ID]
		if m.Role != hornbeamwell.LedgerVoter || p == nil || now.Sub(c.lastContact(p)) < voterReplaceTimeout {
			continue
		}
		rest := slices.Delete(slices.Clone(members), i, i+1)
		if !c.hasActiveQuorum(now, rest) {
			return false
		}
		metricMembersReplaced.Inc()
		c.appendMembers(now, rest)
		return true
	}
	return false
}

// lastContact returns the time from which on the member is silent, at least the
// start of this leader.
func (c *core) lastContact(p *progress) time.Time {
	if p.lastContact.Before(c.leaderSince) {
		return c.leaderSince
	}
	return p.lastContact
}
