package ledger

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// progress is the replication state of another member, kept by the leader.
type progress struct {
	member hornbeamwell.LedgerMember
	// match is the last index that the member synced. It never decreases.
	match uint64
	// next is the next index to send. It is greater than match.
	next uint64
	// probing is true at first, and after a rejection, a lost connection or a
	// retransmission, until the member accepts an append or a snapshot. While it
	// is true, only one append of entries is sent at a time.
	probing bool
	// inflight holds the last index of each unacknowledged append of entries.
	inflight []uint64
	// retries counts the retransmissions since the last reply to an append or a
	// snapshot chunk that was not outdated.
	retries int
	// lastActivity is the time at which entries or a snapshot chunk were last
	// sent, or a reply to them was last recorded.
	lastActivity time.Time
	// ackedHeartbeatAt is the time at which the latest acknowledged heartbeat
	// was sent.
	ackedHeartbeatAt time.Time
	// lastContact is the time of the last reply from the member.
	lastContact time.Time
	// since is the time from which this leader has known the member under its identity.
	since time.Time
	// leavingUntil is the time until which the member counts as leaving. It is zero if it
	// has not asked to leave.
	leavingUntil time.Time
	// connectionLostAt is the time at which a connection to the member was last
	// found broken. It is zero if none was.
	connectionLostAt time.Time
	// transfer is the snapshot transfer in progress, nil for none.
	transfer *snapshotTransfer
}

// recordAccepted records a reply that the member's log agrees up to the index.
func (p *progress) recordAccepted(now time.Time, index uint64) {
	p.lastActivity = now
	p.retries = 0
	p.probing = false
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.transfer != nil && p.match >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

// recordRejected records a reply that the member's log agrees at most up to the
// index.
func (p *progress) recordRejected(now time.Time, index uint64) {
	p.lastActivity = now
	p.retries = 0
	p.probing = true
	p.inflight = nil
	p.next = max(p.match+1, min(p.next-1, index+1))
}

// maxRetransmitDoublings limits the growth of the retransmission delay.
const maxRetransmitDoublings = 4

// retransmitDelay returns the time after which unacknowledged entries are sent
// again. It doubles with each retransmission, so that duplicates do not fill a
// slow network.
func (p *progress) retransmitDelay(first time.Duration) time.Duration {
	return first << min(p.retries, maxRetransmitDoublings)
}

// rewind makes the leader send everything after match again.
func (p *progress) rewind() {
	p.probing = true
	p.inflight = nil
	p.next = p.match + 1
}

// updateProgress starts the progress of new members and drops that of members
// that are not in the latest list.
func (c *core) updateProgress(now time.Time) {
	next := map[string]*progress{}
	for _, m := range c.log.members() {
		if m.Identity == c.config.self.Identity {
			continue
		}
		p := c.progress[m.ID]
		if p == nil || p.member.Identity != m.Identity {
			// The last entry is sent even if nothing new follows it, so that
			// the reply shows how far the member's log agrees.
			p = &progress{next: max(c.log.lastIndex(), c.log.baseIndex+1), probing: true, lastActivity: now, since: now}
		}
		p.member = m
		next[m.ID] = p
	}
	c.progress = next
}

// progressOf returns the progress of the sender of a message. It is nil if this
// instance does not lead or no other member has the sender's id and identity.
func (c *core) progressOf(from Endpoint) *progress {
	if c.role != RoleLeader {
		return nil
	}
	p := c.progress[from.ID]
	if p == nil || p.member.Identity != from.Identity {
		return nil
	}
	return p
}

// reachedAt returns the time of the last reply from the member. It is zero while
// the member has not acknowledged a heartbeat that was sent after a connection to
// it broke: replies sent before the member failed may arrive after that.
func (p *progress) reachedAt() time.Time {
	if !p.connectionLostAt.IsZero() && !p.ackedHeartbeatAt.After(p.connectionLostAt) {
		return time.Time{}
	}
	return p.lastContact
}

// connectionLost makes the leader send the entries again that a broken
// connection may have lost.
func (c *core) connectionLost(now time.Time, id string) {
	p := c.progress[id]
	if p == nil {
		return
	}
	p.connectionLostAt = now
	if len(p.inflight) > 0 {
		p.rewind()
	}
}
