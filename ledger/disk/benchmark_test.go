package disk

import (
	"encoding/binary"
	"path/filepath"
	"testing"

	"github.com/tidwall/wal"
	"go.etcd.io/bbolt"

	"github.com/hornbeamwell/hornbeamwell"
)

// entryBytes is the size of a typical route change.
const entryBytes = 512

// BenchmarkSyncedEntry compares ways to store one synced entry. They run in
// turn on the same disk, so compare the times with each other rather than with
// those of other machines.
func BenchmarkSyncedEntry(b *testing.B) {
	b.Run("record_file", benchmarkStorage)
	b.Run("tidwall_wal", benchmarkWAL)
	b.Run("bbolt", benchmarkBolt)
}

func benchmarkStorage(b *testing.B) {
	folder, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = folder.Close() }()
	storage, err := Open(folder, newIdentity)
	if err != nil {
		b.Fatal(err)
	}
	index := uint64(0)
	for b.Loop() {
		index++
		entry := hornbeamwell.LedgerEntry{Index: index, Term: 1, Kind: hornbeamwell.LedgerCommand, Data: make([]byte, entryBytes)}
		if err := storage.Write(hornbeamwell.LedgerWrite{Entries: []hornbeamwell.LedgerEntry{entry}}); err != nil {
			b.Fatal(err)
		}
		if err := storage.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkWAL(b *testing.B) {
	log, err := wal.Open(filepath.Join(b.TempDir(), "wal"), nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	index := uint64(0)
	for b.Loop() {
		index++
		if err := log.Write(index, make([]byte, entryBytes)); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkBolt(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "bolt"), filePermissions, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	index := uint64(0)
	for b.Loop() {
		index++
		err := db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("entries"))
			if err != nil {
				return err
			}
			return bucket.Put(binary.BigEndian.AppendUint64(nil, index), make([]byte, entryBytes))
		})
		if err != nil {
			b.Fatal(err)
		}
	}
}
