package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// inFlight counts the requests, from callers and other proxies, that a proxy is
// serving.
type inFlight struct {
	count atomic.Int64
}

func (f *inFlight) begin() { f.count.Add(1) }
func (f *inFlight) end()   { f.count.Add(-1) }

// DisableKeepAlives makes every response ask callers and other proxies to close
// their connections. It is called some time before Drain, so that a stop closes
// no connection on which a call is being sent.
func (p *Proxy) DisableKeepAlives() { p.keepAlivesDisabled.Store(true) }

// setConnectionClose asks the other end to close its connection if keep-alives
// are disabled.
func (p *Proxy) setConnectionClose(w http.ResponseWriter) {
	if p.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
}

// closingWriter asks the other end to close its connection with each final response that
// begins once keep-alives are disabled, also if its request came before.
type closingWriter struct {
	http.ResponseWriter
	proxy *Proxy
}

// WriteHeader implements http.ResponseWriter.
func (c closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		c.proxy.setConnectionClose(c.ResponseWriter)
	}
	c.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (c closingWriter) Flush() {
	if flusher, can := c.ResponseWriter.(http.Flusher); can {
		flusher.Flush()
	}
}

// Unwrap returns the writer for http.ResponseController.
func (c closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// drainPoll is the interval at which Drain checks the calls in flight.
const drainPoll = 5 * time.Millisecond

// Drain refuses new calls and those that wait for a slot, and waits until the
// others in flight have ended. Then it hands the records of keyed calls over. It
// returns the context's error if the context ends before the calls.
func (p *Proxy) Drain(ctx context.Context) error {
	p.draining.Store(true)
	if local := p.local.Load(); local != nil {
		local.refuseWaiting()
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
