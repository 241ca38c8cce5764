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
	// Proxy holds the data path. It is zero in a control instance or a relay
	// that takes no calls.
	Proxy Proxy
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
	// Pace is the speed at which the parts of the system keep in touch.
	Pace Pace
	// Retries bounds the calls that reach a target again.
	Retries Retries
	// Stop says how long a graceful stop takes.
	Stop Stop
	// MemoryBytes is the memory that the process may use, 0 where it is not
	// bounded.
	MemoryBytes int64
}

// HasProxy reports whether the process has a data path.
func (s *Settings) HasProxy() bool {
	return s.Proxy.Callers.IsValid() || s.Proxy.Exit.IsValid() || s.Proxy.Announce.IsValid()
}

// Pace is the speed at which the parts of the system keep in touch.
type Pace string

// The paces.
const (
	// PaceFleet is for many thousands of proxies.
	PaceFleet Pace = "fleet"
	// PaceSite is for a few hundred proxies that must follow within seconds.
	PaceSite Pace = "site"
)

// Retries bounds the calls of a service that reach its targets again.
type Retries struct {
	// Ratio is the part of the calls that may be sent again, 0 for the default.
	Ratio float64
	// SharedReserve is the number of calls that all proxies together may send
	// again without any traffic. It is 0 where each proxy has a reserve of its
	// own.
	SharedReserve float64
}

// Stop says how long a graceful stop takes.
type Stop struct {
	// RefuseAfter is the time for which callers can leave before calls are refused,
	// 0 for the default.
	RefuseAfter time.Duration
	// Timeout bounds the whole stop, 0 for the default.
	Timeout time.Duration
}

// Proxy holds the settings of the data path.
type Proxy struct {
	// Callers is the address for callers' HTTP.
	Callers netip.AddrPort
	// Exit is the address for calls from other proxies.
	Exit netip.AddrPort
	// AdvertisedExit is the address at which other proxies reach Exit, unset
	// where it is the same.
	AdvertisedExit netip.AddrPort
	// Announce is the loopback address for the target beside this process. It
	// is unset where the embedding program takes the announcements.
	Announce netip.AddrPort
	// Service is the service beside this process, empty where it is not known
	// before it announces itself.
	Service string
	// LinkRate is what the link of the machine carries, in bits a second, 0
	// where it is no bound.
	LinkRate float64
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
	// Advertised is the address at which others reach Listen, unset where it
	// is the same.
	Advertised netip.AddrPort
	// Members are the first voters, this instance included. There are none
	// where Seeds are given.
	Members []Member
	// Seeds are the addresses of control instances that know the others. An
	// instance with seeds has its address as its id.
	Seeds []netip.AddrPort
	// Bootstrap is true at the very first start of the system, when the seeds
	// found the ledger.
	Bootstrap bool
	// TolerateLosses is the number of disks that may be lost at once with
	// nothing accepted lost, 0 for what a majority bears.
	TolerateLosses int
	// SettleTime is the time for which a leader that knows of no proxies from
	// the one before says nothing of what is in force; 0 takes the default.
	SettleTime time.Duration
}

// AdvertisedAddress returns the address at which other proxies reach the exit.
func (p *Proxy) AdvertisedAddress() netip.AddrPort { return advertisedOr(p.AdvertisedExit, p.Exit) }

// AdvertisedAddress returns the address at which others reach the control instance.
func (c *Control) AdvertisedAddress() netip.AddrPort { return advertisedOr(c.Advertised, c.Listen) }

func advertisedOr(advertised, listen netip.AddrPort) netip.AddrPort {
	if advertised.IsValid() {
		return advertised
	}
	return listen
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
