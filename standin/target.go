package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// shutdownTimeout bounds a drain, from the withdrawal to the end of the calls
	// in flight.
	shutdownTimeout = 30 * time.Second
	// headerTimeout bounds the read of a request header.
	headerTimeout = 10 * time.Second
)

// ErrCrashed means that Target.Crash or a request with HeaderCrash crashed the
// target.
var ErrCrashed = errors.New("stand-in target crashed")

// Target is a stand-in target.
type Target struct {
	options  Options
	listener net.Listener
	server   *http.Server
	faults   *faults
	running  atomic.Int64
	// withdrawnAt is the Unix time in nanoseconds at which the proxy accepted the
	// withdrawal, 0 before.
	withdrawnAt      atomic.Int64
	calls, lateCalls atomic.Int64
	rate             rateStatement
	// isLeaving is true once the drain has begun.
	isLeaving atomic.Bool
	// incarnation increases with every start.
	incarnation uint64
	crashOnce   sync.Once
	crashed     chan struct{}
}

// New returns a target that listens. Run serves its calls.
func New(ctx context.Context, options Options) (*Target, error) {
	options = options.withDefaults()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", options.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", options.Listen, err)
	}
	started := time.Now()
	t := &Target{
		options:     options,
		listener:    listener,
		faults:      newFaults(options, started),
		incarnation: uint64(max(started.UnixMicro(), 1)),
		crashed:     make(chan struct{}),
	}
	t.server = &http.Server{Handler: t.handler(), ReadHeaderTimeout: headerTimeout}
	return t, nil
}

// Address returns the address for calls.
func (t *Target) Address() netip.AddrPort {
	return netip.MustParseAddrPort(t.listener.Addr().String())
}

// Calls returns the number of calls received.
func (t *Target) Calls() int64 { return t.calls.Load() }

// LateCalls returns the number of calls received more than DrainBound after the
// proxy accepted the withdrawal.
func (t *Target) LateCalls() int64 { return t.lateCalls.Load() }

func (t *Target) countCall(now time.Time) {
	t.calls.Add(1)
	withdrawn := t.withdrawnAt.Load()
	if withdrawn > 0 && t.options.DrainBound > 0 && now.Sub(time.Unix(0, withdrawn)) > t.options.DrainBound {
		t.lateCalls.Add(1)
	}
}

// Run serves calls and renews the announcement until the context ends, then
// drains the target. It returns ErrCrashed if the target crashed.
func (t *Target) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		t.announceLoop(announceCtx)
	}()
	if err := t.awaitStop(ctx, served); err != nil {
		return err
	}
	<-announced
	return t.drain(context.WithoutCancel(ctx))
}

// awaitStop waits until the context ends. It returns an error if the target crashes
// or stops serving before.
func (t *Target) awaitStop(ctx context.Context, served <-chan error) error {
	select {
	case <-t.crashed:
		return ErrCrashed
	case err := <-served:
		// A crash also ends the server, and select may choose this case.
		if t.hasCrashed() {
			return ErrCrashed
		}
		return fmt.Errorf("serve calls: %w", err)
	case <-ctx.Done():
		return nil
	}
}

// drain withdraws the target, serves calls for DrainGrace, and waits for the
// calls in flight.
func (t *Target) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	t.isLeaving.Store(true)
	if err := t.withdraw(ctx); err != nil {
		_ = t.options.Logger.Log("event", "withdraw_failed", "err", err)
	}
	select {
	case <-time.After(t.options.DrainGrace):
	case <-t.crashed:
		return ErrCrashed
	}
	err := t.server.Shutdown(ctx)
	if t.hasCrashed() {
		return ErrCrashed
	}
	if err != nil {
		return fmt.Errorf("finish the calls in flight: %w", err)
	}
	return nil
}

// crash closes every connection and ends Run.
func (t *Target) crash() {
	t.crashOnce.Do(func() {
		_ = t.options.Logger.Log("event", "crashed", "service", t.options.Service, "version", t.options.Version)
		close(t.crashed)
		_ = t.server.Close()
	})
}

func (t *Target) hasCrashed() bool {
	select {
	case <-t.crashed:
		return true
	default:
		return false
	}
}

// Crash closes every connection and ends Run without a drain.
func (t *Target) Crash() { t.crash() }
