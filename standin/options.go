package standin

import (
	"net/netip"
	"time"

	"github.com/go-kit/log"
)

// Options configures a stand-in target.
type Options struct {
	Service, Version string
	// Name is sent in HeaderTarget. It may be empty.
	Name string
	// Listen is the address for calls. Port 0 selects a free port.
	Listen netip.AddrPort
	// Advertise is the address that is announced to the proxy. Unset announces the
	// address on which the target listens.
	Advertise netip.AddrPort
	// Announce is the announcement address of the target's proxy. Unset sends no
	// announcements.
	Announce netip.AddrPort
	// Slots and Connections are announced to the proxy. Zero selects the defaults.
	Slots, Connections int
	// Delay is the duration of a call, and Jitter the maximum added to it at
	// random.
	Delay, Jitter time.Duration
	// FailureShare is the share of the calls that fail, from 0 to 1.
	FailureShare float64
	// Paths override FailureShare and add to Delay for calls whose path has the
	// prefix. The first match applies.
	Paths []PathFault
	// FaultsAfter is the time from the start until failures and path faults begin.
	FaultsAfter time.Duration
	// FaultsAbove is the number of concurrent calls above which failures and path
	// faults occur. Zero does not limit them.
	FaultsAbove int
	// ColdStart is the time from the start during which ColdDelay is added to
	// every call.
	ColdStart, ColdDelay time.Duration
	// ShedAbove is the number of concurrent calls above which calls are refused
	// with 503. Zero sheds none.
	ShedAbove int
	// Health and Load select what those endpoints report.
	Health HealthMode
	Load   LoadMode
	// DrainGrace is the time for which a withdrawn target still accepts calls, since
	// its proxy may already have admitted some. Zero selects the default.
	DrainGrace time.Duration
	// DrainBound is the time after an accepted withdrawal from which on a call
	// counts as late. Zero counts none.
	DrainBound time.Duration
	// Seed makes jitter and failures reproducible.
	Seed uint64
	// Runs counts the runs. Targets that share it are counted together; nil
	// creates one for this target alone.
	Runs   *Runs
	Logger log.Logger
}

// PathFault overrides the faults of calls with the path prefix.
type PathFault struct {
	Prefix       string
	FailureShare float64
	// Delay is added to Options.Delay.
	Delay time.Duration
}

// HealthMode selects what the health endpoint reports.
type HealthMode string

// Modes of the health endpoint. HealthActual reports failing during the cold
// start, and once FaultsAfter has passed if FailureShare is at least one half.
const (
	HealthActual  HealthMode = "true"
	HealthGood    HealthMode = "good"
	HealthFailing HealthMode = "failing"
)

// LoadMode selects what the load endpoint reports.
type LoadMode string

// Modes of the load endpoint. LoadActual reports the calls in flight.
const (
	LoadActual LoadMode = "true"
	LoadIdle   LoadMode = "idle"
	LoadFull   LoadMode = "full"
)

// Defaults of Options.
const (
	DefaultSlots       = 10
	DefaultConnections = 120
	DefaultDrainGrace  = 500 * time.Millisecond
)

// withDefaults returns the options with defaults for the unset fields.
func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.DrainGrace == 0 {
		o.DrainGrace = DefaultDrainGrace
	}
	if !o.Listen.IsValid() {
		o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if o.Health == "" {
		o.Health = HealthActual
	}
	if o.Load == "" {
		o.Load = LoadActual
	}
	if o.Runs == nil {
		o.Runs = NewRuns()
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}
