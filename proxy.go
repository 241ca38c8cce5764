package hornbeamwell

import (
	"net/netip"
	"time"
)

// ProxyStatus is what control knows of one proxy.
type ProxyStatus struct {
	ID      string
	Zone    string
	Address netip.AddrPort
	// InForce is the configuration version that the proxy acknowledged.
	InForce ConfigVersion
	// LastContact is the time at which the proxy was last heard from.
	LastContact time.Time
	// Silent is true when the proxy's session ended without a goodbye or its
	// heartbeats stopped.
	Silent bool
}

// Convergence says how far a configuration version is in force.
type Convergence struct {
	// Version is the latest accepted version.
	Version ConfigVersion
	// Watermark is the lowest version that a live proxy acknowledged.
	Watermark ConfigVersion
	// Live counts the proxies heard from within their lease.
	Live int
	// Behind names live proxies below Version, at most MaxNamedProxies.
	Behind []ProxyStatus
	// Silent names proxies not heard from, at most MaxNamedProxies.
	Silent []ProxyStatus
	// SilentCount counts every silent proxy.
	SilentCount int
}

// MaxListedProxies bounds the proxies that a Convergence names.
const MaxListedProxies = 100

// IsInForce reports whether every live proxy acknowledged the version and no
// proxy is silent.
func (c *Convergence) IsInForce(version ConfigVersion) bool {
	return c.Watermark >= version && c.SilentCount == 0
}
