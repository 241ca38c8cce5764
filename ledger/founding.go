package ledger

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// introduced is what another founder said of itself.
type introduced struct {
	identity    string
	established bool
	at          time.Time
}

// foundingTerm and foundingIndex are those of the snapshot that founds a
// cluster.
const (
	foundingTerm  = 1
	foundingIndex = 1
)

// introductionValidity is the time for which a founder's answer counts.
const introductionValidity = 3 * time.Second

// found founds a cluster, if this instance is the first founder and every other
// one says that it belongs to none. A founder that lost its disk hears from the
// others that a cluster exists, and waits until its leader adds it.
func (c *core) found(now time.Time) {
	founders := c.config.founders
	if len(founders) == 0 || founders[0].ID != c.config.self.ID {
		return
	}
	if c.allUnestablished(now) {
		c.writeFounding()
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

func (c *core) allUnestablished(now time.Time) bool {
	for _, m := range c.config.founders[1:] {
		other, ok := c.founding[m.ID]
		if !ok || other.established || now.Sub(other.at) > introductionValidity {
			return false
		}
	}
	return true
}

// writeFounding writes the snapshot that holds the first members.
func (c *core) writeFounding() {
	members := make([]hornbeamwell.LedgerMember, 0, len(c.config.founders))
	for _, m := range c.config.founders {
		m.Role = hornbeamwell.LedgerVoter
		m.Identity = c.founding[m.ID].identity
		if m.ID == c.config.self.ID {
			m.Identity = c.config.self.Identity
		}
		members = append(members, m)
	}
	c.install(hornbeamwell.LedgerSnapshot{
		Cluster: c.config.newCluster(),
		Index:   foundingIndex,
		Term:    foundingTerm,
		Members: members,
	})
	c.out.restore = nil
}

// introduce tells an endpoint who this instance is.
func (c *core) introduce(to Endpoint) {
	c.send(to, Identification{InCluster: c.isEstablished()})
}

// meet learns who another instance is.
func (c *core) meet(now time.Time, m Message, b Identification) {
	if !c.isEstablished() {
		c.founding[m.From.ID] = introduced{identity: m.From.Identity, established: b.InCluster, at: now}
		return
	}
	if b.InCluster && m.Cluster != c.cluster() {
		return
	}
	c.meetAsLeader(now, m.From)
}
