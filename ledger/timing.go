package ledger

import "time"

// Timing holds the periods of the protocol. All instances use the same.
type Timing struct {
	// Heartbeat is the time between two rounds of heartbeats.
	Heartbeat time.Duration
	// ElectionMin is the time after a message of the leader for which an
	// instance votes for no other candidate. ElectionMax is the upper limit of
	// the election timeout.
	ElectionMin, ElectionMax time.Duration
	// DriftPercent bounds the difference between the rate of an instance's
	// monotonic clock and true time, in percent.
	DriftPercent int
	// Retransmit is the time after which unacknowledged entries are sent again
	// for the first time.
	Retransmit time.Duration
}

// DefaultTiming returns the periods for zones that are a few milliseconds
// apart.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:    100 * time.Millisecond,
		ElectionMin:  600 * time.Millisecond,
		ElectionMax:  1200 * time.Millisecond,
		DriftPercent: 5,
		Retransmit:   500 * time.Millisecond,
	}
}

// SiteTiming returns the periods for instances a few milliseconds apart that
// must have a leader within a second after all of them were down. An instance
// grants no vote for ElectionMin after its start, since it may have promised
// that before.
func SiteTiming() Timing {
	return Timing{
		Heartbeat:    70 * time.Millisecond,
		ElectionMin:  300 * time.Millisecond,
		ElectionMax:  600 * time.Millisecond,
		DriftPercent: 5,
		Retransmit:   300 * time.Millisecond,
	}
}

// lease returns the duration of a promise on the leader's clock. A fast
// follower clock ends the promise early by the drift, and a slow leader clock
// notices the end late by the drift.
func (t Timing) lease() time.Duration {
	return t.ElectionMin * time.Duration(100-t.DriftPercent) / time.Duration(100+t.DriftPercent)
}

// Limits bound the memory and the messages of an instance.
type Limits struct {
	// BatchEntries and BatchBytes bound one append. A larger entry is sent
	// alone.
	BatchEntries, BatchBytes int
	// MaxInflight is the maximum number of unacknowledged appends to a member.
	MaxInflight int
	// MaxUncommitted is the number of uncommitted entries at which proposals
	// are rejected. They are also rejected at LogBytes of data in them.
	MaxUncommitted int
	// CommandBytes bounds one command.
	CommandBytes int
	// SnapshotEntries is the number of applied entries after which a snapshot
	// is taken.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the data of applied entries after which a snapshot is
	// taken. Where the last snapshot is large, it is snapshotRatio times its size, but at most
	// LogBytes.
	SnapshotBytes, LogBytes int
	// TrailingEntries is the number of entries before a snapshot that are kept
	// in memory for lagging members, TrailingBytes the size of their data.
	TrailingEntries uint64
	TrailingBytes   int
	// ChunkBytes bounds one part of a snapshot.
	ChunkBytes int
}

// snapshotRatio is the size of the entries after which a snapshot is taken in relation to the
// last one, so that snapshots add a quarter to what is written.
const snapshotRatio = 4

// snapshotDueBytes returns the size of the data of applied entries after which a snapshot is
// taken, for the size of the last one.
func (l Limits) snapshotDueBytes(last int) int {
	return min(max(l.SnapshotBytes, snapshotRatio*last), l.LogBytes)
}

// DefaultLimits returns limits that suit commands of a few kilobytes. Commands of
// up to 8 MiB are accepted.
func DefaultLimits() Limits {
	return Limits{
		BatchEntries:    256,
		BatchBytes:      128 << 10,
		MaxInflight:     8,
		MaxUncommitted:  4096,
		CommandBytes:    8 << 20,
		SnapshotEntries: 4096,
		SnapshotBytes:   4 << 20,
		LogBytes:        16 << 20,
		TrailingEntries: 1024,
		TrailingBytes:   4 << 20,
		ChunkBytes:      256 << 10,
	}
}
