package wire

import "encoding/json"

// The methods of a delivery session. A subscriber calls session.open; all
// other messages are notifications.
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
)

// The roles of a subscriber.
const (
	// RoleProxy holds the closure of its interests.
	RoleProxy = "proxy"
	// RoleRelay is a source that takes everything from the leader.
	RoleRelay = "relay"
	// RoleFollower is a source that takes all but the configuration, which its
	// own ledger gives.
	RoleFollower = "follower"
)

// Base names a state that a subscriber holds.
type Base struct {
	// Epoch identifies the source that counted Version, 0 where the version
	// means the same everywhere.
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
	// Session grows with every session of the id.
	Session uint64 `json:"session"`
	// Round grows with every request and every Resync of the subscriber.
	Round uint64 `json:"round"`
	// Interests are the services of the callers; none means all.
	Interests     []string `json:"interests,omitempty"`
	Configuration Base     `json:"configuration"`
	Presence      Base     `json:"presence"`
	// Ticket is what an earlier answer gave with RetryAfterMs, 0 for none.
	Ticket int64 `json:"ticket,omitempty"`
}

// OpenResponse answers an OpenRequest. The session is open unless Redirect or
// RetryAfterMs is set.
type OpenResponse struct {
	Source string `json:"source"`
	// Redirect is the address to ask instead.
	Redirect string `json:"redirect,omitempty"`
	// RetryAfterMs is the time in ms after which to ask again, with Ticket.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	Ticket       int64 `json:"ticket,omitempty"`
	// NeedGroups asks for a Resync with the groups of the subscriber, because
	// the source does not know the bases.
	NeedGroups bool `json:"need_groups,omitempty"`
}

// Heartbeat goes from the subscriber to the source. It acknowledges Version.
type Heartbeat struct {
	Version uint64 `json:"version"`
	// Stamp is a time of the subscriber in ms that the Beat returns.
	Stamp int64 `json:"stamp"`
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Stamp int64 `json:"stamp"`
	// LeaseMs is the time in ms since Stamp for which the leader's word
	// holds, 0 where the source has no contact with the leader.
	LeaseMs int64 `json:"lease_ms,omitempty"`
	// Version is the configuration version that the source has.
	Version uint64 `json:"version"`
	// Sources are the addresses of all sources, where they changed since the
	// last beat of the session.
	Sources []string `json:"sources,omitempty"`
}

// Update changes the state of the subscriber. Each field is a packed Part, none
// where nothing changes. All parts apply together.
type Update struct {
	// Round is that of the last request or Resync that the source knows. The
	// subscriber passes over an update of an earlier round, which was on its
	// way when it said what it holds.
	Round         uint64 `json:"round"`
	Configuration []byte `json:"configuration,omitempty"`
	Presence      []byte `json:"presence,omitempty"`
	Proxies       []byte `json:"proxies,omitempty"`
}

// Part changes one stream of a subscriber's state.
type Part struct {
	Epoch   uint64 `json:"epoch,omitempty"`
	Version uint64 `json:"version"`
	// Digest is the digest of the state after the change.
	Digest uint64 `json:"digest"`
	// BaseDigest is the digest of the state that the change applies to. It is
	// not set where Full is.
	BaseDigest uint64 `json:"base_digest,omitempty"`
	// Full replaces the whole state.
	Full bool `json:"full,omitempty"`
	// Replaced are groups to hold in place of the subscriber's.
	Replaced []Group `json:"replaced,omitempty"`
	// Put are items to add or replace.
	Put []json.RawMessage `json:"put,omitempty"`
	// Removed are items to remove.
	Removed []ItemKey `json:"removed,omitempty"`
}

// Group is the items of one service. A group without items does not exist.
type Group struct {
	Service string            `json:"service"`
	Items   []json.RawMessage `json:"items,omitempty"`
}

// ItemKey names an item.
type ItemKey struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
}

// Item is one of its fields.
type Item struct {
	Service *Service       `json:"service,omitempty"`
	Route   *Route         `json:"route,omitempty"`
	Move    *Move          `json:"move,omitempty"`
	Target  *Target        `json:"target,omitempty"`
	Proxy   *ReportedProxy `json:"proxy,omitempty"`
}

// GroupDigest is the digest of a group that a subscriber holds.
type GroupDigest struct {
	Service string `json:"s"`
	Digest  uint64 `json:"d"`
}

// Resync says what the subscriber holds and asks for what it lacks.
type Resync struct {
	Round         uint64        `json:"round"`
	Configuration []GroupDigest `json:"configuration,omitempty"`
	Presence      []GroupDigest `json:"presence,omitempty"`
	// Refused is the configuration version that the subscriber cannot apply,
	// 0 for none.
	Refused uint64 `json:"refused,omitempty"`
}

// Interests replaces the interests of the session.
type Interests struct {
	// Services are sorted; none means all.
	Services []string `json:"services,omitempty"`
}

// Announce carries the announcements of targets.
type Announce struct {
	Targets []Target `json:"targets"`
}

// Lost names targets whose lease ended at the sending source.
type Lost struct {
	Targets []Target `json:"targets"`
}

// Report says how far the configuration is in force below a source.
type Report struct {
	// Watermark is the lowest version in force on the Live proxies, and not
	// above the version that a new proxy would get from the source.
	Watermark uint64 `json:"watermark"`
	Live      int    `json:"live"`
	// Behind names some of the live proxies that are below the source's
	// version.
	Behind []BehindProxy `json:"behind,omitempty"`
	// Changes are the proxies that appeared or changed since the last report,
	// or all of them where Full is set.
	Changes []ReportedProxy `json:"changes,omitempty"`
	Full    bool            `json:"full,omitempty"`
}

// BehindProxy is a live proxy below the newest version.
type BehindProxy struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// ReportedProxy is what a source knows of a proxy below it.
type ReportedProxy struct {
	ID      string `json:"id"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address,omitempty"`
	Session uint64 `json:"session"`
	Version uint64 `json:"version,omitempty"`
	Silent  bool   `json:"silent,omitempty"`
	// LastContactAgoMs is the time in ms since a silent proxy was heard from.
	LastContactAgoMs int64 `json:"heard_ago_ms,omitempty"`
	// IsSource is set in the list for followers where this is a relay or a
	// control instance that serves proxies.
	IsSource bool `json:"is_source,omitempty"`
	// Forgotten says that the source no longer counts the proxy.
	Forgotten bool `json:"forgotten,omitempty"`
}

// Evidence carries observations of calls.
type Evidence struct {
	Observations []Observation `json:"observations"`
}

// Goodbye ends a session on purpose: the process stops.
type Goodbye struct{}
