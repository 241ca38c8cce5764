package ledger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
)

// digestHistorySize is the number of recent digests that are kept to compare
// them with the leader's.
const digestHistorySize = 1024

// digestChain is the running digest of the delivered entries.
type digestChain struct {
	index, digest uint64
	ring          [digestHistorySize]indexDigest
}

type indexDigest struct{ index, digest uint64 }

func (d *digestChain) reset(index, digest uint64) {
	d.index, d.digest = index, digest
	d.ring = [digestHistorySize]indexDigest{}
}

// add adds the next entry to the digest.
func (d *digestChain) add(e hornbeamwell.LedgerEntry) {
	if e.Index != d.index+1 {
		hornbeamwell.ReportViolation("ledger_applied_monotone", "entry %d is delivered after %d", e.Index, d.index)
	}
	header := make([]byte, 0, 25)
	header = binary.BigEndian.AppendUint64(header, d.digest)
	header = binary.BigEndian.AppendUint64(header, e.Index)
	header = binary.BigEndian.AppendUint64(header, e.Term)
	header = append(header, byte(e.Kind))
	hash := xxhash.New()
	_, _ = hash.Write(header)
	_, _ = hash.Write(e.Data)
	d.index, d.digest = e.Index, hash.Sum64()
	d.ring[d.index%digestHistorySize] = indexDigest{index: d.index, digest: d.digest}
}

// verify compares the digest at an index with the leader's, if it is still in
// the ring.
func (d *digestChain) verify(index, digest uint64) {
	own := d.ring[index%digestHistorySize]
	if own.index != index || index == 0 {
		return
	}
	if own.digest != digest {
		hornbeamwell.ReportViolation("ledger_one_history", "the digest at index %d is %x, the leader's is %x", index, own.digest, digest)
	}
}
