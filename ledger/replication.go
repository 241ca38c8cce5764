package ledger

import (
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// tickLeader does a leader's periodic work.
func (c *core) tickLeader(now time.Time) {
	c.checkQuorum(now)
	if c.role != RoleLeader {
		return
	}
	if !now.Before(c.heartbeatAt) {
		c.sendHeartbeats(now)
		c.requestIdentities(now)
		c.assignSeats(now)
	}
	for _, p := range c.progress {
		if now.Sub(p.lastActivity) >= p.retransmitDelay(c.config.timing.Retransmit) {
			c.retransmit(now, p)
		}
	}
}

// retransmit resends what a member has not acknowledged.
func (c *core) retransmit(now time.Time, p *progress) {
	if p.transfer != nil {
		p.retries++
		c.sendChunk(now, p)
		return
	}
	if len(p.inflight) > 0 {
		p.retries++
		p.rewind()
	}
	c.sendEntries(now, p)
}

// propose appends commands to the log of the leader.
func (c *core) propose(now time.Time, commands [][]byte) {
	if c.role != RoleLeader {
		c.out.rejected = &hornbeamwell.NotLeaderError{Leader: c.leader.ID}
		return
	}
	if c.isForming(now) {
		c.out.rejected = errForming
		return
	}
	if c.log.lastIndex()-c.commit >= uint64(c.config.limits.MaxUncommitted) || c.log.bytesAfter(c.commit) >= c.config.limits.LogBytes {
		c.out.rejected = errBacklog
		return
	}
	c.out.proposed = entryID{index: c.log.lastIndex() + 1, term: c.vote.Term}
	c.appendAsLeader(hornbeamwell.LedgerCommand, commands)
	c.replicate(now)
	c.advanceLeaderCommit(now)
}

// appendAsLeader appends entries of the current term.
func (c *core) appendAsLeader(kind hornbeamwell.LedgerEntryKind, data [][]byte) {
	entries := make([]hornbeamwell.LedgerEntry, 0, len(data))
	for i, d := range data {
		index := c.log.lastIndex() + 1 + uint64(i)
		entries = append(entries, hornbeamwell.LedgerEntry{Index: index, Term: c.vote.Term, Kind: kind, Data: d})
	}
	c.saveEntries(entries)
}

// replicate sends the entries that each member lacks.
func (c *core) replicate(now time.Time) {
	for _, p := range c.progress {
		c.sendEntries(now, p)
	}
}

// sendEntries sends entries to a member until MaxInflight appends, or one while
// probing, are unacknowledged. It starts a snapshot transfer if the member's
// next entry is no longer in the log.
func (c *core) sendEntries(now time.Time, p *progress) {
	maxInflight := c.config.limits.MaxInflight
	if p.probing {
		maxInflight = 1
	}
	for p.transfer == nil && p.next <= c.log.lastIndex() && len(p.inflight) < maxInflight {
		previous := p.next - 1
		term, ok := c.log.term(previous)
		if !ok {
			c.startSnapshotTransfer(now, p)
			return
		}
		entries := c.log.after(previous, c.config.limits.BatchEntries, c.config.limits.BatchBytes)
		c.send(endpointOf(p.member), Append{PreviousIndex: previous, PreviousTerm: term, Entries: entries, Commit: c.commit})
		last := entries[len(entries)-1].Index
		p.inflight = append(p.inflight, last)
		p.next = last + 1
		p.lastActivity = now
	}
}

// sendCommit sends the commit index to the members that have every entry.
func (c *core) sendCommit() {
	for _, p := range c.progress {
		if p.transfer != nil || p.match != c.log.lastIndex() {
			continue
		}
		c.send(endpointOf(p.member), Append{PreviousIndex: p.match, PreviousTerm: c.log.lastTerm(), Commit: c.commit})
	}
}

func (c *core) receiveAppend(now time.Time, m Message, b Append) {
	if !c.followLeader(now, m) {
		return
	}
	b = c.withoutCommitted(b)
	if term, ok := c.log.term(b.PreviousIndex); !ok || term != b.PreviousTerm {
		c.sendAfterSync(m.From, AppendReply{Rejected: true, Match: c.agreementHint(b)})
		return
	}
	c.saveEntries(c.newEntries(b.Entries))
	match := b.PreviousIndex + uint64(len(b.Entries))
	c.advanceCommit(max(c.commit, min(b.Commit, match)))
	c.sendAfterSync(m.From, AppendReply{Match: match})
}

// withoutCommitted returns an append without the entries that are committed on
// this instance. They agree with the log of every later leader.
func (c *core) withoutCommitted(b Append) Append {
	if b.PreviousIndex >= c.commit {
		return b
	}
	known := min(c.commit-b.PreviousIndex, uint64(len(b.Entries)))
	term, _ := c.log.term(c.commit)
	return Append{PreviousIndex: c.commit, PreviousTerm: term, Entries: b.Entries[known:], Commit: b.Commit}
}

// newEntries returns the entries from the first one that is not in the log.
func (c *core) newEntries(entries []hornbeamwell.LedgerEntry) []hornbeamwell.LedgerEntry {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if e.Index <= c.commit {
			hornbeamwell.ReportViolation("ledger_committed_stays", "entry %d of term %d would replace a committed one", e.Index, e.Term)
			return nil
		}
		return entries[i:]
	}
	return nil
}

// agreementHint returns the last index at which the logs may agree.
func (c *core) agreementHint(b Append) uint64 {
	hint := min(b.PreviousIndex-1, c.log.lastIndex())
	for hint > c.commit {
		term, ok := c.log.term(hint)
		if !ok || term <= b.PreviousTerm {
			break
		}
		hint--
	}
	return hint
}

func (c *core) receiveAppendReply(now time.Time, m Message, b AppendReply) {
	p := c.progressOf(m.From)
	if p == nil {
		return
	}
	p.lastContact = now
	if b.Rejected {
		if b.Match >= p.match {
			p.recordRejected(now, b.Match)
		}
		c.sendEntries(now, p)
		return
	}
	if b.Match > c.log.lastIndex() {
		hornbeamwell.ReportViolation("ledger_leader_has_all", "member %s has entry %d, the leader ends at %d", m.From.ID, b.Match, c.log.lastIndex())
		return
	}
	p.recordAccepted(now, b.Match)
	c.advanceLeaderCommit(now)
	if c.role == RoleLeader {
		c.sendEntries(now, p)
	}
}

// advanceLeaderCommit advances the commit index to that of quorumMatch, if the
// entry there is of the current term. A leader that is no longer a voter in the
// committed list of members becomes a follower.
func (c *core) advanceLeaderCommit(now time.Time) {
	index := c.quorumMatch()
	if index <= c.commit {
		return
	}
	if term, ok := c.log.term(index); !ok || term != c.vote.Term {
		return
	}
	c.advanceCommit(index)
	if c.commit == c.log.lastIndex() {
		c.sendCommit()
	}
	if c.log.membersIndex() <= c.commit && !c.isVoter(c.config.self.Identity) {
		c.becomeFollower(now, c.vote.Term, Endpoint{})
	}
}

// quorumMatch returns the last index that a quorum of voters, and at least
// minCopies of them, synced. If there are fewer voters than minCopies, all of
// them must have synced it.
func (c *core) quorumMatch() uint64 {
	var matches []uint64
	for _, m := range c.log.members() {
		if m.Role != hornbeamwell.LedgerVoter {
			continue
		}
		switch p := c.progress[m.ID]; {
		case m.Identity == c.config.self.Identity:
			matches = append(matches, c.durability.index)
		case p != nil && p.member.Identity == m.Identity:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	quorum := matches[(len(matches)-1)/2]
	return min(quorum, matches[max(len(matches)-max(c.config.minCopies, 1), 0)])
}
