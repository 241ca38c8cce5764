package hornbeamwell

import (
	"slices"
	"strings"
	"time"
)

// ConfigVersion identifies a configuration. It is the ledger index of the
// entry that produced it, so that a later configuration has a higher version.
type ConfigVersion uint64

// Share is a part of a service's new calls, in basis points.
type Share uint16

// FullShare is every call of a service.
const FullShare Share = 10_000

// Class orders calls when a target is short of slots.
type Class string

// The classes of calls.
const (
	// ClassInteractive calls have a caller waiting for the answer.
	ClassInteractive Class = "interactive"
	// ClassBulk calls may be late and give way to interactive calls.
	ClassBulk Class = "bulk"
)

// Configuration is the durable description of services, routes and moves that
// is in force from one version on.
type Configuration struct {
	// Version is 0 for the empty configuration and grows with every change.
	Version ConfigVersion
	// Revision is the operators' own number of the services and routes, 0 where
	// they give none. It never decreases.
	Revision uint64
	// Document is the operators' own text of the services and routes, empty
	// where they gave none. Only control instances hold it.
	Document []byte
	// Services are sorted by name; names are unique.
	Services []Service
	// Routes are sorted by name; names are unique and each names a service of
	// this configuration.
	Routes []Route
	// Moves are sorted by the time they were accepted. At most one move of a
	// service is not final.
	Moves []Move
}

// Service is a group of targets that answer the same routes.
type Service struct {
	Name string
	// IsOpen is true where operators list no versions: the targets' own
	// announcements say which there are, and moves settle which of them gets
	// the calls.
	IsOpen bool
	// Versions are sorted by name; names are unique. They are empty only in an
	// open service that no move has settled yet.
	Versions []TargetVersion
}

// WeightedService is one of the services that share the calls of a route.
type WeightedService struct {
	Service string
	// Weight is the part of the calls in relation to the other weights. It is
	// not negative.
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
	// Host is the host to match without a port; empty matches every host.
	Host string
	// PathPrefix starts with a slash.
	PathPrefix string
	// Methods are the HTTP methods to match; empty matches every method.
	Methods []string
	// Service takes the calls. It is the first of Split where that is given.
	Service string
	// Split shares the calls among several services. It is empty where Service
	// takes them all. At least one weight is greater than zero.
	Split []WeightedService
	// Idempotent is true where a call may run more than once without harm.
	Idempotent bool
	Class      Class
	// Timeout bounds a call from its arrival at the entry proxy to the end of
	// its answer. It is greater than zero.
	Timeout time.Duration
	// MaxBodyBytes bounds the body of a request. It is greater than zero.
	MaxBodyBytes int64
	// MaxAttempts bounds the attempts of a call, the first included. It is at
	// least one.
	MaxAttempts int
	// Priority is the rank of the calls at a target that is short of slots;
	// lower ones go first. It is not negative.
	Priority int
	// LatencyObjective is the time within which an answer has its full worth
	// to the caller, 0 where operators name none.
	LatencyObjective time.Duration
}

// WeightedServices returns the services that take the calls of the route.
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
