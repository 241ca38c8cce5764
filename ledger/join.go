package ledger

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// joinInterval is the time between two rounds of join requests.
	joinInterval = 300 * time.Millisecond
	// maxSpareLearners is the number of members above maxVoters that may be
	// added by join requests.
	maxSpareLearners = 8
)

// join sends join requests to the seeds and the known members while this
// instance knows no leader. It sends none if members are added by hand, or while
// this instance is leaving.
func (c *core) join(now time.Time) {
	hasLeader := c.leader.Identity != "" && now.Before(c.electionAt)
	if c.config.seeds == nil || c.isLeaving || hasLeader || now.Before(c.joinAt) {
		return
	}
	c.joinAt = now.Add(joinInterval)
	requested := map[netip.AddrPort]bool{c.config.self.Address: true}
	request := func(address netip.AddrPort) {
		if requested[address] {
			return
		}
		requested[address] = true
		// The id of an instance with seeds is its address.
		c.send(Endpoint{ID: address.String(), Address: address}, c.identification())
	}
	for _, seed := range c.config.seeds() {
		request(seed)
	}
	for _, m := range c.log.members() {
		request(m.Address)
	}
}

// receiveJoinRequest handles a join request on the leader and before this
// instance belongs to a cluster. Otherwise it forwards the request to the
// leader, or drops it if the leader is not known.
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

// addLearner adds, as a learner, an instance that sent a join request, unless
// there are already maxVoters+maxSpareLearners members.
func (c *core) addLearner(now time.Time, from Endpoint, zone string) {
	members := slices.Clone(c.log.members())
	if len(members) >= c.config.maxVoters+maxSpareLearners {
		return
	}
	c.appendMembers(now, append(members, hornbeamwell.LedgerMember{
		ID: from.ID, Identity: from.Identity, Zone: zone, Address: from.Address, Role: hornbeamwell.LedgerLearner,
	}))
}
