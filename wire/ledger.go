package wire

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/hornbeamwell/hornbeamwell"
)

// LedgerMember is the message for a hornbeamwell.LedgerMember.
type LedgerMember struct {
	ID       string `json:"id"`
	Identity string `json:"identity"`
	Zone     string `json:"zone,omitempty"`
	Address  string `json:"address"`
	Role     string `json:"role"`
}

// LedgerEntry is the message for a hornbeamwell.LedgerEntry.
type LedgerEntry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Kind  uint8  `json:"kind"`
	Data  []byte `json:"data,omitempty"`
}

// LedgerEndpoint identifies the sender or the receiver of a ledger message.
type LedgerEndpoint struct {
	ID       string `json:"id"`
	Identity string `json:"identity,omitempty"`
	Address  string `json:"address"`
}

// LedgerMessage is a message between two ledger instances. Exactly one of the
// fields after Term is set.
type LedgerMessage struct {
	From    LedgerEndpoint `json:"from"`
	To      LedgerEndpoint `json:"to"`
	Cluster string         `json:"cluster,omitempty"`
	Term    uint64         `json:"term"`

	VoteRequest     *LedgerVoteRequest     `json:"vote_request,omitempty"`
	VoteReply       *LedgerVoteReply       `json:"vote_reply,omitempty"`
	Append          *LedgerAppend          `json:"append,omitempty"`
	AppendReply     *LedgerAppendReply     `json:"append_reply,omitempty"`
	Heartbeat       *LedgerHeartbeat       `json:"heartbeat,omitempty"`
	HeartbeatReply  *LedgerHeartbeatReply  `json:"heartbeat_reply,omitempty"`
	SnapshotChunk   *LedgerSnapshotChunk   `json:"snapshot_chunk,omitempty"`
	SnapshotReply   *LedgerSnapshotReply   `json:"snapshot_reply,omitempty"`
	Transfer        *LedgerTransfer        `json:"transfer,omitempty"`
	LeaveRequest    *LedgerLeaveRequest    `json:"leave_request,omitempty"`
	LeaveReply      *LedgerLeaveReply      `json:"leave_reply,omitempty"`
	IdentityRequest *LedgerIdentityRequest `json:"introduce,omitempty"`
	Identification  *LedgerIdentification  `json:"introduction,omitempty"`
}

// LedgerVoteRequest requests a vote.
type LedgerVoteRequest struct {
	PreVote   bool   `json:"pre_vote,omitempty"`
	Transfer  bool   `json:"transfer,omitempty"`
	LastIndex uint64 `json:"last_index"`
	LastTerm  uint64 `json:"last_term"`
}

// LedgerVoteReply is the reply to a LedgerVoteRequest.
type LedgerVoteReply struct {
	PreVote bool `json:"pre_vote,omitempty"`
	Granted bool `json:"granted,omitempty"`
}

// LedgerAppend carries ledger entries to a member.
type LedgerAppend struct {
	PreviousIndex uint64        `json:"previous_index"`
	PreviousTerm  uint64        `json:"previous_term"`
	Entries       []LedgerEntry `json:"entries,omitempty"`
	Commit        uint64        `json:"commit"`
}

// LedgerAppendReply is the reply to a LedgerAppend, to a LedgerSnapshotChunk
// after which no more data is needed, and to a leader of an older term.
type LedgerAppendReply struct {
	Rejected bool `json:"rejected,omitempty"`
	// Match is the last index known to agree with the leader's log. In a
	// rejection it is the last index that may agree.
	Match uint64 `json:"match"`
}

// LedgerHeartbeat renews the leader's lease.
type LedgerHeartbeat struct {
	Round  uint64 `json:"round"`
	Commit uint64 `json:"commit"`
	// DigestIndex and Digest are the leader's applied index and the running
	// digest of the entries up to it.
	DigestIndex uint64 `json:"digest_index"`
	Digest      uint64 `json:"digest"`
}

// LedgerHeartbeatReply is the reply to a LedgerHeartbeat.
type LedgerHeartbeatReply struct {
	Round uint64 `json:"round"`
}

// LedgerSnapshotChunk is one part of a snapshot.
type LedgerSnapshotChunk struct {
	Index   uint64         `json:"index"`
	Term    uint64         `json:"term"`
	Members []LedgerMember `json:"members"`
	Digest  uint64         `json:"digest"`
	Offset  uint64         `json:"offset"`
	Total   uint64         `json:"total"`
	Data    []byte         `json:"data,omitempty"`
}

// LedgerSnapshotReply requests the data of a snapshot from offset Next on.
type LedgerSnapshotReply struct {
	Index uint64 `json:"index"`
	Next  uint64 `json:"next"`
}

// LedgerTransfer requests that a voter take over leadership.
type LedgerTransfer struct{}

// LedgerLeaveRequest states that the sender is about to stop.
type LedgerLeaveRequest struct{}

// LedgerLeaveReply states that the receiver may stop without a successor.
type LedgerLeaveReply struct{}

// LedgerIdentityRequest requests the identity of an instance.
type LedgerIdentityRequest struct{}

// LedgerIdentification tells the receiver the sender's identity, which is in
// LedgerMessage.From. It is, for example, the reply to a LedgerIdentityRequest.
type LedgerIdentification struct {
	// InCluster is true if the sender belongs to the message's cluster.
	InCluster bool   `json:"established,omitempty"`
	Zone      string `json:"zone,omitempty"`
}

// FromLedgerMembers maps members to their messages.
func FromLedgerMembers(members []hornbeamwell.LedgerMember) []LedgerMember {
	out := make([]LedgerMember, 0, len(members))
	for _, m := range members {
		out = append(out, LedgerMember{
			ID:       m.ID,
			Identity: m.Identity,
			Zone:     m.Zone,
			Address:  m.Address.String(),
			Role:     string(m.Role),
		})
	}
	return out
}

// ToLedgerMembers maps messages to members.
func ToLedgerMembers(in []LedgerMember) ([]hornbeamwell.LedgerMember, error) {
	out := make([]hornbeamwell.LedgerMember, 0, len(in))
	for _, m := range in {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return nil, fmt.Errorf("address of ledger member %s: %w", m.ID, err)
		}
		out = append(out, hornbeamwell.LedgerMember{
			ID:       m.ID,
			Identity: m.Identity,
			Zone:     m.Zone,
			Address:  address,
			Role:     hornbeamwell.LedgerRole(m.Role),
		})
	}
	return out, nil
}

// EncodeLedgerMembers encodes members as JSON.
func EncodeLedgerMembers(members []hornbeamwell.LedgerMember) ([]byte, error) {
	data, err := json.Marshal(FromLedgerMembers(members))
	if err != nil {
		return nil, fmt.Errorf("encode ledger members: %w", err)
	}
	return data, nil
}

// DecodeLedgerMembers decodes the output of EncodeLedgerMembers.
func DecodeLedgerMembers(data []byte) ([]hornbeamwell.LedgerMember, error) {
	var in []LedgerMember
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("decode ledger members: %w", err)
	}
	return ToLedgerMembers(in)
}
