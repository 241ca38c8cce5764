package hornbeamwell

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// ConfigVersion identifies a configuration. It is the index of the ledger entry
// that produced the configuration, so that a later configuration has a higher
// version.
type ConfigVersion uint64

// Share is the part of a service's new calls that a version receives, in basis
// points.
type Share uint16

// FullShare is the share of a version that receives all calls.
const FullShare Share = 10_000

// Class is the admission class of calls at a target that is short of slots.
type Class string

// The classes of calls.
const (
	// ClassInteractive calls have a caller that waits for the response.
	ClassInteractive Class = "interactive"
	// ClassBulk calls tolerate delay and yield to interactive calls.
	ClassBulk Class = "bulk"
)

// Configuration is the durable description of the services, routes and moves
// that is in force from one version on.
type Configuration struct {
	// Version is 0 for the empty configuration and increases with every change.
	Version ConfigVersion
	// Revision is the operators' revision of the services and routes, 0 where
	// they set none. It never decreases.
	Revision uint64
	// Document is the operators' document of the services and routes, empty
	// where they provided none. Only control instances store it.
	Document []byte
	// Services are sorted by name. Names are unique.
	Services []Service
	// Routes are sorted by name. Names are unique, and each route refers to a
	// service of this configuration.
	Routes []Route
	// Moves are the open moves, at most one for each service, in the order in
	// which they were accepted.
	Moves []Move
	// Teams are sorted by name. Names are unique. Without teams, calls carry no key.
	Teams []Team
	// Evacuations are sorted by zone. Zones are unique.
	Evacuations []Evacuation
}

// Team is a group of callers that shares a quota and is identified by its API keys.
type Team struct {
	Name string
	// KeyHashes are the hashes of the team's API keys, sorted. No other team has any
	// of them.
	KeyHashes []KeyHash
	// Priority replaces the priority of the route for the calls of the team. It is not
	// negative.
	Priority int
	// Quota limits the calls of the team at all proxies together.
	Quota Quota
}

// Quota is a token bucket. The zero value is no limit.
type Quota struct {
	// PerSecond is the rate in calls per second, 0 for no limit. It is finite and not
	// negative.
	PerSecond float64
	// Burst is the number of calls beyond the rate. It is finite and not negative.
	Burst float64
}

// IsLimited reports whether the quota limits the calls.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Evacuation is an operators' order that no calls are sent to the targets of an
// availability zone.
type Evacuation struct {
	Zone string
	// StartedAt is the leader's time when the order was accepted.
	StartedAt time.Time
}

// Service is a group of targets that serve the same routes.
type Service struct {
	Name string
	// IsOpen is true where operators list no versions: the versions follow from
	// the announcements of the targets, and moves decide which of them receives
	// the calls.
	IsOpen bool
	// Versions are sorted by name. Names are unique. They are empty only in an
	// open service whose versions no move has set yet.
	Versions []TargetVersion
	// ColdStart is the time after its start for which a target is cold. It is not
	// negative.
	ColdStart time.Duration
	// ColdRate is the number of calls per second that a cold target accepts from all
	// proxies together, 0 for any. It is finite and not negative.
	ColdRate float64
	// HealthPath is the path of the targets' health endpoint, empty for none. It starts
	// with a slash.
	HealthPath string
}

// WeightedService is one of the services that share the calls of a route.
type WeightedService struct {
	Service string
	// Weight is relative to the other weights. It is not negative.
	Weight int
}

// TargetVersion is one version of a service's software.
type TargetVersion struct {
	Name string
	// Share is the part of the service's calls that this version receives
	// outside a move. The shares of a service add up to FullShare.
	Share Share
}

// Route sends the calls that it matches to a service.
type Route struct {
	Name string
	// Host is the host to match, without a port. The empty host matches every
	// host.
	Host string
	// PathPrefix starts with a slash. It matches the paths that begin with it and, unless
	// it ends with a slash, go on with one or end there.
	PathPrefix string
	// Methods are the HTTP methods to match. No methods match every method.
	Methods []string
	// Service receives the calls. It is the first service of Split where Split
	// is set.
	Service string
	// Split distributes the calls among several services. It is empty where
	// Service receives all calls. At least one weight is greater than zero.
	Split []WeightedService
	// Idempotent is true where running a call more than once is harmless.
	Idempotent bool
	Class      Class
	// Timeout limits the time from the arrival of a call at the entry proxy to
	// the end of its response. It is greater than zero.
	Timeout time.Duration
	// MaxBodyBytes limits the size of a request body. It is greater than zero.
	MaxBodyBytes int64
	// MaxAttempts limits the attempts of a call, including the first. It is at
	// least one.
	MaxAttempts int
	// Priority orders the calls of a class at a target that is short of slots.
	// Lower values are admitted first. It is not negative.
	Priority int
	// LatencyObjective is the time within which a response has its full value
	// to the caller, 0 where operators set none.
	LatencyObjective time.Duration
	// IsPublic is true where calls need no key although the configuration has teams.
	IsPublic bool
}

// WeightedServices returns the services that receive the calls of the route.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Service returns the service with the name.
func (c *Configuration) Service(name string) (Service, bool) {
	i, found := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int {
		return strings.Compare(s.Name, n)
	})
	if !found {
		return Service{}, false
	}
	return c.Services[i], true
}

// OpenMove returns the move of the service that is not final.
func (c *Configuration) OpenMove(service string) (Move, bool) {
	for _, m := range c.Moves {
		if m.Service == service && !m.Phase.IsFinal() {
			return m, true
		}
	}
	return Move{}, false
}

// Version returns the version with the name.
func (s Service) Version(name string) (TargetVersion, bool) {
	for _, v := range s.Versions {
		if v.Name == name {
			return v, true
		}
	}
	return TargetVersion{}, false
}
