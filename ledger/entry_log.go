package ledger

import (
	"fmt"
	"slices"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// entryLog is the log in memory: the entries after the latest snapshot, and
// some before it for lagging members.
type entryLog struct {
	snapshot hornbeamwell.LedgerSnapshot
	// baseIndex and baseTerm are those of the entry before entries[0].
	// baseIndex is at most snapshot.Index.
	baseIndex, baseTerm uint64
	entries             []hornbeamwell.LedgerEntry
	// bytes is the size of the data of entries.
	bytes int
	// memberLists are sorted by index. The first is at or before the snapshot.
	memberLists []memberList
}

// memberList is a list of members and the index from which it is in effect.
type memberList struct {
	index   uint64
	members []hornbeamwell.LedgerMember
}

func newEntryLog(snapshot hornbeamwell.LedgerSnapshot, entries []hornbeamwell.LedgerEntry) (*entryLog, error) {
	l := &entryLog{}
	l.reset(snapshot)
	if err := l.appendEntries(entries); err != nil {
		return nil, err
	}
	return l, nil
}

// reset replaces all entries by a snapshot.
func (l *entryLog) reset(snapshot hornbeamwell.LedgerSnapshot) {
	l.snapshot = snapshot
	l.baseIndex, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries, l.bytes = nil, 0
	l.memberLists = []memberList{{index: snapshot.Index, members: snapshot.Members}}
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at the index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

// appendEntries adds entries that follow the last one.
func (l *entryLog) appendEntries(entries []hornbeamwell.LedgerEntry) error {
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 {
			hornbeamwell.ReportViolation("ledger_gap", "entry %d follows %d", e.Index, l.lastIndex())
			return fmt.Errorf("ledger entry %d does not follow %d", e.Index, l.lastIndex())
		}
		if e.Kind == hornbeamwell.LedgerMembership {
			members, err := wire.DecodeLedgerMembers(e.Data)
			if err != nil {
				return err
			}
			l.memberLists = append(l.memberLists, memberList{index: e.Index, members: members})
		}
		l.entries = append(l.entries, e)
		l.bytes += len(e.Data)
	}
	return nil
}

// truncate removes the entries from the index on.
func (l *entryLog) truncate(from uint64) {
	l.bytes -= dataBytes(l.entries[from-l.baseIndex-1:])
	l.entries = l.entries[: from-l.baseIndex-1 : from-l.baseIndex-1]
	for len(l.memberLists) > 1 && l.memberLists[len(l.memberLists)-1].index >= from {
		l.memberLists = l.memberLists[:len(l.memberLists)-1]
	}
}

// after returns the entries after the index, limited by count and bytes. It
// returns at least one if there is one.
func (l *entryLog) after(index uint64, maxEntries, maxBytes int) []hornbeamwell.LedgerEntry {
	entries := l.entries[index-l.baseIndex:]
	bytes := 0
	for i, e := range entries {
		bytes += len(e.Data)
		if i == maxEntries || (i > 0 && bytes > maxBytes) {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// between returns the entries after the first index, up to and including the
// second.
func (l *entryLog) between(after, upTo uint64) []hornbeamwell.LedgerEntry {
	return l.entries[after-l.baseIndex : upTo-l.baseIndex]
}

// members returns the latest list of members.
func (l *entryLog) members() []hornbeamwell.LedgerMember {
	return l.memberLists[len(l.memberLists)-1].members
}

// hasCommand reports whether a command was appended since the bootstrap.
func (l *entryLog) hasCommand() bool {
	return l.snapshot.Index > bootstrapIndex || slices.ContainsFunc(l.entries, func(e hornbeamwell.LedgerEntry) bool {
		return e.Kind == hornbeamwell.LedgerCommand
	})
}

// membersIndex returns the index from which the latest list is in effect.
func (l *entryLog) membersIndex() uint64 {
	return l.memberLists[len(l.memberLists)-1].index
}

// membersAt returns the list of members in effect at the index.
func (l *entryLog) membersAt(index uint64) []hornbeamwell.LedgerMember {
	for i := len(l.memberLists) - 1; i > 0; i-- {
		if l.memberLists[i].index <= index {
			return l.memberLists[i].members
		}
	}
	return l.memberLists[0].members
}

// compact sets the snapshot and removes the entries that it covers, except for
// the last ones, of at most keepEntries with keepBytes of data.
func (l *entryLog) compact(snapshot hornbeamwell.LedgerSnapshot, keepEntries uint64, keepBytes int) {
	base := max(l.baseIndex, snapshot.Index-min(keepEntries, snapshot.Index))
	for kept := dataBytes(l.between(base, snapshot.Index)); kept > keepBytes; base++ {
		kept -= len(l.entries[base-l.baseIndex].Data)
	}
	baseTerm, _ := l.term(base)
	l.bytes -= dataBytes(l.between(l.baseIndex, base))
	l.entries = append([]hornbeamwell.LedgerEntry(nil), l.entries[base-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = base, baseTerm
	l.snapshot = snapshot
	for len(l.memberLists) > 1 && l.memberLists[1].index <= snapshot.Index {
		l.memberLists = l.memberLists[1:]
	}
}

// bytesAfter returns the size of the data of the entries after the index, which is at least
// baseIndex.
func (l *entryLog) bytesAfter(index uint64) int { return dataBytes(l.entries[index-l.baseIndex:]) }

func dataBytes(entries []hornbeamwell.LedgerEntry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}
