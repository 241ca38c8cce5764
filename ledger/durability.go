package ledger

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// durability tracks which writes are synced and holds back messages that depend
// on them.
type durability struct {
	// written and synced count writes. synced is at most written.
	written, synced uint64
	// index is the last index of the log that is synced.
	index uint64
	// pending are the unsynced writes of entries and of installed snapshots.
	pending []pendingWrite
	held    []heldMessage
}

// pendingWrite is the number of an unsynced write of entries or of an installed
// snapshot, and the last index of the log that is synced with it.
type pendingWrite struct{ write, last uint64 }

// heldMessage is a message to be sent once a write is synced.
type heldMessage struct {
	write   uint64
	message Message
}

// truncate records that the entries from the index on were removed.
func (d *durability) truncate(from uint64) {
	d.index = min(d.index, from-1)
	for i := range d.pending {
		d.pending[i].last = min(d.pending[i].last, from-1)
	}
}

// markSynced records that the writes up to a number are synced and returns the
// messages that were held back for them.
func (d *durability) markSynced(write uint64) []Message {
	d.synced = max(d.synced, write)
	for len(d.pending) > 0 && d.pending[0].write <= d.synced {
		d.index = d.pending[0].last
		d.pending = d.pending[1:]
	}
	var released []Message
	for len(d.held) > 0 && d.held[0].write <= d.synced {
		released = append(released, d.held[0].message)
		d.held = d.held[1:]
	}
	return released
}

// saveVote writes a new term or vote.
func (c *core) saveVote(vote hornbeamwell.LedgerVote) {
	if vote.Term < c.vote.Term {
		hornbeamwell.ReportViolation("ledger_term_monotone", "term %d follows %d", vote.Term, c.vote.Term)
		return
	}
	c.vote = vote
	c.write(hornbeamwell.LedgerWrite{Vote: &vote})
}

// saveEntries appends entries to the log. They replace the present entries from
// entries[0].Index on.
func (c *core) saveEntries(entries []hornbeamwell.LedgerEntry) {
	if len(entries) == 0 {
		return
	}
	if first := entries[0].Index; first <= c.log.lastIndex() {
		c.log.truncate(first)
		c.durability.truncate(first)
	}
	if err := c.log.appendEntries(entries); err != nil {
		hornbeamwell.ReportViolation("ledger_membership_entry", "%v", err)
		return
	}
	c.write(hornbeamwell.LedgerWrite{Entries: entries})
	c.durability.pending = append(c.durability.pending, pendingWrite{write: c.durability.written, last: c.log.lastIndex()})
}

func (c *core) write(w hornbeamwell.LedgerWrite) {
	c.durability.written++
	c.out.writes = append(c.out.writes, w)
}

// sendAfterSync sends a body once every write so far is synced.
func (c *core) sendAfterSync(to Endpoint, body Body) {
	m := c.message(to, body)
	if c.durability.synced == c.durability.written {
		c.out.messages = append(c.out.messages, m)
		return
	}
	c.durability.held = append(c.durability.held, heldMessage{write: c.durability.written, message: m})
}

// completeWrites handles the completion of writes: it releases the messages
// held back for them and, on the leader, advances the commit index.
func (c *core) completeWrites(now time.Time, write uint64) {
	c.out.messages = append(c.out.messages, c.durability.markSynced(write)...)
	if c.role == RoleLeader {
		c.advanceLeaderCommit(now)
	}
}
