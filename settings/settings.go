// Package settings defines the settings of a process, and parses and checks their JSON
// form. The commands of package cli load a settings file with Load. Packages platform,
// demo and measure build Settings themselves; platform and demo check them with Check.
// All functions run on the calling goroutine.
package settings

import (
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Settings are the settings of one process.
type Settings struct {
	// Instance is the id of this process, unique in the system.
	Instance string
	// Zone is the availability zone of this process, Region its region, which may be
	// empty.
	Zone, Region string
	// Proxy holds the settings of the proxy. It is zero for a control instance or a
	// relay that serves no calls.
	Proxy Proxy
	// Sources are the control instances and relays that may serve the proxy's
	// session. A proxy has at least one.
	Sources []netip.AddrPort
	// Control is nil unless this process is a control instance.
	Control *Control
	// Relay is nil unless this process is a relay. A process is not both.
	Relay *Relay
	// Operator is the listen address for operator calls, metrics and health, unset
	// to serve none.
	Operator netip.AddrPort
	// TraceEndpoint is the URL of an OTLP collector over HTTP, empty for no export.
	TraceEndpoint string
	// Move holds the defaults for moves.
	Move Move
	// Pace selects the intervals and timeouts between processes.
	Pace Pace
	// Retries is the retry budget.
	Retries Retries
	// Quota bounds the calls of a team over all proxies.
	Quota Quota
	// Stop bounds the phases of a graceful stop.
	Stop Stop
	// MemoryBytes is the soft memory limit of the process, 0 for the default.
	MemoryBytes int64
	// ClientMemoryBytes bounds the memory that clients can make the process hold, 0 for 0.4
	// of the soft memory limit.
	ClientMemoryBytes int64
	// Descriptors is the number of file descriptors that the process may open, 0 for the limit
	// that the operating system sets.
	Descriptors int
}

// MinDescriptors is the minimum of Settings.Descriptors other than 0.
const MinDescriptors = 64

// HasProxy reports whether the process has a proxy, that is whether any listen
// address of Proxy is set.
func (s *Settings) HasProxy() bool {
	return s.Proxy.Callers.IsValid() || s.Proxy.Exit.IsValid() || s.Proxy.Announce.IsValid()
}

// Pace selects the intervals and timeouts between the processes of the system.
type Pace string

// Values of Pace.
const (
	// PaceFleet is for many thousands of proxies.
	PaceFleet Pace = "fleet"
	// PaceSite is for a few hundred proxies that must converge within seconds.
	PaceSite Pace = "site"
)

// Retries is the retry budget of the calls to each service.
type Retries struct {
	// Ratio is the ratio of retries to calls, 0 for the default.
	Ratio float64
	// SharedReserve is the number of retries to each service that all proxies
	// together may send regardless of the traffic. If it is 0, each proxy has a
	// reserve of its own for each service.
	SharedReserve float64
}

// Quota bounds the calls of a team with a quota: in any window, all proxies together let
// through at most (rate x Window + burst) x (1 + Overshoot) + Slack calls. The zero value
// means the defaults.
type Quota struct {
	// Window is greater than zero unless all fields are zero.
	Window time.Duration
	// Overshoot is a fraction, Slack a number of calls. Both are not negative.
	Overshoot, Slack float64
}

// Defaults of the fields of Quota that a settings file leaves out.
const (
	DefaultQuotaWindow    = 5 * time.Second
	DefaultQuotaOvershoot = 0.1
	DefaultQuotaSlack     = 20
)

// Stop bounds the phases of a graceful stop.
type Stop struct {
	// Grace is the time from the signal to stop until the process is killed, 0 if it is not
	// known. With it a proxy refuses callers after half of it, abandons the calls that run
	// in its last sixth, and ends by itself. RefuseAfter and Timeout are not set then.
	Grace time.Duration
	// RefuseAfter is the time for which a stopping proxy still accepts the calls of
	// callers, so that they can move to other proxies first; 0 for the default. In a
	// control instance it begins after the transfer of the leadership.
	RefuseAfter time.Duration
	// Timeout bounds the time from the start of the stop to the end of the calls in
	// flight, including the transfer of the leadership and RefuseAfter; 0 for the
	// default.
	Timeout time.Duration
}

// MaxHedgeShare is the maximum of Proxy.HedgeShare.
const MaxHedgeShare = 0.5

// Proxy holds the settings of a proxy.
type Proxy struct {
	// Callers is the listen address for the HTTP requests of callers.
	Callers netip.AddrPort
	// Exit is the listen address for calls from other proxies.
	Exit netip.AddrPort
	// AdvertisedExit is the address at which other proxies reach Exit, unset if it
	// is the same.
	AdvertisedExit netip.AddrPort
	// Announce is the loopback listen address for announcements of the local
	// target, which is the one that this proxy serves as a sidecar. It is unset if
	// the embedding program receives the announcements.
	Announce netip.AddrPort
	// HedgeShare is the maximum share of the calls of a service that are sent to a second
	// target because the first is slow, between 0 for none and MaxHedgeShare.
	HedgeShare float64
	// Service is the service of the local target, empty if it is not known before
	// the target announces itself.
	Service string
	// LinkRate is the capacity of the machine's network link in bits per second, 0
	// for no bound.
	LinkRate float64
	// RevokeAfter is the time after which a proxy without contact to the leader refuses
	// the calls that need an API key, as their keys may have been removed. It is 0 to
	// serve them with the last known configuration.
	RevokeAfter time.Duration
	// Services are the services that callers of this proxy use, empty for all. The
	// proxy receives only the routes and targets of these services and of the
	// service of the local target.
	Services []string
}

// Control holds the settings of a control instance.
type Control struct {
	// DataFolder is the folder of the ledger. It must exist, and no other instance
	// may use it.
	DataFolder string
	// Listen is the listen address for proxies, relays and other control instances.
	Listen netip.AddrPort
	// Advertised is the address at which others reach Listen, unset if it is the
	// same.
	Advertised netip.AddrPort
	// Members are the initial voters, including this instance. It is empty if Seeds
	// are given.
	Members []Member
	// Seeds are the addresses of control instances through which this one finds the
	// others. The id of an instance with seeds is its address.
	Seeds []netip.AddrPort
	// Bootstrap is true at the first start of the system, when the seeds create the
	// ledger.
	Bootstrap bool
	// TolerateLosses is the number of disks whose simultaneous loss must not lose
	// an accepted entry, 0 for what a majority tolerates.
	TolerateLosses int
	// CatchUp is the time from the start of a control instance after which it replaces one
	// that is gone, so that TolerateLosses holds for the others. 0 is the default.
	CatchUp time.Duration
	// SettleTime is the time for which a new leader that has no list of proxies
	// from its predecessor reports no convergence, 0 for the default.
	SettleTime time.Duration
}

// AdvertisedAddress returns the address at which other proxies reach Exit.
func (p *Proxy) AdvertisedAddress() netip.AddrPort { return advertisedOr(p.AdvertisedExit, p.Exit) }

// AdvertisedAddress returns the address at which others reach Listen.
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
	// Listen is the listen address for proxies.
	Listen netip.AddrPort
	// Upstreams are the control instances that may serve the relay's session.
	Upstreams []netip.AddrPort
}

// Move holds the defaults for what a request to start a move leaves out.
type Move struct {
	// Prefer decides the outcome of a move that reaches its deadline with too
	// little evidence.
	Prefer hornbeamwell.Preference
	// Hold is the time for which the old version stays warm.
	Hold time.Duration
}
