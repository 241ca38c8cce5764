package hornbeamwell

import (
	"fmt"
	"io"
	"net/netip"
)

// LedgerEntryKind says what a ledger entry changes.
type LedgerEntryKind uint8

// The kinds of ledger entries.
const (
	// LedgerNoop opens the term of a new leader and changes nothing.
	LedgerNoop LedgerEntryKind = 1
	// LedgerCommand changes the replicated machine.
	LedgerCommand LedgerEntryKind = 2
	// LedgerMembership replaces the list of members.
	LedgerMembership LedgerEntryKind = 3
)

// LedgerEntry is one entry of the replicated log.
type LedgerEntry struct {
	// Index grows by one with every entry.
	Index uint64
	// Term is that of the leader that appended the entry. It never decreases
	// with the index.
	Term uint64
	Kind LedgerEntryKind
	Data []byte
}

// LedgerRole is the part of a member in agreement.
type LedgerRole string

// The roles of members.
const (
	// LedgerVoter members count toward the quorum.
	LedgerVoter LedgerRole = "voter"
	// LedgerLearner members receive entries and do not count.
	LedgerLearner LedgerRole = "learner"
)

// LedgerMember is one control instance in the ledger's list of members.
type LedgerMember struct {
	// ID is unique among the members.
	ID string
	// Identity is drawn at random when a data folder is first used. An
	// instance that lost its disk has the old id and a new identity.
	Identity string
	Zone     string
	Address  netip.AddrPort
	Role     LedgerRole
}

// LedgerVote is what an instance promised in the latest term that it knows.
type LedgerVote struct {
	// Term never decreases.
	Term uint64
	// Candidate is the identity that has this instance's vote in the term,
	// empty when nobody has. It changes once per term.
	Candidate string
}

// LedgerSnapshot replaces the entries up to its index.
type LedgerSnapshot struct {
	// Cluster is the random identity of the ledger, drawn when it was founded.
	Cluster string
	// Index and Term are those of the last entry that the snapshot covers.
	// Index is 0 in an instance that belongs to no cluster yet.
	Index, Term uint64
	// Members is the list of members as of Index.
	Members []LedgerMember
	// Digest is the running digest of all entries up to Index.
	Digest uint64
	// Data is the machine's state, empty for a machine without commands.
	Data []byte
}

// LedgerState is what a storage holds after a start.
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
	// Snapshot replaces the entries up to its index. Entries after it stay
	// only where the stored entry at its index has its term.
	Snapshot *LedgerSnapshot
}

// LedgerStorage keeps the durable state of one ledger instance. One goroutine
// uses it.
type LedgerStorage interface {
	// Load returns the durable state. It is called once, before any write.
	Load() (LedgerState, error)
	// Write changes the state. Writes become durable in order, and the latest
	// at the return of Sync.
	Write(write LedgerWrite) error
	// Sync makes every write durable.
	Sync() error
	// Repair lets the storage go on after a failed Write or Sync: at its return
	// every write before the failed call is durable. A failed Write has to be
	// repeated.
	Repair() error
	// Close releases the storage without a sync.
	Close() error
}

// DataFolder is the folder that holds an instance's durable files.
type DataFolder interface {
	// List returns the names of the files in order.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Replace creates or replaces a file whole. The file and the folder are
	// synced when it returns.
	Replace(name string, content []byte) error
	// Append opens a file to add bytes at its end.
	Append(name string) (AppendFile, error)
	// Remove deletes a file. It need not be durable at return.
	Remove(name string) error
}

// AppendFile takes bytes at the end of a file.
type AppendFile interface {
	io.Writer
	// Sync makes the bytes written so far durable.
	Sync() error
	Close() error
}

// CorruptError says that a durable file is damaged. The instance must not
// start from it.
type CorruptError struct {
	File string
	// Offset is the position of the damage in bytes.
	Offset  int64
	Problem string
}

// Error describes the error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s; move the data folder away and start again, so that this instance joins anew", e.File, e.Offset, e.Problem)
}
