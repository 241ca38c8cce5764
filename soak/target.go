package soak

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

const (
	// drainBound is the time after a target's withdrawal from which on no call
	// may come to it, as the users ask.
	drainBound = 2 * time.Second
	// drainGrace is how long a leaving target listens, long enough to see calls
	// behind the bound.
	drainGrace = drainBound + 700*time.Millisecond
	// targetSlots and targetConnections are what a target announces.
	targetSlots       = 20
	targetConnections = 120
)

// Target is a stand-in target beside a proxy.
type Target struct {
	Proxy            *Process
	Service, Version string
	// FailureShare lies between 0 and 1.
	FailureShare float64
	// CountsLateCalls keeps a leaving target listening until calls come too
	// late.
	CountsLateCalls bool
	// Relay stands between the proxy and the target; nil for none.
	Relay *Relay

	runs *standin.Runs
	stop context.CancelFunc
	// ended is closed when the target that was started last has ended.
	ended chan struct{}

	mu sync.Mutex
	// running is nil while the target does not run.
	running *standin.Target
	// earlier are the calls, and of these the late ones, of former starts.
	earlier, earlierLate int64
}

// AddTarget puts a target beside a proxy. It does not run yet.
func (s *Site) AddTarget(ctx context.Context, t *Target) error {
	t.runs = s.Runs
	if s.Options.IsRelayed {
		addresses, err := standin.FreeAddresses(ctx, 1)
		if err != nil {
			return fmt.Errorf("find an address of a target: %w", err)
		}
		if t.Relay, err = NewRelay(ctx, netip.MustParseAddrPort("127.0.0.1:0"), addresses[0]); err != nil {
			return err
		}
	}
	s.Targets = append(s.Targets, t)
	return nil
}

// Start starts the target.
func (t *Target) Start() error {
	options := standin.Options{
		Service: t.Service, Version: t.Version, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Announce: t.Proxy.Announce, Slots: targetSlots, Connections: targetConnections,
		Delay: 3 * time.Millisecond, Jitter: 4 * time.Millisecond, Runs: t.runs,
		FailureShare: t.FailureShare,
	}
	if t.CountsLateCalls {
		options.DrainGrace, options.DrainBound = drainGrace, drainBound
	}
	if t.Relay != nil {
		options.Listen, options.Advertise = t.Relay.to, t.Relay.Address()
	}
	ctx, cancel := context.WithCancel(context.Background())
	running, err := standin.New(ctx, options)
	if err != nil {
		cancel()
		return fmt.Errorf("start the target of %s: %w", t.Proxy.ID, err)
	}
	t.stop, t.ended = cancel, make(chan struct{})
	t.mu.Lock()
	t.running = running
	t.mu.Unlock()
	go func() {
		defer close(t.ended)
		// A target that crashes or is cut says so in its counts.
		_ = running.Run(ctx)
	}()
	return nil
}

// Drain lets the target leave and finish its calls. One goroutine at a time
// starts and ends a target.
func (t *Target) Drain() {
	if t.current() != nil {
		t.stop()
		t.awaitEnd()
	}
}

// Crash cuts the target's calls.
func (t *Target) Crash() {
	if running := t.current(); running != nil {
		running.Crash()
		t.awaitEnd()
		t.stop()
	}
}

func (t *Target) current() *standin.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

func (t *Target) awaitEnd() {
	<-t.ended
	t.mu.Lock()
	defer t.mu.Unlock()
	t.earlier += t.running.Calls()
	t.earlierLate += t.running.LateCalls()
	t.running = nil
}

// Calls returns the calls that came, and of these the ones that came too late
// after a withdrawal.
func (t *Target) Calls() (all, late int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, late = t.earlier, t.earlierLate
	if t.running != nil {
		all += t.running.Calls()
		late += t.running.LateCalls()
	}
	return all, late
}
