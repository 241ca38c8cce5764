package ledger

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// peerState is what another founder said of itself.
type peerState struct {
	identity    string
	inCluster bool
	receivedAt          time.Time
}

// foundingTerm and foundingIndex are those of the snapshot that founds a
// cluster.
const (
	bootstrapTerm  = 1
	bootstrapIndex = 1
)

// peerStateTTL is the time for which a founder's answer counts.
const peerStateTTL = 3 * time.Second

// bootstrap founds a cluster, if this instance is the first founder and every other
// one says that it belongs to none. A founder that lost its disk hears from the
// others that a cluster exists, and waits until its leader adds it.
func (c *core) bootstrap(now time.Time) {
	founders := c.config.initialVoters
	if len(founders) == 0 || founders[0].ID != c.config.self.ID {
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
	for _, m := range founders[1:] {
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

// writeBootstrapSnapshot writes the snapshot that holds the first members.
func (c *core) writeBootstrapSnapshot() {
	members := make([]hornbeamwell.LedgerMember, 0, len(c.config.initialVoters))
	for _, m := range c.config.initialVoters {
		m.Role = hornbeamwell.LedgerVoter
		m.Identity = c.initialPeers[m.ID].identity
		if m.ID == c.config.self.ID {
			m.Identity = c.config.self.Identity
		}
		members = append(members, m)
	}
	c.install(hornbeamwell.LedgerSnapshot{
		Cluster: c.config.newCluster(),
		Index:   bootstrapIndex,
		Term:    bootstrapTerm,
		Members: members,
	})
	c.out.restore = nil
}

// sendIdentification tells an endpoint who this instance is.
func (c *core) sendIdentification(to Endpoint) {
	c.send(to, Identification{InCluster: c.inCluster()})
}

// receiveIdentification learns who another instance is.
func (c *core) receiveIdentification(now time.Time, m Message, b Identification) {
	if !c.inCluster() {
		c.initialPeers[m.From.ID] = peerState{identity: m.From.Identity, inCluster: b.InCluster, receivedAt: now}
		return
	}
	if b.InCluster && m.Cluster != c.cluster() {
		return
	}
	c.updateIdentity(now, m.From)
}
