package hornbeamwell

import (
	"net/netip"
	"time"
)

// TargetState is what a target announced of itself.
type TargetState string

// The states of a target.
const (
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	TargetGone     TargetState = "gone"
)

// Target is one instance of a service as the proxy beside it announced it.
type Target struct {
	// ID is unique among live targets and the same after a restart.
	ID string
	// Name is the target's own name of its present incarnation, which is sent
	// with each call so that another target at the address refuses it. It is
	// empty where the target has none.
	Name             string
	Service, Version string
	// Zone is the availability zone of the proxy beside the target.
	Zone string
	// Exit is the address of the proxy beside the target.
	Exit netip.AddrPort
	// Slots is the number of calls that the target runs at once. It is at
	// least one.
	Slots int
	// Connections is the number of connections that the target accepts. It is
	// at least one.
	Connections int
	// Incarnation grows with every start of the target, Sequence with every
	// change of its announcement. An announcement with a lower pair is old
	// and changes nothing.
	Incarnation, Sequence uint64
	State                 TargetState
	// ReadyAt is the time of the announcing proxy at which the target was
	// first ready in this incarnation.
	ReadyAt time.Time
	// ColdStart is the time from ReadyAt on in which the target is slower than
	// usual. It is not negative.
	ColdStart time.Duration
}

// IsNewer reports whether the announcement t follows the announcement other of
// the same target.
func (t *Target) IsNewer(other *Target) bool {
	if t.Incarnation != other.Incarnation {
		return t.Incarnation > other.Incarnation
	}
	return t.Sequence > other.Sequence
}

// Presence is the soft state of the targets. Its version counts the changes
// that one source made and means nothing to another source.
type Presence struct {
	Version uint64
	Targets []Target
}
