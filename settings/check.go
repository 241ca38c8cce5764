package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"

	"github.com/hornbeamwell/hornbeamwell"
)

// Check returns an InvalidError with every fault of settings that were not parsed
// from a file.
func Check(s Settings) error {
	if faults := checkFaults(s); len(faults) > 0 {
		return &hornbeamwell.InvalidError{Faults: faults}
	}
	return nil
}

// checkFaults returns the faults that the JSON schema cannot express. For settings that
// were not parsed from a file, it also finds missing fields and values out of range.
func checkFaults(s Settings) []hornbeamwell.Fault {
	var m mapper
	m.checkNames(s)
	if s.HasProxy() || s.Control == nil && s.Relay == nil {
		m.checkProxy(s.Proxy)
	}
	m.checkListeners(s)
	m.checkDistinct("sources", s.Sources)
	m.checkRoles(s)
	m.checkTrace(s.TraceEndpoint)
	m.checkMove(s.Move)
	m.checkTuning(s)
	return m.faults
}

func (m *mapper) checkNames(s Settings) {
	if s.Instance == "" {
		m.addFault("instance", "is missing")
	}
	if s.Zone == "" {
		m.addFault("zone", "is missing; name the availability zone of this process")
	}
	if len(s.Sources) == 0 && s.HasProxy() {
		m.addFault("sources", "is missing; name at least one control instance or relay")
	}
}

func (m *mapper) checkProxy(p Proxy) {
	m.checkPresent("proxy.callers", p.Callers)
	m.checkPresent("proxy.exit", p.Exit)
	if !(p.HedgeShare >= 0 && p.HedgeShare <= MaxHedgeShare) {
		m.addFault("proxy.hedge_share", "%v is not between 0 and %v", p.HedgeShare, MaxHedgeShare)
	}
	if p.Announce.IsValid() && !p.Announce.Addr().IsLoopback() {
		m.addFault("proxy.announce", "%s is not a loopback address; the local target announces itself over loopback, such as 127.0.0.1:%d",
			p.Announce, p.Announce.Port())
	}
	if advertised := p.AdvertisedAddress(); advertised.IsValid() && advertised.Addr().IsUnspecified() {
		m.addFault("proxy.exit", "%s names no interface; give the IP address at which other proxies reach this process", advertised)
	}
}

func (m *mapper) checkPresent(field string, address netip.AddrPort) {
	if !address.IsValid() {
		m.addFault(field, "is missing")
	}
}

// listener is a listen address of this process and its field.
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

func (m *mapper) checkListeners(s Settings) {
	all := listeners(s)
	for i, later := range all {
		for _, earlier := range all[:i] {
			if overlap(earlier.address, later.address) {
				m.addFault(later.field, "%s overlaps with %s (%s); give another port", later.address, earlier.field, earlier.address)
				break
			}
		}
	}
}

// overlap reports whether two listen addresses conflict.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (m *mapper) checkDistinct(field string, addresses []netip.AddrPort) {
	seen := map[netip.AddrPort]int{}
	for i, address := range addresses {
		if first, found := seen[address]; found && address.IsValid() {
			m.addFault(fmt.Sprintf("%s[%d]", field, i), "%s is given twice; it is %s[%d] too", address, field, first)
			continue
		}
		seen[address] = i
	}
}

func (m *mapper) checkRoles(s Settings) {
	if s.Control != nil && s.Relay != nil {
		m.addFault("relay", "a process is a control instance or a relay, not both; remove control or relay")
	}
	if s.Control != nil {
		m.checkControl(s)
	}
	if s.Relay != nil {
		m.checkRelay(*s.Relay)
	}
}

func (m *mapper) checkRelay(r Relay) {
	m.checkPresent("relay.listen", r.Listen)
	if len(r.Upstreams) == 0 {
		m.addFault("relay.upstreams", "is missing; name at least one control instance")
	}
	m.checkDistinct("relay.upstreams", r.Upstreams)
	for i, upstream := range r.Upstreams {
		if upstream.IsValid() && upstream == r.Listen {
			m.addFault(fmt.Sprintf("relay.upstreams[%d]", i), "%s is this relay itself", upstream)
		}
	}
}

func (m *mapper) checkControl(s Settings) {
	c := s.Control
	if c.DataFolder == "" {
		m.addFault("control.data_folder", "is missing")
	}
	m.checkPresent("control.listen", c.Listen)
	if c.CatchUp < 0 {
		m.addFault("control.catch_up", "is %v; give a time above zero, such as 12s", c.CatchUp)
	}
	if c.SettleTime < 0 {
		m.addFault("control.settle_time", "is %v; give a time above zero, such as 15s", c.SettleTime)
	}
	if c.TolerateLosses < 0 {
		m.addFault("control.tolerate_losses", "is %d; give 0 or more", c.TolerateLosses)
	}
	if len(c.Seeds) > 0 {
		m.checkSeeds(s)
		return
	}
	if len(c.Members) == 0 {
		m.addFault("control.members", "is missing; give the initial voters, including this instance")
		return
	}
	m.checkMembers(c.Members)
	m.checkOwnMember(s)
}

// checkSeeds checks the settings of an instance with seeds, whose id is its address.
func (m *mapper) checkSeeds(s Settings) {
	if len(s.Control.Members) > 0 {
		m.addFault("control.members", "is given together with control.seeds; give only one of them")
	}
	m.checkDistinct("control.seeds", s.Control.Seeds)
	if advertised := s.Control.AdvertisedAddress(); advertised.IsValid() && s.Instance != advertised.String() {
		m.addFault("instance", "is %q; an instance with seeds has its address %s as its id", s.Instance, advertised)
	}
}

// isAmount reports whether the number is finite and at least 0.
func isAmount(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

func (m *mapper) checkTuning(s Settings) {
	if s.Pace != "" && s.Pace != PaceFleet && s.Pace != PaceSite {
		m.addFault("pace", "is %q; give %q or %q", s.Pace, PaceFleet, PaceSite)
	}
	if !isAmount(s.Retries.Ratio) || !isAmount(s.Retries.SharedReserve) {
		m.addFault("retries", "has a ratio or a shared_reserve that is below 0 or not finite; give 0 for the default")
	}
	if q := s.Quota; q != (Quota{}) && (q.Window <= 0 || !isAmount(q.Overshoot) || !isAmount(q.Slack)) {
		m.addFault("quota", "has the window %s, the overshoot %v and the slack %v; give a window above zero, such as 5s, and numbers of at least 0", q.Window, q.Overshoot, q.Slack)
	}
	if !isAmount(s.Proxy.LinkRate) {
		m.addFault("proxy.link_mbps", "is below 0 or not finite; give 0 for no limit")
	}
	if s.Stop.RefuseAfter < 0 || s.Stop.Timeout < 0 || s.Stop.Timeout > 0 && s.Stop.RefuseAfter > s.Stop.Timeout {
		m.addFault("stop", "refuses calls after %s and ends after %s; give times of at least 0, and a stop.drain that is not shorter than stop.leave", s.Stop.RefuseAfter, s.Stop.Timeout)
	}
	if s.Stop.Grace < 0 {
		m.addFault("stop.grace", "is below 0; give the time between SIGTERM and SIGKILL, such as 6s, or leave it out")
	}
	if s.Stop.Grace > 0 && (s.Stop.RefuseAfter > 0 || s.Stop.Timeout > 0) {
		m.addFault("stop", "has both stop.grace and stop.leave or stop.drain; give stop.grace alone, from which the others follow")
	}
	if s.MemoryBytes < 0 {
		m.addFault("memory_mb", "is below 0; give 0 for the default")
	}
	m.checkClientLimits(s)
}

func (m *mapper) checkClientLimits(s Settings) {
	if s.ClientMemoryBytes < 0 || s.MemoryBytes > 0 && s.ClientMemoryBytes > s.MemoryBytes {
		m.addFault("client_memory_mb", "is not between 0 and memory_mb; give 0 for the default of 0.4 of it")
	}
	if s.Descriptors != 0 && s.Descriptors < MinDescriptors {
		m.addFault("descriptors", "is %d; give at least %d, or 0 for the limit of the operating system", s.Descriptors, MinDescriptors)
	}
}

func (m *mapper) checkMembers(members []Member) {
	ids := map[string]int{}
	addresses := map[netip.AddrPort]int{}
	for i, member := range members {
		field := fmt.Sprintf("control.members[%d]", i)
		if member.ID == "" {
			m.addFault(field+".id", "is missing")
		}
		if member.Zone == "" {
			m.addFault(field+".zone", "is missing; voters run in different availability zones")
		}
		if first, found := ids[member.ID]; found {
			m.addFault(field+".id", "%s is given twice; it is control.members[%d] too", member.ID, first)
		}
		if first, found := addresses[member.Address]; found && member.Address.IsValid() {
			m.addFault(field+".address", "%s is given twice; it is control.members[%d] too", member.Address, first)
		}
		ids[member.ID] = i
		addresses[member.Address] = i
	}
}

// checkOwnMember checks that the members include this instance with its zone and
// address.
func (m *mapper) checkOwnMember(s Settings) {
	for i, member := range s.Control.Members {
		if member.ID != s.Instance {
			continue
		}
		field := fmt.Sprintf("control.members[%d]", i)
		if member.Zone != s.Zone {
			m.addFault(field+".zone", "is %q, but this instance is in %q", member.Zone, s.Zone)
		}
		m.checkOwnAddress(field+".address", member.Address, s.Control)
		return
	}
	m.addFault("control.members", "does not include this instance, %q", s.Instance)
}

func (m *mapper) checkOwnAddress(field string, address netip.AddrPort, c *Control) {
	switch {
	case c.Advertised.IsValid() && address != c.Advertised:
		m.addFault(field, "is %s, but control.advertised is %s", address, c.Advertised)
	case !c.Advertised.IsValid() && !reaches(address, c.Listen):
		m.addFault(field, "%s does not reach control.listen %s", address, c.Listen)
	}
}

// reaches reports whether a connection to the address arrives at the listener. It
// is true if one of them is unset, which is reported elsewhere.
func reaches(address, listen netip.AddrPort) bool {
	if !address.IsValid() || !listen.IsValid() {
		return true
	}
	return address.Port() == listen.Port() && (address.Addr() == listen.Addr() || listen.Addr().IsUnspecified())
}

func (m *mapper) checkTrace(endpoint string) {
	if endpoint == "" {
		return
	}
	parsed, err := url.Parse(endpoint)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		// The URL may contain a password.
		m.addFault("trace_endpoint", "is not the URL of a collector; give one such as http://10.1.0.9:4318")
	}
}

func (m *mapper) checkMove(move Move) {
	if move.Prefer != hornbeamwell.PreferSafety && move.Prefer != hornbeamwell.PreferDeadline {
		m.addFault("move.prefer", "is %q; give %q or %q", move.Prefer, hornbeamwell.PreferSafety, hornbeamwell.PreferDeadline)
	}
	if move.Hold <= 0 {
		m.addFault("move.hold", "is %v; give a time above zero, such as 30s", move.Hold)
	}
}
