package ledger

import "time"

// Timing holds the periods of the protocol. All instances use the same.
type Timing struct {
	// Heartbeat is the time between two rounds of heartbeats.
	Heartbeat time.Duration
	// ElectionMin is the time for which an instance that heard a leader grants
	// no vote. ElectionMax bounds the time after which it starts an election.
	ElectionMin, ElectionMax time.Duration
	// DriftPercent bounds the difference between the rate of an instance's
	// monotonic clock and true time, in hundredths.
	DriftPercent int
	// Retransmit is the time after which unanswered entries are sent again.
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

// SiteTiming returns the periods for instances a few milliseconds apart that must
// lead again within a second after all of them were down. An instance that starts
// waits for ElectionMin, since it may have promised that before.
func SiteTiming() Timing {
	return Timing{
		Heartbeat:    70 * time.Millisecond,
		ElectionMin:  300 * time.Millisecond,
		ElectionMax:  600 * time.Millisecond,
		DriftPercent: 5,
		Retransmit:   300 * time.Millisecond,
	}
}

// lease returns how long a promise holds by the leader's clock. A follower's
// clock that runs fast ends its promise early by the drift, and a leader's
// clock that runs slow sees the end late by the drift.
func (t Timing) lease() time.Duration {
	return t.ElectionMin * time.Duration(100-t.DriftPercent) / time.Duration(100+t.DriftPercent)
}

// Limits bound what an instance holds and sends.
type Limits struct {
	// BatchEntries and BatchBytes bound one append. A larger entry is sent
	// alone.
	BatchEntries, BatchBytes int
	// MaxInflight is the number of appends to a member that are not answered.
	MaxInflight int
	// MaxUncommitted is the number of entries that are not committed, above which
	// proposals are refused.
	MaxUncommitted int
	// CommandBytes bounds one command.
	CommandBytes int
	// SnapshotEntries is the number of applied entries after which a snapshot
	// is taken.
	SnapshotEntries uint64
	// TrailingEntries is the number of entries before a snapshot that are kept in
	// memory for members that lag.
	TrailingEntries uint64
	// ChunkBytes bounds one part of a snapshot.
	ChunkBytes int
}

// DefaultLimits returns the limits for commands of a few kilobytes.
func DefaultLimits() Limits {
	return Limits{
		BatchEntries:    256,
		BatchBytes:      128 << 10,
		MaxInflight:     8,
		MaxUncommitted:  4096,
		CommandBytes:    8 << 20,
		SnapshotEntries: 4096,
		TrailingEntries: 1024,
		ChunkBytes:      256 << 10,
	}
}
