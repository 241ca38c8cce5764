package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// pingAfter is the silence on a connection between proxies after which it
	// is probed, pingTimeout the time that the probe may take. Together they
	// bound the time until a silent connection is replaced.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// peerDialTimeout bounds a dial to another proxy.
	peerDialTimeout = time.Second
	// callsPerConnection is the number of calls on a connection from which on
	// another is opened, up to connectionsPerPeer.
	callsPerConnection = 64
	connectionsPerPeer = 4
	// streamWindow bounds the bytes of one answer or one request body that
	// wait in a proxy, connectionWindow those of one connection.
	streamWindow     = 256 << 10
	connectionWindow = 4<<20 - 1
	maxHeaderBytes   = 64 << 10
)

// peerSet holds the connections to the exit sides of other proxies.
type peerSet struct {
	transport *http.Transport
	mu        sync.Mutex
	peers     map[netip.AddrPort]*peer
}

func (s *peerSet) init() {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	s.peers = make(map[netip.AddrPort]*peer)
	s.transport = &http.Transport{
		DialContext:            dialer.DialContext,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              pingAfter + pingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
}

// get returns the peer at the address.
func (s *peerSet) get(address netip.AddrPort) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil {
		return p
	}
	p := &peer{address: address, host: address.String(), transport: s.transport}
	s.peers[address] = p
	return p
}

// retain closes the idle connections to peers that are no target's any more.
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
			p.retire()
		}
	}
}

// peer is the connections to one exit proxy. They are taken from net/http one
// by one, because its pool would send a request a second time on its own.
type peer struct {
	address   netip.AddrPort
	host      string
	transport *http.Transport

	mu          sync.Mutex
	connections []*http.ClientConn
	// dialing is closed at the end of the dial under way, nil without one.
	dialing chan struct{}
	dialErr error
	retired bool
}

// errDial means that no connection could be opened, so that nothing was sent.
var errDial = errors.New("no connection to the exit proxy")

// roundTrip sends the request once.
func (p *peer) roundTrip(ctx context.Context, request *http.Request) (*http.Response, error) {
	connection, err := p.connection(ctx)
	if err != nil {
		return nil, err
	}
	response, err := connection.RoundTrip(request)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.distrust(connection)
		}
		return nil, fmt.Errorf("call %s: %w", p.host, err)
	}
	return response, nil
}

// connection returns a usable connection and opens one where it must.
func (p *peer) connection(ctx context.Context) (*http.ClientConn, error) {
	for {
		p.mu.Lock()
		best, calls := p.leastUsed()
		isCrowded := calls >= callsPerConnection && len(p.connections) < connectionsPerPeer
		if best != nil && (!isCrowded || p.dialing != nil) {
			p.mu.Unlock()
			return best, nil
		}
		wait := p.dialing
		if wait == nil {
			wait = make(chan struct{})
			p.dialing = wait
			go p.dial(wait)
		}
		p.mu.Unlock()
		if best != nil {
			return best, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", errDial, ctx.Err())
		case <-wait:
		}
		p.mu.Lock()
		err := p.dialErr
		p.mu.Unlock()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errDial, err)
		}
	}
}

// leastUsed drops closed connections and returns the one with the fewest calls.
func (p *peer) leastUsed() (*http.ClientConn, int) {
	var best *http.ClientConn
	var fewest int
	kept := p.connections[:0]
	for _, c := range p.connections {
		if c.Err() != nil {
			continue
		}
		kept = append(kept, c)
		if c.Available() == 0 {
			continue
		}
		if calls := c.InFlight(); best == nil || calls < fewest {
			best, fewest = c, calls
		}
	}
	clear(p.connections[len(kept):])
	p.connections = kept
	return best, fewest
}

// dial opens a connection. It does not end with the call that asked for it,
// because other calls wait for it too.
func (p *peer) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), peerDialTimeout)
	defer cancel()
	connection, err := p.transport.NewClientConn(ctx, "http", p.host)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialErr = err
	p.dialing = nil
	if err == nil {
		p.connections = append(p.connections, connection)
		if p.retired {
			closeWhenIdle(connection)
		}
	}
	close(done)
}

// distrust takes a connection on which a call ran out of time from new calls.
// Those in flight on it go on.
func (p *peer) distrust(connection *http.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.connections, connection)
	if i < 0 {
		return
	}
	suspectConnections.Inc()
	p.connections = slices.Delete(p.connections, i, i+1)
	closeWhenIdle(connection)
}

// retire closes the connections once their calls have ended.
func (p *peer) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, c := range p.connections {
		closeWhenIdle(c)
	}
	p.connections = nil
}

func closeWhenIdle(c *http.ClientConn) {
	c.SetStateHook(func(c *http.ClientConn) {
		if c.InFlight() == 0 && c.Err() == nil {
			_ = c.Close()
		}
	})
	if c.InFlight() == 0 {
		_ = c.Close()
	}
}

// streamError has the fields of the HTTP/2 stream error of net/http, which
// fills it in by errors.As.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error describes the error.
func (e streamError) Error() string {
	return fmt.Sprintf("stream %d ended with code %d", e.StreamID, e.Code)
}

// refusedStream is the HTTP/2 code by which a server says that it did not
// start on a request.
const refusedStream = 7

// unsentErrors are the errors of net/http after which the request was not sent
// or, by the peer's word, not started.
var unsentErrors = []string{
	"http2: client conn not usable",
	"http2: client conn could not be established",
	"http2: Transport received Server's graceful shutdown GOAWAY",
}

// isUnsent reports whether the error proves that the peer did not start on the
// request.
func isUnsent(err error) bool {
	if errors.Is(err, errDial) {
		return true
	}
	var stream streamError
	if errors.As(err, &stream) {
		return stream.Code == refusedStream
	}
	text := err.Error()
	for _, unsent := range unsentErrors {
		if strings.HasSuffix(text, unsent) {
			return true
		}
	}
	return false
}
