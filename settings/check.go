package settings

import (
	"fmt"
	"net/netip"
	"net/url"

	"github.com/hornbeamwell/hornbeamwell"
)

// Check returns an InvalidError with everything that is wrong with settings
// that were not parsed from a file.
func Check(s Settings) error {
	if faults := checkFaults(s); len(faults) > 0 {
		return &hornbeamwell.InvalidError{Faults: faults}
	}
	return nil
}

// checkFaults returns what a schema cannot express.
func checkFaults(s Settings) []hornbeamwell.Fault {
	var m mapping
	m.checkNames(s)
	if s.HasProxy() || s.Control == nil && s.Relay == nil {
		m.checkProxy(s.Proxy)
	}
	m.checkListeners(s)
	m.checkDistinct("sources", s.Sources)
	m.checkRoles(s)
	m.checkTrace(s.TraceEndpoint)
	m.checkMove(s.Move)
	m.checkPace(s)
	return m.faults
}

func (m *mapping) checkNames(s Settings) {
	if s.Instance == "" {
		m.fault("instance", "is missing")
	}
	if s.Zone == "" {
		m.fault("zone", "is missing; name the availability zone of this process")
	}
	if len(s.Sources) == 0 && s.HasProxy() {
		m.fault("sources", "is missing; name at least one control instance or relay")
	}
}

func (m *mapping) checkProxy(p Proxy) {
	m.checkGiven("proxy.callers", p.Callers)
	m.checkGiven("proxy.exit", p.Exit)
	if p.Announce.IsValid() && !p.Announce.Addr().IsLoopback() {
		m.fault("proxy.announce", "%s is no loopback address; the target beside this process announces itself over loopback, such as 127.0.0.1:%d",
			p.Announce, p.Announce.Port())
	}
	if reached := p.AdvertisedAddress(); reached.IsValid() && reached.Addr().IsUnspecified() {
		m.fault("proxy.exit", "%s names no interface; give the IP number at which other proxies reach this process", reached)
	}
}

func (m *mapping) checkGiven(field string, address netip.AddrPort) {
	if !address.IsValid() {
		m.fault(field, "is missing")
	}
}

// listener is an address that this process listens on.
type listener struct {
	field   string
	address netip.AddrPort
}

func listeners(s Settings) []listener {
	all := []listener{
		{"proxy.callers", s.Proxy.Callers},
		{"proxy.exit", s.Proxy.Exit},
		{"proxy.announce", s.Proxy.Announce},
		{"operator", s.Operator},
	}
	if s.Control != nil {
		all = append(all, listener{"control.listen", s.Control.Listen})
	}
	if s.Relay != nil {
		all = append(all, listener{"relay.listen", s.Relay.Listen})
	}
	return all
}

func (m *mapping) checkListeners(s Settings) {
	all := listeners(s)
	for i, later := range all {
		for _, earlier := range all[:i] {
			if overlap(earlier.address, later.address) {
				m.fault(later.field, "%s overlaps with %s (%s); give another port", later.address, earlier.field, earlier.address)
				break
			}
		}
	}
}

// overlap reports whether two listeners cannot stand side by side.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (m *mapping) checkDistinct(field string, addresses []netip.AddrPort) {
	seen := map[netip.AddrPort]int{}
	for i, address := range addresses {
		if first, found := seen[address]; found && address.IsValid() {
			m.fault(fmt.Sprintf("%s[%d]", field, i), "%s is given twice; it is %s[%d] too", address, field, first)
			continue
		}
		seen[address] = i
	}
}

func (m *mapping) checkRoles(s Settings) {
	if s.Control != nil && s.Relay != nil {
		m.fault("relay", "a process is a control instance or a relay, not both; remove control or relay")
	}
	if s.Control != nil {
		m.checkControl(s)
	}
	if s.Relay != nil {
		m.checkRelay(*s.Relay)
	}
}

func (m *mapping) checkRelay(r Relay) {
	m.checkGiven("relay.listen", r.Listen)
	if len(r.Upstreams) == 0 {
		m.fault("relay.upstreams", "is missing; name at least one control instance")
	}
	m.checkDistinct("relay.upstreams", r.Upstreams)
	for i, upstream := range r.Upstreams {
		if upstream.IsValid() && upstream == r.Listen {
			m.fault(fmt.Sprintf("relay.upstreams[%d]", i), "%s is this relay itself", upstream)
		}
	}
}

func (m *mapping) checkControl(s Settings) {
	c := s.Control
	if c.DataFolder == "" {
		m.fault("control.data_folder", "is missing")
	}
	m.checkGiven("control.listen", c.Listen)
	if c.SettleTime < 0 {
		m.fault("control.settle_time", "is %v; give a time above zero, such as 15s", c.SettleTime)
	}
	if c.TolerateLosses < 0 {
		m.fault("control.tolerate_losses", "is %d; give 0 or more", c.TolerateLosses)
	}
	if len(c.Seeds) > 0 {
		m.checkSeeds(s)
		return
	}
	if len(c.Members) == 0 {
		m.fault("control.members", "is missing; name the first voters, this instance included")
		return
	}
	m.checkMembers(c.Members)
	m.checkOwnMember(s)
}

// checkSeeds checks an instance that is found by its address.
func (m *mapping) checkSeeds(s Settings) {
	if len(s.Control.Members) > 0 {
		m.fault("control.members", "is given beside control.seeds; give one of them")
	}
	m.checkDistinct("control.seeds", s.Control.Seeds)
	if reached := s.Control.AdvertisedAddress(); reached.IsValid() && s.Instance != reached.String() {
		m.fault("instance", "is %q; an instance with seeds has its address %s as its id", s.Instance, reached)
	}
}

func (m *mapping) checkPace(s Settings) {
	if s.Pace != "" && s.Pace != PaceFleet && s.Pace != PaceSite {
		m.fault("pace", "is %q; give %q or %q", s.Pace, PaceFleet, PaceSite)
	}
	if s.Retries.Ratio < 0 || s.Retries.SharedReserve < 0 {
		m.fault("retries", "is below 0")
	}
	if s.Stop.RefuseAfter < 0 || s.Stop.Timeout < 0 || s.Stop.Timeout > 0 && s.Stop.RefuseAfter > s.Stop.Timeout {
		m.fault("stop", "leaves for %s and drains for %s; the whole stop lasts longer than its first part", s.Stop.RefuseAfter, s.Stop.Timeout)
	}
	if s.MemoryBytes < 0 {
		m.fault("memory_mb", "is below 0")
	}
}

func (m *mapping) checkMembers(members []Member) {
	ids := map[string]int{}
	addresses := map[netip.AddrPort]int{}
	for i, member := range members {
		field := fmt.Sprintf("control.members[%d]", i)
		if member.ID == "" {
			m.fault(field+".id", "is missing")
		}
		if member.Zone == "" {
			m.fault(field+".zone", "is missing; voters stand in different availability zones")
		}
		if first, found := ids[member.ID]; found {
			m.fault(field+".id", "%s is given twice; it is control.members[%d] too", member.ID, first)
		}
		if first, found := addresses[member.Address]; found && member.Address.IsValid() {
			m.fault(field+".address", "%s is given twice; it is control.members[%d] too", member.Address, first)
		}
		ids[member.ID] = i
		addresses[member.Address] = i
	}
}

// checkOwnMember checks that the members hold this instance with its own zone
// and address.
func (m *mapping) checkOwnMember(s Settings) {
	for i, member := range s.Control.Members {
		if member.ID != s.Instance {
			continue
		}
		field := fmt.Sprintf("control.members[%d]", i)
		if member.Zone != s.Zone {
			m.fault(field+".zone", "is %q, but this instance is in %q", member.Zone, s.Zone)
		}
		m.checkOwnAddress(field+".address", member.Address, s.Control)
		return
	}
	m.fault("control.members", "does not hold this instance, %q", s.Instance)
}

func (m *mapping) checkOwnAddress(field string, address netip.AddrPort, c *Control) {
	switch {
	case c.Advertised.IsValid() && address != c.Advertised:
		m.fault(field, "is %s, but control.advertised is %s", address, c.Advertised)
	case !c.Advertised.IsValid() && !reaches(address, c.Listen):
		m.fault(field, "%s does not reach control.listen %s", address, c.Listen)
	}
}

// reaches reports whether a connection to the address comes to the listener.
func reaches(address, listen netip.AddrPort) bool {
	if !address.IsValid() || !listen.IsValid() {
		return true
	}
	return address.Port() == listen.Port() && (address.Addr() == listen.Addr() || listen.Addr().IsUnspecified())
}

func (m *mapping) checkTrace(endpoint string) {
	if endpoint == "" {
		return
	}
	parsed, err := url.Parse(endpoint)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		m.fault("trace_endpoint", "%q is not a URL of a collector; give one such as http://10.1.0.9:4318", endpoint)
	}
}

func (m *mapping) checkMove(move Move) {
	if move.Prefer != hornbeamwell.PreferSafety && move.Prefer != hornbeamwell.PreferDeadline {
		m.fault("move.prefer", "is %q; give %q or %q", move.Prefer, hornbeamwell.PreferSafety, hornbeamwell.PreferDeadline)
	}
	if move.Hold <= 0 {
		m.fault("move.hold", "is %v; give a time above zero, such as 30s", move.Hold)
	}
}
