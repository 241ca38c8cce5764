package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
)

const (
	// interimInterval is the interval at which an exit proxy sends interim
	// responses while a call has no response. silenceTimeout is the time
	// without received bytes after which the calling proxy closes the
	// connection, where the way to the exit proxy delays nothing.
	interimInterval = 250 * time.Millisecond
	silenceTimeout  = 800 * time.Millisecond
	// peerDialTimeout bounds a dial to another proxy. It is shorter than the
	// time until a lost SYN is retransmitted, because another target can be
	// tried at once.
	peerDialTimeout = 300 * time.Millisecond
	// lastDialTimeout is the same for a call that can't be sent to another target. It leaves
	// time for a SYN that is retransmitted after a second.
	lastDialTimeout = 1200 * time.Millisecond
	// maxPeerHeaderBytes bounds the headers of a response, including the
	// interim responses before it.
	maxPeerHeaderBytes = 1 << 20
)

// peerSet holds the connections to the exit sides of proxies, including the exit
// side of this one.
type peerSet struct {
	// connections is that of the pools.
	connections *connection.Table
	mu          sync.Mutex
	peers       map[netip.AddrPort]*peer
}

func (s *peerSet) init(connections *connection.Table) {
	s.connections = connections
	s.peers = make(map[netip.AddrPort]*peer)
}

// closeIdle closes the idle connections to all proxies, to make room for others.
func (s *peerSet) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.pool.closeIdle()
	}
}

// get returns the peer at the address and creates it if needed.
func (s *peerSet) get(address netip.AddrPort) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil {
		return p
	}
	p := &peer{address: address, pool: newPool(address, peerDialTimeout, maxPeerHeaderBytes)}
	p.pool.connections, p.pool.onLimit = s.connections, s.closeIdle
	p.silenceLimit = func(now time.Time) time.Duration { return silenceLimit(s.states(now, p)) }
	p.pathDelay = func(now time.Time) time.Duration { return expectedPathDelay(s.states(now, p)) }
	s.peers[address] = p
	return p
}

// retain removes the peers that no longer have a target and closes the idle
// connections to them.
func (s *peerSet) retain(targets []hornbeamwell.Target) {
	wanted := make(map[netip.AddrPort]bool, len(targets))
	for _, t := range targets {
		wanted[t.Exit] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.peers {
		if !wanted[address] {
			delete(s.peers, address)
			p.pool.closeIdle()
		}
	}
}

// peer is an exit proxy with the connections to it.
type peer struct {
	address netip.AddrPort
	pool    *pool
	// exchanges is the number of the last exchange.
	exchanges atomic.Uint64
	path      pathMeter
	// silenceLimit returns the time after which a silent connection counts as lost. With nil
	// it is silenceTimeout.
	silenceLimit func(now time.Time) time.Duration
	// pathDelay returns the delay to expect of a round trip. With nil there is none.
	pathDelay func(now time.Time) time.Duration
}

// errOtherReply means that a reply is not to the request that was sent.
var errOtherReply = errors.New("reply to another request")

// exchange sends a request that is not a call, and returns the reply to it. Another reply
// ends the connection, on which the next may not be that of its request either.
func (p *peer) exchange(ctx context.Context, now func() time.Time, request *http.Request) (*http.Response, error) {
	number := strconv.FormatUint(p.exchanges.Add(1), 10)
	request.Header[headerNumber] = []string{number}
	response, err := p.roundTrip(ctx, now, request, abandonPolicy{})
	if err != nil {
		return nil, err
	}
	// Proxies of earlier versions return no number.
	connection, got := response.Body.(*peerBody).connection, headerValue(response.Header, headerNumber)
	if got != number && (got != "" || connection.hasNumbers) {
		repliesForeign.Inc()
		discardReply(response)
		return nil, errOtherReply
	}
	connection.hasNumbers = got == number
	return response, nil
}

// errUnsent means that no byte of the request was sent.
var errUnsent = errors.New("request not sent")

// errClosedByWatchdog means that the watchdog closed the connection as the header of the
// response arrived, so that its body can't be read.
var errClosedByWatchdog = errors.New("connection closed by this proxy")

// isUnsent reports whether the error proves that the peer did not receive the
// request.
func isUnsent(err error) bool {
	return errors.Is(err, errDial) || errors.Is(err, errUnsent)
}

// roundTrip sends the request. If no byte of it was sent, it sends the request once more
// on a new connection, unless its body can't be read again. The connection becomes
// reusable once the body of the response has been read to its end and closed.
func (p *peer) roundTrip(ctx context.Context, now func() time.Time, request *http.Request, policy abandonPolicy) (*http.Response, error) {
	connection := p.pool.reuse(now(), poolIdleTimeout, policy.runsOnce)
	if connection == nil {
		var err error
		if connection, err = p.dial(ctx, now(), policy); err != nil {
			return nil, err
		}
	}
	response, err := p.send(ctx, now, connection, request, policy)
	if !errors.Is(err, errUnsent) || ctx.Err() != nil {
		return response, err
	}
	if request.Body != nil && request.Body != http.NoBody {
		if request.GetBody == nil {
			return response, err
		}
		body, bodyErr := request.GetBody()
		if bodyErr != nil {
			return response, err
		}
		// The first connection may still use the request.
		request = request.WithContext(request.Context())
		request.Body = body
	}
	if connection, err = p.dial(ctx, now(), policy); err != nil {
		return nil, err
	}
	return p.send(ctx, now, connection, request, policy)
}

// dial opens a connection. A handshake takes as long as the way there and back.
func (p *peer) dial(ctx context.Context, now time.Time, policy abandonPolicy) (*pooledConnection, error) {
	timeout := peerDialTimeout
	if policy.isLastTarget {
		timeout = lastDialTimeout
	}
	if p.pathDelay != nil {
		timeout += p.pathDelay(now)
	}
	return p.pool.openWithin(ctx, now, timeout)
}

func (p *peer) send(ctx context.Context, now func() time.Time, connection *pooledConnection, request *http.Request, policy abandonPolicy) (*http.Response, error) {
	// net/http writes a request whose context has ended.
	if ctx.Err() != nil {
		connection.putBack()
		return nil, fmt.Errorf("send request to proxy %s: %w: %w", p.pool.address, errUnsent, context.Cause(ctx))
	}
	sent := now()
	if policy.notice != nil {
		policy.notice.path.Store(&sentPath{meter: &p.path, sent: sent, now: now})
	}
	if p.silenceLimit != nil {
		policy.silenceLimit = func() time.Duration { return p.silenceLimit(now()) }
	}
	p.path.begin(sent)
	defer p.path.end()
	watchdog := startWatchdog(connection, policy)
	response, err := connection.client.RoundTrip(request)
	if err == nil {
		p.path.record(now(), sent, response.Header)
	}
	closed := watchdog.stop()
	isSilent := closed == closeSilent && err != nil
	if err == nil && closed != "" {
		_ = response.Body.Close()
		responsesCrossed.Inc()
		err = fmt.Errorf("%w: %s", errClosedByWatchdog, closed)
	}
	if err == nil {
		response.Body = &peerBody{ReadCloser: response.Body, connection: connection, now: now}
		return response, nil
	}
	isUnsent := connection.raw.seal()
	connection.discard()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || isSilent {
		p.pool.invalidate(now())
	}
	if isUnsent {
		return nil, fmt.Errorf("send request to proxy %s: %w: %w", p.pool.address, errUnsent, err)
	}
	return nil, fmt.Errorf("send request to proxy %s: %w", p.pool.address, err)
}

// peerBody is the body of a response. Closing it releases the connection.
type peerBody struct {
	io.ReadCloser
	connection *pooledConnection
	now        func() time.Time
	closed     bool
}

// Close closes the body and releases the connection for another call. If the
// body was not read to its end, net/http closes the connection.
func (b *peerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.connection.finish(b.now())
	return err
}
