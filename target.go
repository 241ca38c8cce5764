package hornbeamwell

import (
	"net/netip"
	"time"
)

// TargetState is the state that a target announces.
type TargetState string

// The states of a target.
const (
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	TargetGone     TargetState = "gone"
)

// Target is one instance of a service as announced by the proxy beside it.
type Target struct {
	// ID is unique among live targets and survives restarts of the target.
	ID string
	// Name identifies the current incarnation of the target. It is sent with
	// each call, so that another target that has taken over the address refuses
	// the call. It is empty where the target has none.
	Name             string
	Service, Version string
	// Zone is the availability zone of the proxy beside the target.
	Zone string
	// Exit is the address of the proxy beside the target.
	Exit netip.AddrPort
	// Slots is the number of calls that the target runs concurrently. It is at
	// least one.
	Slots int
	// Connections is the number of connections that the target accepts. It is
	// at least one.
	Connections int
	// Incarnation increases with every start of the target, Sequence with every
	// change of its announcement. Announcements with a lower pair are stale and
	// ignored.
	Incarnation, Sequence uint64
	State                 TargetState
	// ReadyAt is the time, on the clock of the announcing proxy, at which that
	// proxy first saw the target ready in this incarnation.
	ReadyAt time.Time
	// ColdStart is the time after ReadyAt for which the target is slower than
	// usual. It is not negative.
	ColdStart time.Duration
}

// IsNewer reports whether the announcement t supersedes the announcement other
// of the same target.
func (t *Target) IsNewer(other *Target) bool {
	if t.Incarnation != other.Incarnation {
		return t.Incarnation > other.Incarnation
	}
	return t.Sequence > other.Sequence
}

// Departure records that a target drains or is gone. The ledger keeps it, so that an older
// announcement does not make the target ready again after every process has been killed.
type Departure struct {
	// Target is in the state TargetDraining or TargetGone.
	Target Target
	// RecordedAt is the time, on the leader's clock, at which the departure was recorded.
	RecordedAt time.Time
}

// Presence is the soft state of all targets. Its version counts the changes
// made by one source and cannot be compared between sources.
type Presence struct {
	Version uint64
	Targets []Target
}
