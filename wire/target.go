package wire

import (
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Target is the message for a hornbeamwell.Target. An address that does not
// parse is decoded as the invalid address.
type Target struct {
	ID          string `json:"id"`
	Name        string `json:"name,omitempty"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	Zone        string `json:"zone,omitempty"`
	Exit        string `json:"exit"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	State       string `json:"state"`
	ReadyAtNs   int64  `json:"ready_at_ns,omitempty"`
	ColdStartNs int64  `json:"cold_start_ns,omitempty"`
}

// FromTarget maps a target to its message.
func FromTarget(t hornbeamwell.Target) Target {
	return Target{
		ID:          t.ID,
		Name:        t.Name,
		Service:     t.Service,
		Version:     t.Version,
		Zone:        t.Zone,
		Exit:        FromAddress(t.Exit),
		Slots:       t.Slots,
		Connections: t.Connections,
		Incarnation: t.Incarnation,
		Sequence:    t.Sequence,
		State:       string(t.State),
		ReadyAtNs:   FromTime(t.ReadyAt),
		ColdStartNs: int64(t.ColdStart),
	}
}

// ToTarget maps the message to a target.
func (m Target) ToTarget() hornbeamwell.Target {
	return hornbeamwell.Target{
		ID:          m.ID,
		Name:        m.Name,
		Service:     m.Service,
		Version:     m.Version,
		Zone:        m.Zone,
		Exit:        ToAddress(m.Exit),
		Slots:       m.Slots,
		Connections: m.Connections,
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		State:       hornbeamwell.TargetState(m.State),
		ReadyAt:     ToTime(m.ReadyAtNs),
		ColdStart:   time.Duration(m.ColdStartNs),
	}
}

// FromTargets maps targets to their messages.
func FromTargets(targets []hornbeamwell.Target) []Target { return mapSlice(targets, FromTarget) }

// ToTargets maps messages to targets.
func ToTargets(messages []Target) []hornbeamwell.Target { return mapSlice(messages, Target.ToTarget) }

// FromAddress returns the address as text, or "" for the invalid address.
func FromAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

// FromAddresses returns the addresses as text.
func FromAddresses(addresses []netip.AddrPort) []string { return mapSlice(addresses, FromAddress) }

// ToAddresses parses the output of FromAddresses and drops texts that do not
// parse.
func ToAddresses(texts []string) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		if address := ToAddress(text); address.IsValid() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ToAddress parses the output of FromAddress. It returns the invalid address
// for text that does not parse.
func ToAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// Departure is a target that drains or is gone.
type Departure struct {
	Target       Target `json:"target"`
	RecordedAtNs int64  `json:"recorded_at_ns"`
}

// FromDeparture maps a departure to its message.
func FromDeparture(d hornbeamwell.Departure) Departure {
	return Departure{Target: FromTarget(d.Target), RecordedAtNs: FromTime(d.RecordedAt)}
}

// ToDeparture maps the message to a departure.
func (m Departure) ToDeparture() hornbeamwell.Departure {
	return hornbeamwell.Departure{Target: m.Target.ToTarget(), RecordedAt: ToTime(m.RecordedAtNs)}
}

// FromDepartures maps departures to their messages.
func FromDepartures(departures []hornbeamwell.Departure) []Departure {
	return mapSlice(departures, FromDeparture)
}

// ToDepartures maps the messages to departures.
func ToDepartures(messages []Departure) []hornbeamwell.Departure {
	return mapSlice(messages, Departure.ToDeparture)
}
