package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// relayBuffer is the most that a relay passes on at once, in bytes.
	relayBuffer = 32 << 10
	// relayDialTimeout bounds the connection to the process behind a relay.
	relayDialTimeout = time.Second
	// silencePoll is the time between two looks at whether a silence is over.
	silencePoll = 10 * time.Millisecond
)

// LinkState is what a relay does to its connections.
type LinkState struct {
	// Delay is added to every piece of data, in both directions.
	Delay time.Duration
	// SilentIn and SilentOut hold back what flows to the process and from it.
	// Nothing is lost: it is passed on afterwards, as TCP would.
	SilentIn, SilentOut bool
	// Refuses resets new connections.
	Refuses bool
}

// Relay passes connections on to a process over loopback.
type Relay struct {
	listener net.Listener
	to       netip.AddrPort
	closed   chan struct{}

	mu          sync.Mutex
	state       LinkState
	connections map[net.Conn]bool
}

// NewRelay returns a relay that listens on the address.
func NewRelay(ctx context.Context, listen, to netip.AddrPort) (*Relay, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for a relay: %w", err)
	}
	r := &Relay{listener: listener, to: to, closed: make(chan struct{}), connections: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Address is where the relay is reached.
func (r *Relay) Address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// Set changes what the relay does.
func (r *Relay) Set(state LinkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *Relay) current() LinkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Reset resets every connection.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		reset(connection)
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	close(r.closed)
	_ = r.listener.Close()
	r.Reset()
}

func (r *Relay) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.current().Refuses {
			reset(connection)
			continue
		}
		go r.pass(connection)
	}
}

// pass relays one connection in both directions.
func (r *Relay) pass(from net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	var dialer net.Dialer
	to, err := dialer.DialContext(ctx, "tcp", r.to.String())
	if err != nil {
		reset(from)
		return
	}
	r.mu.Lock()
	r.connections[from], r.connections[to] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(to, from, func(s LinkState) bool { return s.SilentIn }) })
	both.Go(func() { r.copy(from, to, func(s LinkState) bool { return s.SilentOut }) })
	both.Wait()
	r.mu.Lock()
	delete(r.connections, from)
	delete(r.connections, to)
	r.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// copy passes data on in one direction until the connection ends, then passes
// the end on.
func (r *Relay) copy(to, from net.Conn, isSilent func(LinkState) bool) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if !r.hold(isSilent) {
			reset(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			endWriting(to, err)
			return
		}
	}
}

// hold waits for the delay and the end of a silence. It reports whether the
// relay still runs.
func (r *Relay) hold(isSilent func(LinkState) bool) bool {
	if delay := r.current().Delay; delay > 0 {
		time.Sleep(delay)
	}
	for isSilent(r.current()) {
		select {
		case <-r.closed:
			return false
		case <-time.After(silencePoll):
		}
	}
	return true
}

// endWriting passes on that one side ended, gracefully or not.
func endWriting(to net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		reset(to)
		return
	}
	if tcp, isTCP := to.(*net.TCPConn); isTCP {
		_ = tcp.CloseWrite()
	}
}

// reset ends a connection without the usual farewell.
func reset(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
