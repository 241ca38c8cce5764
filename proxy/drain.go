package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// inFlight counts the calls that a proxy serves.
type inFlight struct {
	count atomic.Int64
}

func (f *inFlight) begin() { f.count.Add(1) }
func (f *inFlight) end()   { f.count.Add(-1) }

// DisableKeepAlives asks callers and other proxies, with each answer, to close their
// connections. Called some time before Drain, it lets a stop close no connection
// on which a call is on its way.
func (p *Proxy) DisableKeepAlives() { p.keepAlivesDisabled.Store(true) }

// setConnectionClose asks the other end to close its connection if the proxy leaves.
func (p *Proxy) setConnectionClose(w http.ResponseWriter) {
	if p.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
}

// drainPoll is the time between two looks at the calls in flight.
const drainPoll = 5 * time.Millisecond

// Drain refuses new calls from now on and waits until those in flight have
// ended. It returns the context's error if that comes first.
func (p *Proxy) Drain(ctx context.Context) error {
	p.draining.Store(true)
	if l := p.local.Load(); l != nil {
		l.refuseWaiting()
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for p.inFlight.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain with %d calls in flight: %w", p.inFlight.count.Load(), ctx.Err())
		case <-ticker.C:
		}
	}
	p.handOver(ctx)
	return nil
}
