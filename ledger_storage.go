package hornbeamwell

import (
	"fmt"
	"io"
	"net/netip"
)

// LedgerEntryKind is the kind of a ledger entry.
type LedgerEntryKind uint8

// The kinds of ledger entries.
const (
	// LedgerNoop starts the term of a new leader and changes nothing.
	LedgerNoop LedgerEntryKind = 1
	// LedgerCommand is a command for the replicated state machine.
	LedgerCommand LedgerEntryKind = 2
	// LedgerMembership replaces the list of members.
	LedgerMembership LedgerEntryKind = 3
)

// LedgerEntry is one entry of the replicated log.
type LedgerEntry struct {
	// Index increases by one with every entry.
	Index uint64
	// Term is the term of the leader that appended the entry. It never
	// decreases with the index.
	Term uint64
	Kind LedgerEntryKind
	Data []byte
}

// LedgerRole is the role of a member in the consensus.
type LedgerRole string

// The roles of members.
const (
	// LedgerVoter members count toward the quorum.
	LedgerVoter LedgerRole = "voter"
	// LedgerLearner members receive entries and do not count toward the quorum.
	LedgerLearner LedgerRole = "learner"
)

// LedgerMember is one control instance in the list of members of the ledger.
type LedgerMember struct {
	// ID is unique among the members.
	ID string
	// Identity is generated at random when a data folder is first used. An
	// instance that lost its disk has the old id and a new identity.
	Identity string
	Zone     string
	Address  netip.AddrPort
	Role     LedgerRole
}

// LedgerVote is the vote of an instance in the latest term that it has seen.
type LedgerVote struct {
	// Term never decreases.
	Term uint64
	// Candidate is the identity of the candidate that received the vote in the
	// term, empty when there is none. It is set at most once per term.
	Candidate string
}

// LedgerSnapshot replaces the entries up to its index.
type LedgerSnapshot struct {
	// Cluster is the random identity of the ledger, generated when the ledger
	// was bootstrapped.
	Cluster string
	// Index and Term are those of the last entry that the snapshot covers.
	// Index is 0 in an instance that belongs to no cluster yet.
	Index, Term uint64
	// Members is the list of members as of Index.
	Members []LedgerMember
	// Digest is the running digest of all entries up to Index.
	Digest uint64
	// Data is the state of the state machine, empty for a machine that has
	// applied no command.
	Data []byte
}

// LedgerState is the durable state that a storage loads at the start.
type LedgerState struct {
	Identity string
	Vote     LedgerVote
	Snapshot LedgerSnapshot
	// Entries follow Snapshot.Index without a gap.
	Entries []LedgerEntry
}

// LedgerWrite is one change of a storage. Exactly one field is set.
type LedgerWrite struct {
	Vote *LedgerVote
	// Entries replace every stored entry from Entries[0].Index on.
	Entries []LedgerEntry
	// Snapshot replaces the entries up to its index. Later entries are kept
	// only where the stored entry at its index has the same term.
	Snapshot *LedgerSnapshot
}

// LedgerStorage stores the durable state of one ledger instance. It is used by
// one goroutine.
type LedgerStorage interface {
	// Load returns the durable state. It is called once, before any write.
	Load() (LedgerState, error)
	// Write changes the state. Writes become durable in order, at the latest
	// when Sync returns.
	Write(write LedgerWrite) error
	// Sync makes all writes durable.
	Sync() error
	// Repair makes the storage usable again after a failed Write or Sync. When
	// it returns, every write before the failed call is durable. A failed Write
	// has to be repeated.
	Repair() error
	// Close releases the storage without a sync.
	Close() error
}

// DataFolder is the folder of an instance's durable files.
type DataFolder interface {
	// List returns the sorted names of the files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Replace atomically creates or replaces a file. The file and the folder
	// are synced when it returns.
	Replace(name string, content []byte) error
	// OpenAppend opens a file for appending.
	OpenAppend(name string) (AppendFile, error)
	// Remove deletes a file. The deletion need not be durable when it returns.
	Remove(name string) error
}

// AppendFile is a file that is open for appending.
type AppendFile interface {
	io.Writer
	// Sync makes the bytes written so far durable.
	Sync() error
	Close() error
}

// CorruptError reports a damaged durable file. The instance must not start from
// it.
type CorruptError struct {
	File string
	// Offset is the position of the damage in bytes.
	Offset  int64
	Problem string
}

// Error implements the error interface.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s; move the data folder away and restart, so that this instance joins as a new member", e.File, e.Offset, e.Problem)
}
