package target

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/hornbeamwell/hornbeamwell"
)

// Limits of an announcement.
const (
	// MaxSlots is the maximum number of calls that a target runs concurrently.
	MaxSlots = 1 << 16
	// MaxConnections is the maximum number of connections of a target.
	MaxConnections = 1 << 20
	// MaxColdStart is the maximum cold-start time of a target.
	MaxColdStart = 10 * time.Minute
	// DefaultColdStart is the cold-start time of a target that specifies none in a
	// request to Announcer.Handler.
	DefaultColdStart = 20 * time.Second
	// MaxNameBytes is the maximum length of names and ids in bytes.
	MaxNameBytes = 200
	// MaxIncarnation and MaxSequence bound the numbers that a target gives itself, so
	// that the proxy can number later changes above them.
	MaxIncarnation = 1 << 62
	MaxSequence    = 1 << 62
)

// Announcement is what a target announces to the proxy next to it.
type Announcement struct {
	// Name is the target's own name for this incarnation. It is empty if the
	// target has none.
	Name             string
	Service, Version string
	// Address is where the target accepts calls.
	Address netip.AddrPort
	// Slots is the number of calls that the target runs concurrently,
	// Connections the number of connections that it accepts. Both are at least
	// one.
	Slots, Connections int
	// HealthURL is where the target reports its health. It is empty if the
	// target has no health endpoint.
	HealthURL string
	// ColdStart is the time for which the target is slower than usual, counted
	// from hornbeamwell.Target.ReadyAt. If the target numbers its incarnations,
	// the value of a renewal is ignored, so it may be the remaining time.
	// Otherwise, another value starts a new incarnation. It is not negative and
	// at most MaxColdStart.
	ColdStart time.Duration
	// ColdRemaining is the time for which the target will still be cold. It is
	// meaningless unless HasColdRemaining is true. Unlike ColdStart, renewals count too.
	ColdRemaining    time.Duration
	HasColdRemaining bool
	// Incarnation increases with every start of the target. If it is 0, the
	// proxy assigns incarnations.
	Incarnation uint64
	// Sequence increases with every announcement of the incarnation. If it is
	// 0, the proxy assigns sequence numbers.
	Sequence uint64
	// IsDraining is true if the target is about to stop and accepts no new
	// calls.
	IsDraining bool
}

// isSameTarget reports whether both announcements describe the same target. It
// ignores the sequence, the drain state and the remaining cold time, and ColdStart
// where the target numbers its incarnations, because these differ between
// announcements of the same target.
func (a Announcement) isSameTarget(other Announcement) bool {
	if a.Incarnation != 0 {
		other.ColdStart = a.ColdStart
	}
	other.Sequence, other.IsDraining = a.Sequence, a.IsDraining
	other.ColdRemaining, other.HasColdRemaining = a.ColdRemaining, a.HasColdRemaining
	return a == other
}

// Check returns a *hornbeamwell.InvalidError that lists every invalid field, or
// nil.
func (a Announcement) Check() error {
	var faults []hornbeamwell.Fault
	add := func(field, problem string, args ...any) {
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf(problem, args...)})
	}
	checkName(add, "service", a.Service)
	checkName(add, "version", a.Version)
	checkText(add, "name", a.Name)
	if !isEndpoint(a.Address) {
		add("address", "give the IP address and port on which the target accepts calls, such as 127.0.0.1:8080")
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
	if a.Incarnation > MaxIncarnation {
		add("incarnation", "%d exceeds %d", a.Incarnation, uint64(MaxIncarnation))
	}
	if a.Sequence > MaxSequence {
		add("sequence", "%d exceeds %d", a.Sequence, uint64(MaxSequence))
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
	checkText(add, field, name)
}

// checkText refuses text that does not fit into a header or a log line.
func checkText(add func(string, string, ...any), field, text string) {
	if len(text) > MaxNameBytes {
		add(field, "%d bytes exceed the limit of %d", len(text), MaxNameBytes)
	}
	if !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
		add(field, "holds control characters or is not UTF-8")
	}
}

// CheckTarget returns a *hornbeamwell.InvalidError that lists every field of a target
// from another process with which no proxy can use it, or nil.
func CheckTarget(t hornbeamwell.Target) error {
	var faults []hornbeamwell.Fault
	add := func(field, problem string, args ...any) {
		faults = append(faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf(problem, args...)})
	}
	checkName(add, "id", t.ID)
	checkName(add, "service", t.Service)
	checkText(add, "name", t.Name)
	checkText(add, "version", t.Version)
	checkText(add, "zone", t.Zone)
	if !isEndpoint(t.Exit) {
		add("exit", "%s is not an address to connect to", t.Exit)
	}
	if t.Slots < 1 || t.Slots > MaxSlots {
		add("slots", "%d is not between 1 and %d", t.Slots, MaxSlots)
	}
	if t.Connections < 1 || t.Connections > MaxConnections {
		add("connections", "%d is not between 1 and %d", t.Connections, MaxConnections)
	}
	if t.ColdStart < 0 || t.ColdStart > MaxColdStart {
		add("cold_start", "%s is not between 0s and %s", t.ColdStart, MaxColdStart)
	}
	if t.Incarnation > math.MaxInt64 || t.Sequence > math.MaxInt64 {
		add("sequence", "%d of the incarnation %d is too large", t.Sequence, t.Incarnation)
	}
	switch t.State {
	case hornbeamwell.TargetReady, hornbeamwell.TargetDraining, hornbeamwell.TargetGone:
	default:
		add("state", "%.80q is not known", string(t.State))
	}
	if len(faults) > 0 {
		return &hornbeamwell.InvalidError{Faults: faults}
	}
	return nil
}

// isEndpoint reports whether a connection to the address can be opened. The
// unspecified address is that of the local host.
func isEndpoint(address netip.AddrPort) bool {
	return address.IsValid() && address.Port() != 0 && !address.Addr().IsMulticast()
}

func checkHealthURL(add func(string, string, ...any), text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		add("health_url", "%q is not an http or https URL", text)
	}
}
