package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// poolIdleTimeout is the time after which an idle connection is not used
	// again, freshLifetime the same for calls to a target that are not
	// idempotent: a target that closes it at that moment would leave their
	// outcome unknown.
	poolIdleTimeout          = 30 * time.Second
	nonIdempotentIdleTimeout = time.Second
	// maxHeaderBytes bounds the headers of a request or an answer.
	maxHeaderBytes = 64 << 10
)

// pool is the HTTP/1.1 connections to one address. Each carries one call at a
// time. The pool of net/http is not used, because it sends some requests a
// second time when a reused connection breaks.
type pool struct {
	address     string
	dialTimeout time.Duration
	transport   *http.Transport

	mu sync.Mutex
	// idle holds the connections without a call, the last used at the end.
	idle []*pooledConnection
	// keepAlive is the longest idle time of a connection that is used again, 0
	// where the other end named none. It is in nanoseconds.
	keepAlive atomic.Int64
	// openedSince is the time from which on a connection must have been opened to be
	// used again.
	openedSince time.Time
}

// newPool returns a pool whose answers have headers up to the bound.
func newPool(address netip.AddrPort, dialTimeout time.Duration, headerBytes int64) *pool {
	p := &pool{address: address.String(), dialTimeout: dialTimeout}
	dialer := &net.Dialer{Timeout: dialTimeout}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, fmt.Errorf("dial %s: %w", addr, err)
			}
			sealed := &sealedConn{Conn: c}
			if slot, found := ctx.Value(sealedConnKey{}).(**sealedConn); found {
				*slot = sealed
			}
			return sealed, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerBytes,
		ExpectContinueTimeout:  maxTimeout,
	}
	return p
}

// pooledConnection is one connection of a pool.
type pooledConnection struct {
	pool   *pool
	client *http.ClientConn
	raw    *sealedConn
	opened time.Time
	// usedAt is the end of the last call, zero before the first.
	usedAt time.Time
	// busy is true from get until the end of the call, finished from then on
	// until the connection is idle. The pool's mutex guards both.
	busy, finished bool
}

// get returns an idle connection used within the lifetime, or a new one.
func (p *pool) get(ctx context.Context, now time.Time, maxIdle time.Duration) (*pooledConnection, error) {
	if c := p.takeIdle(now, maxIdle); c != nil {
		return c, nil
	}
	return p.open(ctx, now)
}

func (p *pool) takeIdle(now time.Time, maxIdle time.Duration) *pooledConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(now)
	if named := time.Duration(p.keepAlive.Load()); named > 0 {
		maxIdle = min(maxIdle, named)
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if now.Sub(c.usedAt) > maxIdle {
			return nil
		}
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.client.Err() == nil {
			c.busy = true
			c.raw.unseal()
			return c
		}
	}
	return nil
}

// keepAliveFraction is the part of the idle time named by the other end for which a
// connection is used again.
const keepAliveFraction = 0.7

// recordKeepAlive takes the idle time that the other end names in a Keep-Alive
// header.
func (p *pool) recordKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(headerValue(h, "Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.ParseUint(text, 10, 16); err == nil {
			p.keepAlive.Store(int64(keepAliveFraction * float64(seconds) * float64(time.Second)))
		}
	}
}

// closeExpired closes the connections that were idle for too long.
func (p *pool) closeExpired(now time.Time) {
	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].usedAt) > poolIdleTimeout {
		closeAsync(p.idle[old])
		old++
	}
	if old > 0 {
		p.idle = append(p.idle[:0], p.idle[old:]...)
	}
}

// open dials. Its errors wrap errDial: nothing was sent.
func (p *pool) open(ctx context.Context, now time.Time) (*pooledConnection, error) {
	var raw *sealedConn
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, sealedConnKey{}, &raw), p.dialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", p.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	c := &pooledConnection{pool: p, client: client, raw: raw, opened: now, busy: true}
	client.SetStateHook(func(*http.ClientConn) { c.returnIdle() })
	return c, nil
}

// finish ends a call whose answer was read to its end. The connection becomes
// idle as soon as it is free. Only the first of several ends of a call counts.
func (c *pooledConnection) finish(now time.Time) {
	c.pool.mu.Lock()
	wasBusy := c.busy
	c.busy = false
	c.finished = wasBusy
	c.usedAt = now
	c.pool.mu.Unlock()
	if wasBusy {
		c.returnIdle()
	}
}

// discard closes the connection.
func (c *pooledConnection) discard() {
	_ = c.client.Close()
}

// returnIdle puts a finished connection that is free into the pool.
func (c *pooledConnection) returnIdle() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.finished || c.client.Available() == 0 {
		return
	}
	c.finished = false
	if c.opened.Before(p.openedSince) {
		closeAsync(c)
		return
	}
	p.idle = append(p.idle, c)
}

// invalidate closes every idle connection and those in use once they are free,
// after one went silent while its call ran out of time.
func (p *pool) invalidate(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedSince = now
	suspectConnectionsClosed.Add(len(p.idle))
	for _, c := range p.idle {
		closeAsync(c)
	}
	p.idle = nil
}

// closeAsync closes a connection without holding the pool's mutex, which the
// connection's hook takes.
func closeAsync(c *pooledConnection) {
	go c.discard()
}

// errDial means that no connection could be opened, so that nothing was sent.
var errDial = errors.New("no connection")

// closeIdle closes the connections without a call.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		closeAsync(c)
	}
	p.idle = nil
}

// sealedConnKey is the context key by which a dial hands out its connection.
type sealedConnKey struct{}

// errSealed means that a write came after its call had been given up.
var errSealed = errors.New("the connection is sealed")

// sealedConn proves whether a call was sent: once sealed it sends nothing
// more, and it knows whether anything was sent since it was unsealed.
type sealedConn struct {
	net.Conn
	mu sync.Mutex
	// sealed stops every write, written is true from the first write on.
	sealed, written bool
	// reads counts the reads that gave bytes.
	reads atomic.Uint64
}

// Read receives bytes.
func (c *sealedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
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
