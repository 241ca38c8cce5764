package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/connection"
)

const (
	// poolIdleTimeout is the time after which an idle connection is not reused.
	// nonIdempotentIdleTimeout is the same for calls to a target that are not
	// idempotent: if the target closes an idle connection just as such a call is
	// sent, the outcome is unknown.
	poolIdleTimeout          = 30 * time.Second
	nonIdempotentIdleTimeout = time.Second
	// maxHeaderBytes bounds the headers of a request or of a target's response.
	maxHeaderBytes = 64 << 10
)

// pool holds the HTTP/1.1 connections to one address. Each carries one call at
// a time. The pool of net/http is not used because it resends some requests
// when a reused connection breaks.
type pool struct {
	address     string
	dialTimeout time.Duration
	transport   *http.Transport
	// connections bounds the connections of all pools. It may be nil. onLimit is called when
	// it refuses another one, unless it is nil.
	connections *connection.Table
	onLimit     func()

	mu sync.Mutex
	// idle holds the connections without a call, the most recently used last.
	idle []*pooledConnection
	// keepAlive is the longest idle time, in nanoseconds, after which a
	// connection is reused. It is 0 if the other end announced none.
	keepAlive atomic.Int64
	// openedSince is the earliest time at which a reusable connection may have
	// been opened.
	openedSince time.Time
}

// newPool returns a pool whose responses have at most headerBytes of headers.
func newPool(address netip.AddrPort, dialTimeout time.Duration, headerBytes int64) *pool {
	p := &pool{address: address.String(), dialTimeout: dialTimeout}
	dialer := &net.Dialer{}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			release, err := p.reserve()
			if err != nil {
				return nil, fmt.Errorf("dial %s: %w", addr, err)
			}
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				release()
				return nil, fmt.Errorf("dial %s: %w", addr, err)
			}
			sealed := newSealedConn(c)
			sealed.release = release
			if slot, found := ctx.Value(sealedConnKey{}).(**sealedConn); found {
				*slot = sealed
			}
			return sealed, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerBytes,
		ExpectContinueTimeout:  maxDuration,
	}
	return p
}

// reserve reserves a connection.
func (p *pool) reserve() (release func(), err error) {
	release, err = p.connections.Open()
	if err != nil && p.onLimit != nil {
		p.onLimit()
	}
	return release, err
}

// pooledConnection is a connection of a pool.
type pooledConnection struct {
	pool   *pool
	client *http.ClientConn
	raw    *sealedConn
	opened time.Time
	// usedAt is the end of the last call, zero before the first.
	usedAt time.Time
	// busy is true from get until the end of the call, finished from then on
	// until the connection is idle. Both are guarded by the pool's mutex.
	busy, finished bool
	// hasNumbers is true if the other end returned the number of an exchange on it. It
	// belongs to the request that has the connection.
	hasNumbers bool
}

// get returns a connection that was idle for at most maxIdle, or a new one. For a call that
// runs once, it is checked before the first write whether the other end has closed it.
func (p *pool) get(ctx context.Context, now time.Time, maxIdle time.Duration, runsOnce bool) (*pooledConnection, error) {
	if c := p.reuse(now, maxIdle, runsOnce); c != nil {
		return c, nil
	}
	return p.open(ctx, now)
}

// reuse returns an idle connection as get does, nil if there is none.
func (p *pool) reuse(now time.Time, maxIdle time.Duration, runsOnce bool) *pooledConnection {
	c := p.takeIdle(now, maxIdle)
	if c != nil {
		c.raw.unseal(runsOnce)
	}
	return c
}

func (p *pool) takeIdle(now time.Time, maxIdle time.Duration) *pooledConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(now)
	if announced := time.Duration(p.keepAlive.Load()); announced > 0 {
		maxIdle = min(maxIdle, announced)
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if now.Sub(c.usedAt) > maxIdle {
			return nil
		}
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.client.Err() != nil {
			continue
		}
		c.busy = true
		return c
	}
	return nil
}

// keepAliveFraction is the fraction of the idle time announced by the other end
// during which a connection is reused.
const keepAliveFraction = 0.7

// recordKeepAlive records the idle time that the other end announces in a
// Keep-Alive header.
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

// closeExpired closes the connections that exceeded poolIdleTimeout. The caller
// holds the mutex.
func (p *pool) closeExpired(now time.Time) {
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].usedAt) > poolIdleTimeout {
		closeAsync(p.idle[expired])
		expired++
	}
	if expired > 0 {
		p.idle = append(p.idle[:0], p.idle[expired:]...)
	}
}

// open opens a connection. Its errors wrap errDial: nothing was sent.
func (p *pool) open(ctx context.Context, now time.Time) (*pooledConnection, error) {
	return p.openWithin(ctx, now, p.dialTimeout)
}

// openWithin opens a connection within the timeout.
func (p *pool) openWithin(ctx context.Context, now time.Time, timeout time.Duration) (*pooledConnection, error) {
	var raw *sealedConn
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, sealedConnKey{}, &raw), timeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", p.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	c := &pooledConnection{pool: p, client: client, raw: raw, opened: now, busy: true}
	client.SetStateHook(func(*http.ClientConn) { c.returnIdle() })
	return c, nil
}

// isNew reports whether the call that has the connection is its first.
func (c *pooledConnection) isNew() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.usedAt.IsZero()
}

// finish ends a call. The connection returns to the pool as soon as it is
// available. A connection that net/http closes, because the response was not
// read to its end, does not return. A second finish of the same call does not
// return the connection again.
func (c *pooledConnection) finish(now time.Time) {
	c.pool.mu.Lock()
	wasBusy := c.busy
	if wasBusy {
		c.busy, c.finished, c.usedAt = false, true, now
	}
	c.pool.mu.Unlock()
	if wasBusy {
		c.returnIdle()
	}
}

// putBack returns a connection that was not used since get.
func (c *pooledConnection) putBack() {
	c.pool.mu.Lock()
	idleSince := c.usedAt
	if idleSince.IsZero() {
		idleSince = c.opened
	}
	c.pool.mu.Unlock()
	c.finish(idleSince)
}

// discard closes the connection.
func (c *pooledConnection) discard() {
	_ = c.client.Close()
}

// returnIdle puts a finished connection into the pool once it is available.
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

// invalidate closes all idle connections now and those in use once they are
// free. It is called after a call timed out or its connection went silent.
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
// state hook of the connection locks.
func closeAsync(c *pooledConnection) {
	go c.discard()
}

// errDial means that no connection was opened, so nothing was sent.
var errDial = errors.New("cannot open connection")

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		closeAsync(c)
	}
	p.idle = nil
}

// sealedConnKey is the context key through which a dial returns its connection.
type sealedConnKey struct{}

// errSealed means that a write followed the end of its call.
var errSealed = errors.New("write after the end of the call")

// errClosedByPeer means that the other end had closed the connection before the call was
// written to it.
var errClosedByPeer = errors.New("connection closed by the other end before the call")

// sealedConn can prove that a call was not sent. A sealed connection sends
// nothing, and it records whether a write was begun since it was unsealed.
type sealedConn struct {
	net.Conn
	// socket is nil if the connection is not a socket.
	socket syscall.RawConn
	mu     sync.Mutex
	// sealed makes all writes fail. written is true while the first write since the
	// connection was last unsealed is in progress, and after it unless it sent nothing.
	sealed, written bool
	// isChecked is true if the first write asks whether the other end has closed the
	// connection. This costs a system call: with it before each call, proxies took a fifth
	// more processor time on a calm day.
	isChecked bool
	// scan is that of the current response.
	scan headScan
	// reads counts the reads that returned bytes.
	reads atomic.Uint64
	// release is called by Close. It may be nil.
	release func()
}

func newSealedConn(c net.Conn) *sealedConn {
	sealed := &sealedConn{Conn: c}
	if socket, isSocket := c.(syscall.Conn); isSocket {
		// Without a socket, a closed connection is noticed by the next read.
		sealed.socket, _ = socket.SyscallConn()
	}
	return sealed
}

// isClosedByPeer reports whether the other end has closed the connection. net/http
// notices this only once its reading goroutine has run.
func (c *sealedConn) isClosedByPeer() bool { return c.socket != nil && isClosedByPeer(c.socket) }

// hasUnread reports whether the kernel holds bytes, or the end of the connection, that have
// not been read.
func (c *sealedConn) hasUnread() bool { return c.socket != nil && isReadable(c.socket) }

// Close implements net.Conn.
func (c *sealedConn) Close() error {
	err := c.Conn.Close()
	if c.release != nil {
		c.release()
	}
	return err
}

// errReset means that the other end has reset the connection.
var errReset = errors.New("connection reset by the other end")

// Read implements net.Conn. It returns io.EOF only after an orderly end: the kernel reports
// a reset once, and where a concurrent write takes the report, the read sees an end.
func (c *sealedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
		c.mu.Lock()
		c.scan.add(b[:n])
		c.mu.Unlock()
	}
	if errors.Is(err, io.EOF) && c.socket != nil && isReset(c.socket) {
		return n, errReset
	}
	return n, err
}

// Write implements net.Conn. It fails if the connection is sealed, or if the other end
// had closed it before the first byte of the call.
func (c *sealedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	isFirst, isChecked := !c.written, c.isChecked
	c.written = true
	c.mu.Unlock()
	if !isFirst {
		return c.Conn.Write(b)
	}
	n, err := 0, errClosedByPeer
	if !isChecked || !c.isClosedByPeer() {
		n, err = c.Conn.Write(b)
	}
	if n == 0 && err != nil {
		// The kernel took no byte of the call.
		c.mu.Lock()
		c.written = false
		c.mu.Unlock()
	}
	return n, err
}

// unseal begins a call.
func (c *sealedConn) unseal(isChecked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed, c.written, c.isChecked, c.scan = false, false, isChecked, headScan{}
}

// hasIgnoredEncoding reports whether net/http ignored a transfer encoding of the response.
func (c *sealedConn) hasIgnoredEncoding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scan.isEncoded
}

// seal ends a call. It returns true if no byte of the call was handed to the kernel and
// none will be. A write in progress counts as sent.
func (c *sealedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.written
}
