package hornbeamwell

import (
	"net/netip"
	"time"
)

// ProxyStatus is the status of one proxy as seen by the control instances.
type ProxyStatus struct {
	ID      string
	Zone    string
	Address netip.AddrPort
	// InForce is the configuration version that the proxy acknowledged.
	InForce ConfigVersion
	// LastContact is the time of the last message from the proxy, or from the
	// relay or control instance that it is connected to.
	LastContact time.Time
	// Silent is true when the proxy's session ended without a goodbye or its
	// heartbeats stopped.
	Silent bool
}

// Convergence describes how far a configuration version is in force.
type Convergence struct {
	// Version is the latest accepted version.
	Version ConfigVersion
	// Watermark is the lowest version acknowledged by a live proxy. It is 0 if
	// no proxy is live, and for a settling time in a new leader that does not
	// have the previous leader's list of proxies.
	Watermark ConfigVersion
	// Live counts the proxies that have an open session.
	Live int
	// Behind lists live proxies below Version, at most MaxListedProxies.
	Behind []ProxyStatus
	// Silent lists silent proxies, and relays and control instances whose
	// session was lost, at most MaxListedProxies.
	Silent []ProxyStatus
	// SilentCount counts the same instances, including those that Silent omits.
	SilentCount int
}

// MaxListedProxies limits each list of proxies in a Convergence.
const MaxListedProxies = 100

// IsInForce reports whether the watermark has reached the version and no proxy,
// relay or control instance is silent.
func (c *Convergence) IsInForce(version ConfigVersion) bool {
	return c.Watermark >= version && c.SilentCount == 0
}
