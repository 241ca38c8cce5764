package ledger

import (
	"net/netip"

	"github.com/hornbeamwell/hornbeamwell"
)

// Endpoint is the sender or the receiver of a message.
type Endpoint struct {
	ID string
	// Identity is the random identity of the instance's data folder. It is
	// empty if the sender does not know the receiver's.
	Identity string
	Address  netip.AddrPort
}

// Message is sent by one instance to another. It may be lost, delayed,
// duplicated or reordered.
type Message struct {
	From, To Endpoint
	// Cluster is empty if the sender belongs to no cluster.
	Cluster string
	// Term is the sender's term. In a pre-vote request, and in a reply that
	// grants it, Term is the one after the requester's term.
	Term uint64
	Body Body
}

// Body is the content of a message.
type Body interface{ isBody() }

// VoteRequest asks for a vote in the message's term.
type VoteRequest struct {
	// PreVote asks whether a vote would be granted and changes nothing.
	PreVote bool
	// Transfer is true if the last leader gave up its lease for this candidate,
	// so that the promise to that leader no longer holds.
	Transfer bool
	// LastIndex and LastTerm are those of the last entry of the candidate.
	LastIndex, LastTerm uint64
}

// VoteReply is the reply to a VoteRequest.
type VoteReply struct {
	PreVote, Granted bool
}

// Append replicates entries of the leader.
type Append struct {
	// PreviousIndex and PreviousTerm are those of the entry before Entries.
	PreviousIndex, PreviousTerm uint64
	Entries                     []hornbeamwell.LedgerEntry
	Commit                      uint64
}

// AppendReply is the reply to an Append, and to a SnapshotChunk once the
// follower has the whole snapshot. It is sent after the entries or the snapshot
// were synced. It also rejects an Append, a Heartbeat or a SnapshotChunk of an
// older term.
type AppendReply struct {
	Rejected bool
	// Match is the last index known to agree with the leader's log. In a
	// rejection it is the last index that may agree.
	Match uint64
}

// Heartbeat renews the leader's lease.
type Heartbeat struct {
	// Round numbers the heartbeat rounds of a leader.
	Round  uint64
	Commit uint64
	// DigestIndex and Digest are the leader's applied index and the running
	// digest of the entries up to it.
	DigestIndex, Digest uint64
}

// HeartbeatReply promises to vote for no other candidate for the minimum
// election timeout.
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

// SnapshotReply requests the data of a snapshot from offset Next on.
type SnapshotReply struct {
	Index, Next uint64
}

// LeadershipTransfer asks a voter to start an election at once. The sender has
// given up its lease for the rest of the message's term.
type LeadershipTransfer struct{}

// LeaveRequest states that the sender is about to stop, and asks the leader to give its
// vote to a learner.
type LeaveRequest struct{}

// LeaveReply states that the receiver need not wait for a successor.
type LeaveReply struct{}

// IdentityRequest asks an instance for its identity.
type IdentityRequest struct{}

// Identification carries the sender's identity. It is the reply to an
// IdentityRequest and to a message that was sent to a former identity of the
// instance. Sent to an endpoint without an identity, it is a join request.
type Identification struct {
	// InCluster is true if the sender belongs to the message's cluster.
	InCluster bool
	// Zone is the sender's availability zone. It is empty if an earlier version
	// sent the message.
	Zone string
}

func (VoteRequest) isBody()        {}
func (VoteReply) isBody()          {}
func (Append) isBody()             {}
func (AppendReply) isBody()        {}
func (Heartbeat) isBody()          {}
func (HeartbeatReply) isBody()     {}
func (SnapshotChunk) isBody()      {}
func (SnapshotReply) isBody()      {}
func (LeadershipTransfer) isBody() {}
func (LeaveRequest) isBody()       {}
func (LeaveReply) isBody()         {}
func (IdentityRequest) isBody()    {}
func (Identification) isBody()     {}
