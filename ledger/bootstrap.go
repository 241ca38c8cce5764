package ledger

import (
	"cmp"
	"maps"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// peerState is the state that another instance reported.
type peerState struct {
	identity   string
	zone       string
	inCluster  bool
	receivedAt time.Time
}

// bootstrapTerm and bootstrapIndex are those of the first snapshot of a
// cluster.
const (
	bootstrapTerm  = 1
	bootstrapIndex = 1
)

// peerStateTTL is the time for which a reported state is valid.
const peerStateTTL = 3 * time.Second

// bootstrap creates the cluster if this instance is the first of the initial
// voters and all others report that they belong to no cluster. An initial voter
// that lost its disk learns from the others that the cluster exists, and waits
// until the leader adds it.
func (c *core) bootstrap(now time.Time) {
	voters := c.config.initialVoters
	if len(voters) == 0 || voters[0].ID != c.config.self.ID {
		return
	}
	if c.canBootstrap(now) {
		c.writeBootstrapSnapshot()
		c.startPreVote(now)
		return
	}
	if now.Before(c.heartbeatAt) {
		return
	}
	c.heartbeatAt = now.Add(c.config.timing.Heartbeat)
	for _, m := range voters[1:] {
		c.send(endpointOf(m), IdentityRequest{})
	}
}

func (c *core) canBootstrap(now time.Time) bool {
	for _, m := range c.config.initialVoters[1:] {
		other, ok := c.initialPeers[m.ID]
		if !ok || other.inCluster || now.Sub(other.receivedAt) > peerStateTTL {
			return false
		}
	}
	return true
}

// writeBootstrapSnapshot writes the first snapshot, which contains the initial
// voters.
func (c *core) writeBootstrapSnapshot() {
	members := make([]hornbeamwell.LedgerMember, 0, len(c.config.initialVoters))
	for _, m := range c.config.initialVoters {
		m.Role = hornbeamwell.LedgerVoter
		peer := c.initialPeers[m.ID]
		if m.ID == c.config.self.ID {
			peer = peerState{identity: c.config.self.Identity, zone: c.config.zone}
		}
		m.Identity = peer.identity
		m.Zone = cmp.Or(m.Zone, peer.zone)
		members = append(members, m)
	}
	c.install(hornbeamwell.LedgerSnapshot{
		Cluster: c.config.newClusterIdentity(),
		Index:   bootstrapIndex,
		Term:    bootstrapTerm,
		Members: members,
	})
	c.out.restore = nil
}

// sendIdentification sends the identity of this instance to an endpoint.
func (c *core) sendIdentification(to Endpoint) {
	c.send(to, c.identification())
}

func (c *core) identification() Identification {
	return Identification{InCluster: c.inCluster(), Zone: c.config.zone}
}

// forgetIdentities drops the identities of instances that are members no more.
func (c *core) forgetIdentities() {
	members := c.log.members()
	if len(c.currentIdentities) <= len(members) {
		return
	}
	maps.DeleteFunc(c.currentIdentities, func(id, _ string) bool {
		_, isMember := memberByID(members, id)
		return !isMember
	})
}

// receiveIdentification handles the identity of another instance. Before this
// instance belongs to a cluster, it records the identity of an initial voter. In a
// cluster, the leader uses it to update the list of members.
func (c *core) receiveIdentification(now time.Time, m Message, b Identification) {
	if !c.inCluster() {
		if _, isInitial := memberByID(c.config.initialVoters, m.From.ID); !isInitial {
			return
		}
		c.initialPeers[m.From.ID] = peerState{identity: m.From.Identity, zone: b.Zone, inCluster: b.InCluster, receivedAt: now}
		return
	}
	if _, isMember := memberByID(c.log.members(), m.From.ID); isMember {
		c.currentIdentities[m.From.ID] = m.From.Identity
	}
	if b.InCluster && m.Cluster != c.cluster() {
		return
	}
	c.updateIdentity(now, m.From, b.Zone)
}
