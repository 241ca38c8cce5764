package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// settingsFile is the JSON form of Settings.
type settingsFile struct {
	Instance      string       `json:"instance"`
	Zone          string       `json:"zone"`
	Region        string       `json:"region"`
	Proxy         *proxyFile   `json:"proxy"`
	Sources       []string     `json:"sources"`
	Control       *controlFile `json:"control"`
	Relay         *relayFile   `json:"relay"`
	Operator      string       `json:"operator"`
	TraceEndpoint string       `json:"trace_endpoint"`
	Move          moveFile     `json:"move"`
	Pace          string       `json:"pace"`
	Retries       retriesFile  `json:"retries"`
	Quota         *quotaFile   `json:"quota"`
	Stop          stopFile     `json:"stop"`
	MemoryMB      int64        `json:"memory_mb"`

	ClientMemoryMB int64 `json:"client_memory_mb"`
	Descriptors    int   `json:"descriptors"`
}

type retriesFile struct {
	Ratio         float64 `json:"ratio"`
	SharedReserve float64 `json:"shared_reserve"`
}

// quotaFile has pointers where 0 differs from the default.
type quotaFile struct {
	Window    string   `json:"window"`
	Overshoot *float64 `json:"overshoot"`
	Slack     *float64 `json:"slack"`
}

type stopFile struct {
	Leave string `json:"leave"`
	Drain string `json:"drain"`
	Grace string `json:"grace"`
}

type proxyFile struct {
	Callers string `json:"callers"`
	Exit    string `json:"exit"`
	// AdvertisedExit may be empty.
	AdvertisedExit string `json:"advertised_exit"`
	Announce       string `json:"announce"`
	Service        string `json:"service"`
	// LinkMbps is the link capacity in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// HedgeShare is 0 if it is absent.
	HedgeShare float64 `json:"hedge_share"`
	// RevokeAfter may be empty.
	RevokeAfter string `json:"revoke_after"`
	// Services may be empty.
	Services []string `json:"services"`
}

// bitsPerMegabit converts Mbit/s to bit/s.
const bitsPerMegabit = 1e6

type controlFile struct {
	DataFolder string       `json:"data_folder"`
	Listen     string       `json:"listen"`
	Advertised string       `json:"advertised"`
	Members    []memberFile `json:"members"`
	SettleTime string       `json:"settle_time"`
	Seeds      []string     `json:"seeds"`
	Bootstrap  bool         `json:"founding"`

	TolerateLosses int    `json:"tolerate_losses"`
	CatchUp        string `json:"catch_up"`
}

type memberFile struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

type relayFile struct {
	Listen    string   `json:"listen"`
	Upstreams []string `json:"upstreams"`
}

type moveFile struct {
	Prefer string `json:"prefer"`
	Hold   string `json:"hold"`
}

// mapper maps a settingsFile to Settings, checks them and collects the faults.
type mapper struct {
	faults []hornbeamwell.Fault
}

// toSettings maps the file. It returns a fault for every field that does not parse.
func (f settingsFile) toSettings() (Settings, []hornbeamwell.Fault) {
	var m mapper
	s := Settings{
		Instance:      f.Instance,
		Zone:          f.Zone,
		Region:        f.Region,
		Proxy:         m.proxy(f.Proxy),
		Sources:       m.addresses("sources", f.Sources),
		Control:       m.control(f.Control),
		Relay:         m.relay(f.Relay),
		TraceEndpoint: f.TraceEndpoint,
		Move: Move{
			Prefer: hornbeamwell.PreferSafety,
			Hold:   DefaultHold,
		},
		Pace:        PaceFleet,
		Retries:     Retries(f.Retries),
		Quota:       m.quota(f.Quota),
		Stop:        m.stop(f.Stop),
		MemoryBytes: f.MemoryMB << 20,

		ClientMemoryBytes: f.ClientMemoryMB << 20,
		Descriptors:       f.Descriptors,
	}
	if f.Pace != "" {
		s.Pace = Pace(f.Pace)
	}
	if f.Operator != "" {
		s.Operator = m.address("operator", f.Operator)
	}
	if f.Move.Prefer != "" {
		s.Move.Prefer = hornbeamwell.Preference(f.Move.Prefer)
	}
	if f.Move.Hold != "" {
		s.Move.Hold = m.duration("move.hold", f.Move.Hold)
	}
	return s, m.faults
}

func (m *mapper) proxy(f *proxyFile) Proxy {
	if f == nil {
		return Proxy{}
	}
	p := Proxy{
		Callers:  m.address("proxy.callers", f.Callers),
		Exit:     m.address("proxy.exit", f.Exit),
		Service:  f.Service,
		Services: f.Services,
		LinkRate: f.LinkMbps * bitsPerMegabit,

		HedgeShare: f.HedgeShare,
	}
	p.Announce = m.address("proxy.announce", f.Announce)
	if f.AdvertisedExit != "" {
		p.AdvertisedExit = m.address("proxy.advertised_exit", f.AdvertisedExit)
	}
	if f.RevokeAfter != "" {
		p.RevokeAfter = m.duration("proxy.revoke_after", f.RevokeAfter)
	}
	return p
}

func (m *mapper) quota(f *quotaFile) Quota {
	if f == nil {
		return Quota{}
	}
	q := Quota{Window: DefaultQuotaWindow, Overshoot: DefaultQuotaOvershoot, Slack: DefaultQuotaSlack}
	if f.Window != "" {
		q.Window = m.duration("quota.window", f.Window)
	}
	if f.Overshoot != nil {
		q.Overshoot = *f.Overshoot
	}
	if f.Slack != nil {
		q.Slack = *f.Slack
	}
	return q
}

func (m *mapper) stop(f stopFile) Stop {
	var s Stop
	if f.Leave != "" {
		s.RefuseAfter = m.duration("stop.leave", f.Leave)
	}
	if f.Drain != "" {
		s.Timeout = m.duration("stop.drain", f.Drain)
	}
	if f.Grace != "" {
		s.Grace = m.duration("stop.grace", f.Grace)
	}
	return s
}

func (m *mapper) control(f *controlFile) *Control {
	if f == nil {
		return nil
	}
	members := make([]Member, 0, len(f.Members))
	for i, member := range f.Members {
		address := m.address(fmt.Sprintf("control.members[%d].address", i), member.Address)
		members = append(members, Member{ID: member.ID, Zone: member.Zone, Address: address})
	}
	var catchUp time.Duration
	if f.CatchUp != "" {
		catchUp = m.duration("control.catch_up", f.CatchUp)
	}
	var settleTime time.Duration
	if f.SettleTime != "" {
		settleTime = m.duration("control.settle_time", f.SettleTime)
	}
	var advertised netip.AddrPort
	if f.Advertised != "" {
		advertised = m.address("control.advertised", f.Advertised)
	}
	return &Control{
		DataFolder: f.DataFolder,
		Advertised: advertised,
		Listen:     m.address("control.listen", f.Listen),
		Members:    members,
		SettleTime: settleTime,
		Seeds:      m.addresses("control.seeds", f.Seeds),
		Bootstrap:  f.Bootstrap,

		TolerateLosses: f.TolerateLosses,
		CatchUp:        catchUp,
	}
}

func (m *mapper) relay(f *relayFile) *Relay {
	if f == nil {
		return nil
	}
	return &Relay{
		Listen:    m.address("relay.listen", f.Listen),
		Upstreams: m.addresses("relay.upstreams", f.Upstreams),
	}
}

func (m *mapper) addresses(field string, values []string) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(values))
	for i, value := range values {
		addresses = append(addresses, m.address(fmt.Sprintf("%s[%d]", field, i), value))
	}
	return addresses
}

func (m *mapper) address(field, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		m.addFault(field, "is not an address; give an IP address and a port, such as 10.1.0.4:7400")
		return netip.AddrPort{}
	}
	if address.Port() == 0 {
		m.addFault(field, "has port 0; give the port that others will use")
	}
	return address
}

func (m *mapper) duration(field, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		m.addFault(field, "is not a duration; give a number with a unit, such as 30s or 1m30s")
		// The later checks of move.hold and control.settle_time and control.catch_up accept DefaultHold.
		return DefaultHold
	}
	return d
}

func (m *mapper) addFault(field, format string, args ...any) {
	m.faults = append(m.faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}
