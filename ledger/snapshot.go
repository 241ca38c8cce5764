package ledger

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// snapshotTransfer is a snapshot that is being sent to a member.
type snapshotTransfer struct {
	snapshot hornbeamwell.LedgerSnapshot
	// offset is the number of bytes that the member has acknowledged. The chunk
	// in flight starts there.
	offset uint64
}

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	snapshot hornbeamwell.LedgerSnapshot
	total    uint64
	data     []byte
}

// compact stores a snapshot of the state machine at the last delivered entry.
func (c *core) compact(data []byte) {
	if c.delivered <= c.log.snapshot.Index {
		return
	}
	term, _ := c.log.term(c.delivered)
	snapshot := hornbeamwell.LedgerSnapshot{
		Cluster: c.cluster(),
		Index:   c.delivered,
		Term:    term,
		Members: c.log.membersAt(c.delivered),
		Digest:  c.digests.digest,
		Data:    data,
	}
	c.log.compact(snapshot, c.config.limits.TrailingEntries, c.config.limits.TrailingBytes)
	c.write(hornbeamwell.LedgerWrite{Snapshot: &snapshot})
}

// startSnapshotTransfer starts to send the latest snapshot to a member whose
// next entry is no longer in the log.
func (c *core) startSnapshotTransfer(now time.Time, p *progress) {
	p.inflight = nil
	p.transfer = &snapshotTransfer{snapshot: c.log.snapshot}
	c.sendChunk(now, p)
}

func (c *core) sendChunk(now time.Time, p *progress) {
	t := p.transfer
	p.lastActivity = now
	total := uint64(len(t.snapshot.Data))
	end := min(total, t.offset+uint64(c.config.limits.ChunkBytes))
	header := t.snapshot
	header.Data, header.Cluster = nil, ""
	c.send(endpointOf(p.member), SnapshotChunk{Snapshot: header, Offset: t.offset, Total: total, Data: t.snapshot.Data[t.offset:end]})
}

func (c *core) receiveSnapshotReply(now time.Time, m Message, b SnapshotReply) {
	p := c.progressOf(m.From)
	if p == nil {
		return
	}
	p.lastContact = now
	t := p.transfer
	if t == nil || t.snapshot.Index != b.Index || b.Next == t.offset {
		return
	}
	p.retries = 0
	t.offset = min(b.Next, uint64(len(t.snapshot.Data)))
	c.sendChunk(now, p)
}

func (c *core) receiveSnapshotChunk(now time.Time, m Message, b SnapshotChunk) {
	if !c.followLeader(now, m) {
		return
	}
	if b.Snapshot.Index <= c.commit {
		c.incoming = nil
		c.sendAfterSync(m.From, AppendReply{Match: c.commit})
		return
	}
	if !c.incoming.matches(b) {
		c.incoming = &incomingSnapshot{snapshot: b.Snapshot, total: b.Total}
	}
	in := c.incoming
	if b.Offset == uint64(len(in.data)) {
		in.data = append(in.data, b.Data...)
	}
	if uint64(len(in.data)) < in.total {
		c.send(m.From, SnapshotReply{Index: b.Snapshot.Index, Next: uint64(len(in.data))})
		return
	}
	c.incoming = nil
	in.snapshot.Data = in.data
	in.snapshot.Cluster = m.Cluster
	c.install(in.snapshot)
	c.sendAfterSync(m.From, AppendReply{Match: c.commit})
}

// matches reports whether the chunk belongs to the snapshot.
func (s *incomingSnapshot) matches(b SnapshotChunk) bool {
	return s != nil && s.snapshot.Index == b.Snapshot.Index && s.snapshot.Term == b.Snapshot.Term &&
		s.snapshot.Digest == b.Snapshot.Digest && s.total == b.Total
}

// install replaces the log and the state of the state machine by a snapshot, or
// commits up to it if the log already has its last entry.
func (c *core) install(snapshot hornbeamwell.LedgerSnapshot) {
	if term, ok := c.log.term(snapshot.Index); ok && term == snapshot.Term {
		c.advanceCommit(snapshot.Index)
		return
	}
	c.log.reset(snapshot)
	c.durability.truncate(snapshot.Index + 1)
	c.write(hornbeamwell.LedgerWrite{Snapshot: &snapshot})
	c.durability.pending = append(c.durability.pending, pendingWrite{write: c.durability.written, last: snapshot.Index})
	c.commit, c.delivered = snapshot.Index, snapshot.Index
	c.digests.reset(snapshot.Index, snapshot.Digest)
	c.out.restore = &snapshot
}
