package ledger

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// progress is what a leader knows of another member.
type progress struct {
	member hornbeamwell.LedgerMember
	// match is the last index that the member synced. It never decreases.
	match uint64
	// next is the next index to send. It is greater than match.
	next uint64
	// probing is true until the member's log is known to agree at next-1. One
	// append at a time is sent then.
	probing bool
	// inflight holds the last index of each append that is not answered.
	inflight []uint64
	// retries counts the times that entries were sent again without an
	// answer.
	retries int
	// lastActivity is the time of the last send or answer.
	lastActivity time.Time
	// ackedHeartbeatAt is the time of the last heartbeat that the member answered.
	ackedHeartbeatAt time.Time
	// lastContact is the time of the last message from the member.
	lastContact time.Time
	// transfer is the snapshot on its way, nil for none.
	transfer *snapshotTransfer
}

// accepted notes an answer that the log agrees up to the index.
func (p *progress) accepted(now time.Time, index uint64) {
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

// rejected notes an answer that the log may agree up to the index only.
func (p *progress) rejected(now time.Time, index uint64) {
	p.lastActivity = now
	p.retries = 0
	p.probing = true
	p.inflight = nil
	p.next = max(p.match+1, min(p.next-1, index+1))
}

// maxRetransmitDoublings bounds the growth of the wait before entries are sent
// again.
const maxRetransmitDoublings = 4

// retransmitDelay returns the wait before entries are sent again. It doubles each
// time, so that a slow network is not filled with copies.
func (p *progress) retransmitDelay(first time.Duration) time.Duration {
	return first << min(p.retries, maxRetransmitDoublings)
}

// rewind sends again everything that the member did not answer.
func (p *progress) rewind() {
	p.probing = true
	p.inflight = nil
	p.next = p.match + 1
}

// syncProgress makes the progress fit the latest list of members.
func (c *core) syncProgress(now time.Time) {
	next := map[string]*progress{}
	for _, m := range c.log.members() {
		if m.Identity == c.config.self.Identity {
			continue
		}
		p := c.progress[m.ID]
		if p == nil || p.member.Identity != m.Identity {
			// The last entry is sent even when nothing new follows it, so that an
			// answer tells how far the member's log agrees.
			p = &progress{next: max(c.log.lastIndex(), c.log.baseIndex+1), probing: true, lastActivity: now}
		}
		p.member = m
		next[m.ID] = p
	}
	c.progress = next
}

// progressOf returns the progress of a sender while this instance leads, nil
// where the sender is no member.
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

// connectionLost sends again what a broken connection may have lost.
func (c *core) connectionLost(id string) {
	if p := c.progress[id]; p != nil && len(p.inflight) > 0 {
		p.rewind()
	}
}
