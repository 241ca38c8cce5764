package ledger

import (
	"net/netip"

	"github.com/hornbeamwell/hornbeamwell"
)

// Endpoint names one end of a message.
type Endpoint struct {
	ID string
	// Identity is empty where the sender does not know the receiver's.
	Identity string
	Address  netip.AddrPort
}

// Message is what one instance tells another. It may be lost, late, doubled or
// out of order.
type Message struct {
	From, To Endpoint
	// Cluster is empty where the sender belongs to no cluster.
	Cluster string
	// Term is the sender's term, in a request for a pre-vote the next one.
	Term uint64
	Body Body
}

// Body is the content of a message.
type Body interface{ isBody() }

// VoteRequest asks for a vote in the message's term.
type VoteRequest struct {
	// PreVote asks whether a vote would be granted and changes nothing.
	PreVote bool
	// Transfer is true where the last leader gave up its lease for this
	// candidate. The promise to that leader is void then.
	Transfer            bool
	LastIndex, LastTerm uint64
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote, Granted bool
}

// Append carries entries from the leader.
type Append struct {
	// PreviousIndex and PreviousTerm are those of the entry before Entries.
	PreviousIndex, PreviousTerm uint64
	Entries                     []hornbeamwell.LedgerEntry
	Commit                      uint64
}

// AppendReply answers an Append after its entries were synced.
type AppendReply struct {
	Rejected bool
	// Match is the last index known to agree with the leader's log, in a
	// rejection the last index that may agree.
	Match uint64
}

// Heartbeat keeps the leader's lease.
type Heartbeat struct {
	// Round counts the heartbeats of a leader.
	Round  uint64
	Commit uint64
	// DigestIndex and Digest are the leader's applied index and the running
	// digest of the entries up to it.
	DigestIndex, Digest uint64
}

// HeartbeatReply promises to grant no vote for the minimum election timeout.
type HeartbeatReply struct {
	Round uint64
}

// SnapshotChunk is one part of a snapshot.
type SnapshotChunk struct {
	// Snapshot has no data and no cluster.
	Snapshot hornbeamwell.LedgerSnapshot
	// Offset is the position of Data in the snapshot's data of Total bytes.
	Offset, Total uint64
	Data          []byte
}

// SnapshotReply asks for the part of the snapshot from Next on.
type SnapshotReply struct {
	Index, Next uint64
}

// LeadershipTransfer asks a voter to take over at once. The sender has given up its
// lease for good in the message's term.
type LeadershipTransfer struct{}

// IdentityRequest asks an instance for its identity.
type IdentityRequest struct{}

// Identification tells the sender's identity.
type Identification struct {
	// InCluster is true where the sender belongs to the message's cluster.
	InCluster bool
}

func (VoteRequest) isBody()     {}
func (VoteReply) isBody()       {}
func (Append) isBody()          {}
func (AppendReply) isBody()     {}
func (Heartbeat) isBody()       {}
func (HeartbeatReply) isBody()  {}
func (SnapshotChunk) isBody()   {}
func (SnapshotReply) isBody()   {}
func (LeadershipTransfer) isBody()        {}
func (IdentityRequest) isBody() {}
func (Identification) isBody()  {}
