package wire

import "encoding/json"

// The methods of a delivery session. A subscriber calls MethodOpen; all other
// messages are notifications.
const (
	MethodOpen           = "session.open"
	MethodHeartbeat      = "session.heartbeat"
	MethodHeartbeatReply = "session.beat"
	MethodUpdate         = "session.update"
	MethodResync         = "session.resync"
	MethodAnnounce       = "session.announce"
	MethodLost           = "session.lost"
	MethodReport         = "session.report"
	MethodEvidence       = "session.evidence"
	MethodInterests      = "session.interests"
	MethodGoodbye        = "session.goodbye"
	MethodMoving         = "session.moving"
	// MethodBusy and MethodRecorded are sent by the source.
	MethodBusy     = "session.busy"
	MethodRecorded = "session.recorded"
)

// The roles of a subscriber.
const (
	// RoleProxy receives the services that its interests need.
	RoleProxy = "proxy"
	// RoleRelay is a source that receives its whole state from the leader.
	RoleRelay = "relay"
	// RoleFollower is a source that receives everything but the configuration,
	// which it reads from its own ledger.
	RoleFollower = "follower"
)

// Base identifies a state that a subscriber has.
type Base struct {
	// Epoch identifies the source that assigned Version. It is 0 where the
	// version means the same at every source.
	Epoch   uint64 `json:"epoch,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Digest  uint64 `json:"digest,omitempty"`
}

// OpenRequest opens a session.
type OpenRequest struct {
	ID      string `json:"id"`
	Zone    string `json:"zone,omitempty"`
	Role    string `json:"role"`
	Address string `json:"address,omitempty"`
	// Session is the subscriber's clock in ns. It increases with every session
	// of the same ID unless the clock is set back.
	Session uint64 `json:"session"`
	// Round increases with every OpenRequest and every Resync of the
	// subscriber.
	Round uint64 `json:"round"`
	// Interests are the services that the proxy's callers use; empty means all.
	Interests     []string `json:"interests,omitempty"`
	Configuration Base     `json:"configuration"`
	Presence      Base     `json:"presence"`
	// Ticket is the ticket of an earlier reply with RetryAfterMs, 0 for none.
	Ticket int64 `json:"ticket,omitempty"`
}

// OpenResponse is the reply to an OpenRequest. The session is open unless
// Redirect or RetryAfterMs is set.
type OpenResponse struct {
	Source string `json:"source"`
	// Redirect is the address of the source to contact instead.
	Redirect string `json:"redirect,omitempty"`
	// RetryAfterMs is the time in ms after which to retry with Ticket.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	Ticket       int64 `json:"ticket,omitempty"`
	// NeedGroups requests a Resync with the subscriber's group digests, because
	// the source does not have the state that the bases identify.
	NeedGroups bool `json:"need_groups,omitempty"`
}

// Heartbeat is sent by the subscriber. It acknowledges the configuration
// version.
type Heartbeat struct {
	Version uint64 `json:"version"`
	// Stamp is the time in ms since the subscriber started. The reply returns
	// it.
	Stamp int64 `json:"stamp"`
}

// HeartbeatReply is a source's reply to a Heartbeat.
type HeartbeatReply struct {
	Stamp int64 `json:"stamp"`
	// LeaseMs is the remaining share lease in ms, counted from Stamp, 0 if the
	// source's own share lease has ended. See delivery.Timing.
	LeaseMs int64 `json:"lease_ms,omitempty"`
	// ContactMs is the remaining time in ms, counted from Stamp, for which the source knows
	// the leader. It is set only if LeaseMs is 0: the source's configuration is behind the
	// leader's.
	ContactMs int64 `json:"contact_ms,omitempty"`
	// Version is the configuration version at the source.
	Version uint64 `json:"version"`
	// Sources are the addresses of all sources, set only when they changed
	// since the previous reply of the session. LocalSources is the number of those
	// in the subscriber's availability zone, which come first.
	Sources      []string `json:"sources,omitempty"`
	LocalSources int      `json:"local_sources,omitempty"`
}

// Busy tells the subscriber that the source is alive while its heartbeats, or the replies
// to them, are held up: a message of the subscriber arrives in parts, or an update for it is
// being built.
type Busy struct{}

// Update changes the state of a subscriber. Configuration, Presence and Proxies
// are packed Parts, each empty where nothing changes. All parts apply
// atomically.
type Update struct {
	// Round is the round of the last OpenRequest or Resync that the source
	// received. The subscriber ignores an update of an earlier round, which was
	// sent before the source knew the subscriber's state.
	Round         uint64 `json:"round"`
	Configuration []byte `json:"configuration,omitempty"`
	Presence      []byte `json:"presence,omitempty"`
	Proxies       []byte `json:"proxies,omitempty"`
}

// Part changes one of the streams that make up a subscriber's state.
type Part struct {
	Epoch   uint64 `json:"epoch,omitempty"`
	Version uint64 `json:"version"`
	// Digest is the digest of the state after the change.
	Digest uint64 `json:"digest"`
	// BaseDigest is the digest of the state that the change applies to. It is
	// not set if Full is.
	BaseDigest uint64 `json:"base_digest,omitempty"`
	// Full means that the part replaces the whole state.
	Full bool `json:"full,omitempty"`
	// Replaced are groups that replace the subscriber's groups of the same
	// services.
	Replaced []Group `json:"replaced,omitempty"`
	// Put are items to add or replace.
	Put []json.RawMessage `json:"put,omitempty"`
	// Removed are items to remove.
	Removed []ItemKey `json:"removed,omitempty"`
}

// Group holds the items of one service. A group without items is the same as no
// group.
type Group struct {
	Service string            `json:"service"`
	Items   []json.RawMessage `json:"items,omitempty"`
}

// ItemKey identifies an item.
type ItemKey struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
}

// Item is one resource. Exactly one field is set.
type Item struct {
	Service *Service       `json:"service,omitempty"`
	Route   *Route         `json:"route,omitempty"`
	Move    *Move          `json:"move,omitempty"`
	Target  *Target        `json:"target,omitempty"`
	Proxy   *ReportedProxy `json:"proxy,omitempty"`
	Team    *Team          `json:"team,omitempty"`

	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// GroupDigest is the digest of one group of a subscriber's state.
type GroupDigest struct {
	Service string `json:"s"`
	Digest  uint64 `json:"d"`
}

// Resync describes the subscriber's state and requests what is missing from it.
type Resync struct {
	Round         uint64        `json:"round"`
	Configuration []GroupDigest `json:"configuration,omitempty"`
	Presence      []GroupDigest `json:"presence,omitempty"`
	// Refused is the configuration version that the subscriber could not apply,
	// 0 for none.
	Refused uint64 `json:"refused,omitempty"`
}

// Interests replaces the interests of the session.
type Interests struct {
	// Services are sorted; empty means all.
	Services []string `json:"services,omitempty"`
}

// Announce carries target announcements.
type Announce struct {
	Targets List[Target] `json:"targets"`
}

// Recorded tells a proxy what its source has of the targets that it announced.
type Recorded struct {
	Targets List[Target] `json:"targets"`
	// Departed lists the targets whose departure is in the ledger. It is also sent to
	// relays, without Targets.
	Departed List[Departure] `json:"departed,omitempty"`
}

// LostTargets lists targets whose lease ended at the sending source.
type LostTargets struct {
	Targets List[Target] `json:"targets"`
}

// Report describes how far the configuration is in force on the proxies of a
// source.
type Report struct {
	// Watermark is the lowest version in force on the live proxies. It does not
	// exceed the version that a new proxy would receive from the source.
	Watermark uint64 `json:"watermark"`
	Live      int    `json:"live"`
	// Behind lists some of the live proxies whose version is lower than the
	// source's.
	Behind List[BehindProxy] `json:"behind,omitempty"`
	// Changes are the proxies that appeared, changed or were forgotten since the
	// last report. If Full is set, they include all proxies of the source.
	Changes List[ReportedProxy] `json:"changes,omitempty"`
	Full    bool                `json:"full,omitempty"`
}

// BehindProxy is a live proxy whose version is lower than its source's.
type BehindProxy struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// ReportedProxy is a source's record of one of its proxies.
type ReportedProxy struct {
	ID      string `json:"id"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address,omitempty"`
	Session uint64 `json:"session"`
	Version uint64 `json:"version,omitempty"`
	Silent  bool   `json:"silent,omitempty"`
	// LastContactAgoMs is the time in ms since the last message of a silent
	// proxy.
	LastContactAgoMs int64 `json:"heard_ago_ms,omitempty"`
	// Moving is set on a silent proxy that announced that it opens a session
	// with another source.
	Moving bool `json:"moving,omitempty"`
	// IsSource is true for a relay or a control instance that serves proxies.
	// Only the list for followers contains these.
	IsSource bool `json:"is_source,omitempty"`
	// Forgotten means that the source no longer counts the proxy.
	Forgotten bool `json:"forgotten,omitempty"`
}

// Evidence carries observations of calls.
type Evidence struct {
	Observations List[Observation] `json:"observations"`
}

// Goodbye ends a session before the process stops.
type Goodbye struct{}

// Moving ends a session before the proxy opens one with another source.
type Moving struct{}
