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
	// forwardBufferBytes is the maximum that is forwarded at a time.
	forwardBufferBytes = 32 << 10
	// dialTimeout bounds the time to connect to the address behind a forwarder.
	dialTimeout = time.Second
	// silencePollPeriod is the time between two checks whether a silence has
	// ended.
	silencePollPeriod = 10 * time.Millisecond
)

// LinkFaults are the faults that a forwarder injects into its connections.
type LinkFaults struct {
	// Delay is added to every chunk of data, in both directions.
	Delay time.Duration
	// SilentIn and SilentOut hold back the data to the process or target and from
	// it. No data is lost: it is delivered once the silence ends, as with TCP.
	SilentIn, SilentOut bool
	// Refuses resets new connections.
	Refuses bool
}

// Forwarder forwards TCP connections to a process or target over loopback and
// injects faults into them.
type Forwarder struct {
	listener net.Listener
	to       netip.AddrPort
	closed   chan struct{}

	mu          sync.Mutex
	faults      LinkFaults
	connections map[net.Conn]bool
}

// NewForwarder returns a forwarder that listens on one address and connects to
// the other.
func NewForwarder(ctx context.Context, listen, to netip.AddrPort) (*Forwarder, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for a forwarder: %w", err)
	}
	f := &Forwarder{listener: listener, to: to, closed: make(chan struct{}), connections: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

// Address returns the address on which the forwarder listens.
func (f *Forwarder) Address() netip.AddrPort {
	return netip.MustParseAddrPort(f.listener.Addr().String())
}

// SetFaults replaces the injected faults.
func (f *Forwarder) SetFaults(faults LinkFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *Forwarder) currentFaults() LinkFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Reset resets every open connection.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for connection := range f.connections {
		reset(connection)
	}
}

// Close closes the listener and resets every open connection.
func (f *Forwarder) Close() {
	close(f.closed)
	_ = f.listener.Close()
	f.Reset()
}

func (f *Forwarder) accept() {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.currentFaults().Refuses {
			reset(connection)
			continue
		}
		go f.forward(connection)
	}
}

// forward forwards one connection in both directions until it ends.
func (f *Forwarder) forward(from net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var dialer net.Dialer
	to, err := dialer.DialContext(ctx, "tcp", f.to.String())
	if err != nil {
		reset(from)
		return
	}
	f.mu.Lock()
	f.connections[from], f.connections[to] = true, true
	f.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { f.forwardOneWay(to, from, func(s LinkFaults) bool { return s.SilentIn }) })
	both.Go(func() { f.forwardOneWay(from, to, func(s LinkFaults) bool { return s.SilentOut }) })
	both.Wait()
	f.mu.Lock()
	delete(f.connections, from)
	delete(f.connections, to)
	f.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// forwardOneWay forwards data in one direction until the connection ends, then
// propagates the end.
func (f *Forwarder) forwardOneWay(to, from net.Conn, isSilent func(LinkFaults) bool) {
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !f.wait(isSilent) {
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
			propagateClose(to, err)
			return
		}
	}
}

// wait waits for the delay and the end of a silence. It returns false if the
// forwarder was closed during a silence.
func (f *Forwarder) wait(isSilent func(LinkFaults) bool) bool {
	if delay := f.currentFaults().Delay; delay > 0 {
		time.Sleep(delay)
	}
	for isSilent(f.currentFaults()) {
		select {
		case <-f.closed:
			return false
		case <-time.After(silencePollPeriod):
		}
	}
	return true
}

// propagateClose closes a connection for writing after the end of the other
// one, or resets it if the other one failed.
func propagateClose(to net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		reset(to)
		return
	}
	if tcp, isTCP := to.(*net.TCPConn); isTCP {
		_ = tcp.CloseWrite()
	}
}

// reset closes a connection with RST in place of FIN.
func reset(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
