package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind is the kind of a record.
type recordKind byte

const (
	recordHeader   recordKind = 1
	recordEntry    recordKind = 2
	recordVote     recordKind = 3
	recordSynced   recordKind = 4
	recordSnapshot recordKind = 5
	recordData     recordKind = 6
	recordEnd      recordKind = 7
)

// A record is its magic, the length of its payload, a checksum, its kind and
// its payload. Numbers are big endian. recordHeadBytes is the size of all but
// the payload.
const (
	recordMagic     = 0x68627721
	recordHeadBytes = 13
	// maxRecordBytes bounds the payload of one record.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one record and its position in a file.
type record struct {
	kind    recordKind
	payload []byte
	// offset and end are the positions of the record's first byte and of the
	// byte after its last.
	offset, end int64
}

// appendRecord adds a record to a buffer.
func appendRecord(buffer []byte, kind recordKind, payload []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, recordMagic)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, checksum(kind, payload))
	buffer = append(buffer, byte(kind))
	return append(buffer, payload...)
}

// readRecord reads the record at an offset. It reports false if there is no
// complete and undamaged record.
func readRecord(content []byte, offset int64) (record, bool) {
	rest := content[offset:]
	if len(rest) < recordHeadBytes || binary.BigEndian.Uint32(rest) != recordMagic {
		return record{}, false
	}
	size := int64(binary.BigEndian.Uint32(rest[4:]))
	if size > maxRecordBytes || size > int64(len(rest)-recordHeadBytes) {
		return record{}, false
	}
	kind := recordKind(rest[12])
	payload := rest[recordHeadBytes : recordHeadBytes+size]
	if checksum(kind, payload) != binary.BigEndian.Uint32(rest[8:]) {
		return record{}, false
	}
	return record{kind: kind, payload: payload, offset: offset, end: offset + recordHeadBytes + size}, true
}

// readRecords reads records from the start of a file. It returns them with the
// offset after the last valid one.
func readRecords(content []byte) ([]record, int64) {
	var records []record
	var offset int64
	for {
		r, ok := readRecord(content, offset)
		if !ok {
			return records, offset
		}
		records = append(records, r)
		offset = r.end
	}
}

// syncedSizeAfter returns the largest synced size that a record at or after the
// offset states. Such a record proves that damage before that size is not a
// torn write.
func syncedSizeAfter(content []byte, offset int64) int64 {
	var size int64
	for at := offset; at < int64(len(content)); at++ {
		r, ok := readRecord(content, at)
		if !ok || r.kind != recordSynced || len(r.payload) != 8 {
			continue
		}
		size = max(size, int64(binary.BigEndian.Uint64(r.payload)))
	}
	return size
}

func checksum(kind recordKind, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoli, []byte{byte(kind)})
	sum = crc32.Update(sum, castagnoli, binary.BigEndian.AppendUint32(nil, uint32(len(payload))))
	return crc32.Update(sum, castagnoli, payload)
}
