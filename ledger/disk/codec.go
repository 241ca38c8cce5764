package disk

import (
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

var errPayload = errors.New("malformed record payload")

// logHeader is the first record of a log file.
type logHeader struct {
	Identity string `json:"identity"`
	// Base is the index of the entry before the first of the file.
	Base uint64 `json:"base"`
	// InitialBytes is the size of the records that were written together with
	// the header, without the header.
	InitialBytes int64 `json:"initial_bytes"`
}

// snapshotHeader is the first record of a snapshot file.
type snapshotHeader struct {
	Cluster string              `json:"cluster"`
	Index   uint64              `json:"index"`
	Term    uint64              `json:"term"`
	Digest  uint64              `json:"digest"`
	Members []wire.LedgerMember `json:"members"`
	// DataBytes is the size of the payloads of the data records that follow.
	DataBytes int `json:"data_bytes"`
}

func encodeEntry(e hornbeamwell.LedgerEntry) []byte { return append(encodeEntryHead(e), e.Data...) }

// encodeEntryHead returns the encoding of an entry without its data.
func encodeEntryHead(e hornbeamwell.LedgerEntry) []byte {
	out := binary.AppendUvarint(nil, e.Index)
	out = binary.AppendUvarint(out, e.Term)
	return append(out, byte(e.Kind))
}

func decodeEntry(payload []byte) (hornbeamwell.LedgerEntry, error) {
	index, n := binary.Uvarint(payload)
	if n <= 0 {
		return hornbeamwell.LedgerEntry{}, errPayload
	}
	term, m := binary.Uvarint(payload[n:])
	if m <= 0 || len(payload) < n+m+1 {
		return hornbeamwell.LedgerEntry{}, errPayload
	}
	kind := hornbeamwell.LedgerEntryKind(payload[n+m])
	data := append([]byte(nil), payload[n+m+1:]...)
	return hornbeamwell.LedgerEntry{Index: index, Term: term, Kind: kind, Data: data}, nil
}

func encodeVote(v hornbeamwell.LedgerVote) []byte {
	return append(binary.AppendUvarint(nil, v.Term), v.Candidate...)
}

func decodeVote(payload []byte) (hornbeamwell.LedgerVote, error) {
	term, n := binary.Uvarint(payload)
	if n <= 0 {
		return hornbeamwell.LedgerVote{}, errPayload
	}
	return hornbeamwell.LedgerVote{Term: term, Candidate: string(payload[n:])}, nil
}

// dataRecordBytes is the maximum payload of a snapshot's data records.
const dataRecordBytes = 1 << 20

func encodeSnapshot(s hornbeamwell.LedgerSnapshot) ([]byte, error) {
	header, err := json.Marshal(snapshotHeader{
		Cluster:   s.Cluster,
		Index:     s.Index,
		Term:      s.Term,
		Digest:    s.Digest,
		Members:   wire.FromLedgerMembers(s.Members),
		DataBytes: len(s.Data),
	})
	if err != nil {
		return nil, err
	}
	out := appendRecord(nil, recordSnapshot, header)
	for rest := s.Data; len(rest) > 0; {
		n := min(len(rest), dataRecordBytes)
		out = appendRecord(out, recordData, rest[:n])
		rest = rest[n:]
	}
	return appendRecord(out, recordEnd, nil), nil
}

func decodeSnapshot(name string, content []byte) (hornbeamwell.LedgerSnapshot, error) {
	records, end := readRecords(content)
	corrupt := &hornbeamwell.CorruptError{File: name, Offset: end, Problem: "the snapshot is damaged or truncated"}
	if end != int64(len(content)) || len(records) < 2 || records[0].kind != recordSnapshot || records[len(records)-1].kind != recordEnd {
		return hornbeamwell.LedgerSnapshot{}, corrupt
	}
	var header snapshotHeader
	if err := json.Unmarshal(records[0].payload, &header); err != nil {
		return hornbeamwell.LedgerSnapshot{}, corrupt
	}
	members, err := wire.ToLedgerMembers(header.Members)
	if err != nil {
		return hornbeamwell.LedgerSnapshot{}, corrupt
	}
	var data []byte
	for _, r := range records[1 : len(records)-1] {
		data = append(data, r.payload...)
	}
	if len(data) != header.DataBytes {
		return hornbeamwell.LedgerSnapshot{}, corrupt
	}
	return hornbeamwell.LedgerSnapshot{
		Cluster: header.Cluster,
		Index:   header.Index,
		Term:    header.Term,
		Digest:  header.Digest,
		Members: members,
		Data:    data,
	}, nil
}
