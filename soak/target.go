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
	// drainBound is the guaranteed time after a target's withdrawal from which on
	// no call reaches it.
	drainBound = 2 * time.Second
	// drainGrace is how long a withdrawn target listens, long enough to observe
	// calls after the bound.
	drainGrace = drainBound + 700*time.Millisecond
	// targetSlots and targetConnections are announced by every target.
	targetSlots       = 20
	targetConnections = 120
)

// Target is a stand-in target of a proxy.
type Target struct {
	// Proxy is the process to which the target announces itself.
	Proxy            *Process
	Service, Version string
	// FailureShare is the share of the calls that fail, from 0 to 1.
	FailureShare float64
	// CountsLateCalls keeps a withdrawn target listening for drainGrace to count
	// late calls.
	CountsLateCalls bool
	// Forwarder forwards the connections of proxies to the target. It is nil if
	// they connect directly.
	Forwarder *Forwarder

	runs *standin.Runs
	stop context.CancelFunc
	// ended is closed when the most recently started target has ended.
	ended chan struct{}

	mu sync.Mutex
	// running is nil while the target is not running.
	running *standin.Target
	// previousCalls and previousLateCalls count the calls, and the late ones among
	// them, of earlier starts.
	previousCalls, previousLateCalls int64
}

// AddTarget adds a target to the site without starting it.
func (s *Site) AddTarget(ctx context.Context, t *Target) error {
	t.runs = s.Runs
	if s.Options.UsesForwarders {
		addresses, err := standin.FreeAddresses(ctx, 1)
		if err != nil {
			return fmt.Errorf("find a free address for a target: %w", err)
		}
		if t.Forwarder, err = NewForwarder(ctx, netip.MustParseAddrPort("127.0.0.1:0"), addresses[0]); err != nil {
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
		Delay: 3 * time.Millisecond, Jitter: 4 * time.Millisecond, Runs: t.runs, Name: t.Proxy.ID,
		FailureShare: t.FailureShare, Paths: slowPaths(),
	}
	if t.CountsLateCalls {
		options.DrainGrace, options.DrainBound = drainGrace, drainBound
	}
	if t.Forwarder != nil {
		options.Listen, options.Advertise = t.Forwarder.to, t.Forwarder.Address()
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
		// The error is ignored, because Crash causes one too.
		_ = running.Run(ctx)
	}()
	return nil
}

// Drain withdraws the target and waits until its calls have ended. Only one
// goroutine at a time may start or end a target.
func (t *Target) Drain() {
	if t.current() != nil {
		t.stop()
		t.awaitEnd()
	}
}

// Crash closes the target's connections without a drain.
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
	t.previousCalls += t.running.Calls()
	t.previousLateCalls += t.running.LateCalls()
	t.running = nil
}

// Calls returns the number of calls received, and how many of them came more
// than drainBound after a withdrawal.
func (t *Target) Calls() (all, late int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, late = t.previousCalls, t.previousLateCalls
	if t.running != nil {
		all += t.running.Calls()
		late += t.running.LateCalls()
	}
	return all, late
}
