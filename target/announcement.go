package target

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// The limits of an announcement.
const (
	// MaxSlots bounds the calls that a target runs at once.
	MaxSlots = 1 << 16
	// MaxConnections bounds the connections of a target.
	MaxConnections = 1 << 20
	// MaxColdStart bounds the cold start of a target.
	MaxColdStart = 10 * time.Minute
	// DefaultColdStart is the cold start of a target that names none.
	DefaultColdStart = 20 * time.Second
	// MaxNameBytes bounds the names of services and versions.
	MaxNameBytes = 200
)

// Announcement is what a target says of itself to the proxy beside it.
type Announcement struct {
	// Name is the target's own name of this incarnation, empty where it has
	// none.
	Name             string
	Service, Version string
	// Address is where the target takes calls.
	Address netip.AddrPort
	// Slots and Connections are at least one.
	Slots, Connections int
	// HealthURL is where the target reports its health, empty for none.
	HealthURL string
	// ColdStart is the time after its start in which the target is slower than
	// usual. It is not negative and at most MaxColdStart.
	ColdStart time.Duration
	// Incarnation grows with every start of the target. It is 0 where the
	// target leaves the count to the proxy.
	Incarnation uint64
	// Sequence grows with every announcement of the incarnation. It is 0 where
	// the target leaves the count to the proxy.
	Sequence uint64
	// IsDraining is true where the target is about to leave and takes no new
	// work.
	IsDraining bool
}

// isSameTarget reports whether both describe the same target. What is left of
// the cold start and the count of announcements differ from one to the next.
func (a Announcement) isSameTarget(other Announcement) bool {
	if a.Incarnation != 0 {
		other.ColdStart = a.ColdStart
	}
	other.Sequence, other.IsDraining = a.Sequence, a.IsDraining
	return a == other
}

// Check returns a hornbeamwell.InvalidError with everything that is wrong.
func (a Announcement) Check() error {
	var faults []hornbeamwell.Fault
	add := func(field, problem string, args ...any) {
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf(problem, args...)})
	}
	checkName(add, "service", a.Service)
	checkName(add, "version", a.Version)
	if !a.Address.IsValid() || a.Address.Port() == 0 {
		add("address", "give the IP number and port where the target takes calls, such as 127.0.0.1:8080")
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		add("slots", "%d is not between 1 and %d", a.Slots, MaxSlots)
	}
	if a.Connections < 1 || a.Connections > MaxConnections {
		add("connections", "%d is not between 1 and %d", a.Connections, MaxConnections)
	}
	if a.ColdStart < 0 || a.ColdStart > MaxColdStart {
		add("cold_start", "%s is not between 0s and %s", a.ColdStart, MaxColdStart)
	}
	checkHealthURL(add, a.HealthURL)
	if len(faults) > 0 {
		return &hornbeamwell.InvalidError{Faults: faults}
	}
	return nil
}

func checkName(add func(string, string, ...any), field, name string) {
	if name == "" {
		add(field, "is missing")
	}
	if len(name) > MaxNameBytes {
		add(field, "%d bytes are over the limit of %d", len(name), MaxNameBytes)
	}
}

func checkHealthURL(add func(string, string, ...any), text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		add("health_url", "%q is no http or https URL", text)
	}
}
