// Package standin holds a target for demonstrations, tests and measurements.
// It is slow, fails, sheds, lies and crashes as its options say, and counts
// how often each request ran.
package standin

import (
	"net/netip"
	"time"

	"github.com/go-kit/log"
)

// Options describe a stand-in target.
type Options struct {
	Service, Version string
	// Listen is the address for calls. Port 0 takes a free port.
	Listen netip.AddrPort
	// Advertise is the address at which the proxy reaches Listen, unset where
	// it is the same.
	Advertise netip.AddrPort
	// Announce is the announcement address of the proxy beside the target. It
	// is unset for a target that announces itself nowhere.
	Announce netip.AddrPort
	// Slots and Connections are what the target announces. Both are at least
	// one.
	Slots, Connections int
	// Delay is the time that a call takes, and Jitter the most that is added
	// to it.
	Delay, Jitter time.Duration
	// FailureShare lies between 0 and 1.
	FailureShare float64
	// Paths override FailureShare and Delay for calls whose path has the
	// prefix. The first match counts.
	Paths []PathFault
	// FaultsAfter is the time from the start until failures and path faults
	// begin.
	FaultsAfter time.Duration
	// FaultsAbove is the number of calls at once above which failures and path
	// faults begin. Zero begins them at once.
	FaultsAbove int
	// ColdStart is the time from the start in which ColdDelay is added to
	// every call.
	ColdStart, ColdDelay time.Duration
	// ShedAbove is the number of calls at once above which calls are refused
	// with 503. Zero sheds none.
	ShedAbove int
	// Health and Load are what those endpoints say.
	Health HealthMode
	Load   LoadMode
	// DrainGrace is the time for which a draining target goes on taking calls
	// that the proxy beside it had already admitted.
	DrainGrace time.Duration
	// DrainBound is the time after a withdrawal that the proxy took from which
	// on a call counts as late. Zero counts none.
	DrainBound time.Duration
	// Seed makes jitter and failures repeatable.
	Seed uint64
	// Runs counts the runs. Targets that share it are counted together; nil
	// makes one for this target alone.
	Runs   *Runs
	Logger log.Logger
}

// PathFault overrides the faults of calls with the path prefix.
type PathFault struct {
	Prefix       string
	FailureShare float64
	// Delay is added to the delay of the target.
	Delay time.Duration
}

// HealthMode says how the health endpoint answers.
type HealthMode string

// The answers of the health endpoint.
const (
	HealthActual  HealthMode = "true"
	HealthGood    HealthMode = "good"
	HealthFailing HealthMode = "failing"
)

// LoadMode says how the load endpoint answers.
type LoadMode string

// The answers of the load endpoint.
const (
	LoadActual LoadMode = "true"
	LoadIdle   LoadMode = "idle"
	LoadFull   LoadMode = "full"
)

// Defaults of what Options leave open.
const (
	DefaultSlots       = 10
	DefaultConnections = 120
	DefaultDrainGrace  = 500 * time.Millisecond
)

// withDefaults sets what the options leave open.
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
