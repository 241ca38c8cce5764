// Package settings reads and checks the JSON settings of a process.
package settings

import (
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Settings describe one process.
type Settings struct {
	// Instance is the id of this process, unique in the system.
	Instance string
	// Zone is the availability zone of this process. Region may be empty.
	Zone, Region string
	Proxy        Proxy
	// Sources are the control instances and relays that the proxy may take
	// configurations from. At least one is given.
	Sources []netip.AddrPort
	// Control is nil where this process holds no control state.
	Control *Control
	// Relay is nil where this process is no relay. A process is not both.
	Relay *Relay
	// Operator is the address for operator calls, metrics and health. It is
	// unset where none are served.
	Operator netip.AddrPort
	// TraceEndpoint is the URL for OTLP over HTTP, empty for no export.
	TraceEndpoint string
	// Move holds the policy for moves.
	Move Move
}

// Proxy holds the settings of the data path.
type Proxy struct {
	// Callers is the address for callers' HTTP.
	Callers netip.AddrPort
	// Exit is the address for calls from other proxies.
	Exit netip.AddrPort
	// Announce is the loopback address for the target beside this process.
	Announce netip.AddrPort
	// Services are those that the callers of this proxy use. The proxy holds
	// their routes and targets alone; none means every service.
	Services []string
}

// Control holds the settings of a control instance.
type Control struct {
	// DataFolder holds the ledger. It exists and belongs to this instance.
	DataFolder string
	// Listen is the address for proxies, relays and other control instances.
	Listen netip.AddrPort
	// Members are the first voters, this instance included.
	Members []Member
	// SettleTime is the time for which a leader that knows of no proxies from
	// the one before says nothing of what is in force; 0 takes the default.
	SettleTime time.Duration
}

// Member is one control instance.
type Member struct {
	ID, Zone string
	Address  netip.AddrPort
}

// Relay holds the settings of a relay.
type Relay struct {
	// Listen is the address for proxies.
	Listen netip.AddrPort
	// Upstreams are the control instances that the relay may follow.
	Upstreams []netip.AddrPort
}

// Move holds the policy for moves that a request leaves open.
type Move struct {
	Prefer hornbeamwell.Preference
	Hold   time.Duration
}
