package ledger

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// errNoBody is returned for a message whose body is missing or unknown.
var errNoBody = errors.New("ledger message without a known body")

// encodeMessage converts a message to its wire form.
func encodeMessage(m Message) wire.LedgerMessage {
	out := wire.LedgerMessage{
		From:    encodeEndpoint(m.From),
		To:      encodeEndpoint(m.To),
		Cluster: m.Cluster,
		Term:    m.Term,
	}
	switch b := m.Body.(type) {
	case VoteRequest:
		out.VoteRequest = &wire.LedgerVoteRequest{PreVote: b.PreVote, Transfer: b.Transfer, LastIndex: b.LastIndex, LastTerm: b.LastTerm}
	case VoteReply:
		out.VoteReply = &wire.LedgerVoteReply{PreVote: b.PreVote, Granted: b.Granted}
	case Append:
		out.Append = encodeAppend(b)
	case AppendReply:
		out.AppendReply = &wire.LedgerAppendReply{Rejected: b.Rejected, Match: b.Match}
	case Heartbeat:
		out.Heartbeat = &wire.LedgerHeartbeat{Round: b.Round, Commit: b.Commit, DigestIndex: b.DigestIndex, Digest: b.Digest}
	case HeartbeatReply:
		out.HeartbeatReply = &wire.LedgerHeartbeatReply{Round: b.Round}
	case SnapshotChunk:
		out.SnapshotChunk = encodeChunk(b)
	case SnapshotReply:
		out.SnapshotReply = &wire.LedgerSnapshotReply{Index: b.Index, Next: b.Next}
	case LeadershipTransfer:
		out.Transfer = &wire.LedgerTransfer{}
	case LeaveRequest:
		out.LeaveRequest = &wire.LedgerLeaveRequest{}
	case LeaveReply:
		out.LeaveReply = &wire.LedgerLeaveReply{}
	case IdentityRequest:
		out.IdentityRequest = &wire.LedgerIdentityRequest{}
	case Identification:
		out.Identification = &wire.LedgerIdentification{InCluster: b.InCluster, Zone: b.Zone}
	}
	return out
}

// decodeMessage converts a message from its wire form.
func decodeMessage(in wire.LedgerMessage) (Message, error) {
	from, err := decodeEndpoint(in.From)
	if err != nil {
		return Message{}, fmt.Errorf("sender of ledger message: %w", err)
	}
	to, err := decodeEndpoint(in.To)
	if err != nil {
		return Message{}, fmt.Errorf("receiver of ledger message: %w", err)
	}
	body, err := decodeBody(in)
	if err != nil {
		return Message{}, err
	}
	return Message{From: from, To: to, Cluster: in.Cluster, Term: in.Term, Body: body}, nil
}

func decodeBody(in wire.LedgerMessage) (Body, error) {
	switch {
	case in.VoteRequest != nil:
		b := in.VoteRequest
		return VoteRequest{PreVote: b.PreVote, Transfer: b.Transfer, LastIndex: b.LastIndex, LastTerm: b.LastTerm}, nil
	case in.VoteReply != nil:
		return VoteReply{PreVote: in.VoteReply.PreVote, Granted: in.VoteReply.Granted}, nil
	case in.Append != nil:
		return decodeAppend(in.Append), nil
	case in.AppendReply != nil:
		return AppendReply{Rejected: in.AppendReply.Rejected, Match: in.AppendReply.Match}, nil
	case in.Heartbeat != nil:
		b := in.Heartbeat
		return Heartbeat{Round: b.Round, Commit: b.Commit, DigestIndex: b.DigestIndex, Digest: b.Digest}, nil
	case in.HeartbeatReply != nil:
		return HeartbeatReply{Round: in.HeartbeatReply.Round}, nil
	case in.SnapshotChunk != nil:
		return decodeChunk(in.SnapshotChunk)
	case in.SnapshotReply != nil:
		return SnapshotReply{Index: in.SnapshotReply.Index, Next: in.SnapshotReply.Next}, nil
	case in.Transfer != nil:
		return LeadershipTransfer{}, nil
	case in.LeaveRequest != nil:
		return LeaveRequest{}, nil
	case in.LeaveReply != nil:
		return LeaveReply{}, nil
	case in.IdentityRequest != nil:
		return IdentityRequest{}, nil
	case in.Identification != nil:
		return Identification{InCluster: in.Identification.InCluster, Zone: in.Identification.Zone}, nil
	}
	return nil, errNoBody
}

func encodeAppend(b Append) *wire.LedgerAppend {
	out := &wire.LedgerAppend{PreviousIndex: b.PreviousIndex, PreviousTerm: b.PreviousTerm, Commit: b.Commit}
	for _, e := range b.Entries {
		out.Entries = append(out.Entries, wire.LedgerEntry{Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), Data: e.Data})
	}
	return out
}

func decodeAppend(in *wire.LedgerAppend) Append {
	out := Append{PreviousIndex: in.PreviousIndex, PreviousTerm: in.PreviousTerm, Commit: in.Commit}
	for _, e := range in.Entries {
		kind := hornbeamwell.LedgerEntryKind(e.Kind)
		out.Entries = append(out.Entries, hornbeamwell.LedgerEntry{Index: e.Index, Term: e.Term, Kind: kind, Data: e.Data})
	}
	return out
}

func encodeChunk(b SnapshotChunk) *wire.LedgerSnapshotChunk {
	return &wire.LedgerSnapshotChunk{
		Index:   b.Snapshot.Index,
		Term:    b.Snapshot.Term,
		Members: wire.FromLedgerMembers(b.Snapshot.Members),
		Digest:  b.Snapshot.Digest,
		Offset:  b.Offset,
		Total:   b.Total,
		Data:    b.Data,
	}
}

func decodeChunk(in *wire.LedgerSnapshotChunk) (SnapshotChunk, error) {
	members, err := wire.ToLedgerMembers(in.Members)
	if err != nil {
		return SnapshotChunk{}, fmt.Errorf("members of snapshot %d: %w", in.Index, err)
	}
	snapshot := hornbeamwell.LedgerSnapshot{Index: in.Index, Term: in.Term, Members: members, Digest: in.Digest}
	return SnapshotChunk{Snapshot: snapshot, Offset: in.Offset, Total: in.Total, Data: in.Data}, nil
}

func encodeEndpoint(e Endpoint) wire.LedgerEndpoint {
	return wire.LedgerEndpoint{ID: e.ID, Identity: e.Identity, Address: e.Address.String()}
}

func decodeEndpoint(in wire.LedgerEndpoint) (Endpoint, error) {
	address, err := netip.ParseAddrPort(in.Address)
	if err != nil {
		return Endpoint{}, fmt.Errorf("address of %s: %w", in.ID, err)
	}
	return Endpoint{ID: in.ID, Identity: in.Identity, Address: address}, nil
}
