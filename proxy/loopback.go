package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// loopbackDialTimeout bounds a dial to the target beside this proxy.
	loopbackDialTimeout = 500 * time.Millisecond
	// idleLifetime is the time after which an idle connection is not used
	// again, freshLifetime the same for calls that are not idempotent: a
	// target that closes it at that moment would leave their outcome unknown.
	idleLifetime  = 30 * time.Second
	freshLifetime = time.Second
)

// loopback is the HTTP/1.1 connections to the target beside this proxy. Each
// carries one call at a time. The pool is our own because that of net/http
// sends some requests a second time when a reused connection breaks.
type loopback struct {
	address   string
	transport *http.Transport

	mu sync.Mutex
	// idle holds the connections without a call, the last used at the end.
	idle []*loopbackConnection
	// born is the time from which on a connection must have been opened to be
	// used again.
	born time.Time
}

func newLoopback(address netip.AddrPort) *loopback {
	l := &loopback{address: address.String()}
	dialer := &net.Dialer{Timeout: loopbackDialTimeout}
	l.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, fmt.Errorf("dial the target: %w", err)
			}
			guarded := &sealedConn{Conn: c}
			if slot, found := ctx.Value(sealedConnSlot{}).(**sealedConn); found {
				*slot = guarded
			}
			return guarded, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return l
}

// loopbackConnection is one connection to the target.
type loopbackConnection struct {
	pool   *loopback
	client *http.ClientConn
	raw    *sealedConn
	opened time.Time
	// usedAt is the end of the last call, zero before the first.
	usedAt time.Time
	// finished is true from the end of a call until the next begins. The
	// pool's mutex guards it.
	finished bool
}

// get returns an idle connection used within the lifetime, or a new one.
func (l *loopback) get(ctx context.Context, now time.Time, lifetime time.Duration) (*loopbackConnection, error) {
	if c := l.takeIdle(now, lifetime); c != nil {
		return c, nil
	}
	return l.open(ctx, now)
}

func (l *loopback) takeIdle(now time.Time, lifetime time.Duration) *loopbackConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeOld(now)
	for len(l.idle) > 0 {
		last := len(l.idle) - 1
		c := l.idle[last]
		if now.Sub(c.usedAt) > lifetime {
			return nil
		}
		l.idle[last] = nil
		l.idle = l.idle[:last]
		if c.client.Err() == nil {
			c.finished = false
			c.raw.unseal()
			return c
		}
	}
	return nil
}

// closeOld closes the connections that were idle for too long.
func (l *loopback) closeOld(now time.Time) {
	old := 0
	for old < len(l.idle) && now.Sub(l.idle[old].usedAt) > idleLifetime {
		closeSoon(l.idle[old])
		old++
	}
	if old > 0 {
		l.idle = append(l.idle[:0], l.idle[old:]...)
	}
}

// open dials the target. Its errors wrap errDial: nothing was sent.
func (l *loopback) open(ctx context.Context, now time.Time) (*loopbackConnection, error) {
	var raw *sealedConn
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, sealedConnSlot{}, &raw), loopbackDialTimeout)
	defer cancel()
	client, err := l.transport.NewClientConn(ctx, "http", l.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	c := &loopbackConnection{pool: l, client: client, raw: raw, opened: now}
	client.SetStateHook(func(*http.ClientConn) { c.returnIdle() })
	return c, nil
}

// finish ends a call whose answer was read to its end. The connection becomes
// idle as soon as it is free.
func (c *loopbackConnection) finish(now time.Time) {
	c.pool.mu.Lock()
	c.finished = true
	c.usedAt = now
	c.pool.mu.Unlock()
	c.returnIdle()
}

// discard closes the connection.
func (c *loopbackConnection) discard() {
	_ = c.client.Close()
}

// returnIdle puts a finished connection that is free into the pool.
func (c *loopbackConnection) returnIdle() {
	l := c.pool
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.finished || c.client.Available() == 0 {
		return
	}
	c.finished = false
	if c.opened.Before(l.born) {
		closeSoon(c)
		return
	}
	l.idle = append(l.idle, c)
}

// distrust closes every idle connection and those in use once they are free,
// after one went silent while its call ran out of time.
func (l *loopback) distrust(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.born = now
	suspectConnections.Add(len(l.idle))
	for _, c := range l.idle {
		closeSoon(c)
	}
	l.idle = nil
}

// closeSoon closes a connection without holding the pool's mutex, which the
// connection's hook takes.
func closeSoon(c *loopbackConnection) {
	go c.discard()
}

// sealedConnSlot is the context key by which a dial hands out its connection.
type sealedConnSlot struct{}

// errSealed means that a write came after its call had been given up.
var errSealed = errors.New("the connection is sealed")

// sealedConn proves whether a call was sent: once sealed it sends nothing
// more, and it knows whether anything was sent since it was unsealed.
type sealedConn struct {
	net.Conn
	mu sync.Mutex
	// sealed stops every write, written is true from the first write on.
	sealed, written bool
}

// Write sends the bytes unless the connection is sealed.
func (c *sealedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// unseal begins a call.
func (c *sealedConn) unseal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed, c.written = false, false
}

// seal ends a call for good. It returns true if no byte of it was sent.
func (c *sealedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.written
}
