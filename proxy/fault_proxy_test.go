package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// faultProxy forwards TCP connections and cuts them after a number of bytes. It
// can also go silent: the connections stay open and forward nothing.
type faultProxy struct {
	address netip.AddrPort
	to      netip.AddrPort

	mu sync.Mutex
	// remaining is the number of bytes that may still pass in the limited
	// direction, negative for no limit. The limited direction is to the server
	// if cutUp is true, to the client otherwise.
	remaining int
	cutUp     bool
	// resets is true if connections end with a reset.
	resets    bool
	forwarded [2]int
	silent    map[net.Conn]bool
	open      []net.Conn
}

func newFaultProxy(t *testing.T, to netip.AddrPort) *faultProxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &faultProxy{
		address: netip.MustParseAddrPort(listener.Addr().String()), to: to, remaining: -1, silent: make(map[net.Conn]bool),
	}
	t.Cleanup(func() {
		_ = listener.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, conn := range c.open {
			_ = conn.Close()
		}
	})
	go func() {
		for {
			down, err := listener.Accept()
			if err != nil {
				return
			}
			c.serve(down)
		}
	}()
	return c
}

func (c *faultProxy) serve(down net.Conn) {
	up, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", c.to.String())
	if err != nil {
		_ = down.Close()
		return
	}
	c.mu.Lock()
	c.open = append(c.open, down, up)
	c.mu.Unlock()
	go c.forward(down, up, true)
	go c.forward(up, down, false)
}

// forward copies bytes until the limit is reached, then closes both
// connections.
func (c *faultProxy) forward(from, to net.Conn, isUp bool) {
	defer func() {
		c.setLinger(from, to)
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		allowed, isSilent := c.allow(from, to, isUp, n)
		if isSilent {
			continue
		}
		if _, writeErr := to.Write(buffer[:allowed]); writeErr != nil || allowed < n || err != nil {
			return
		}
	}
}

// setLinger makes the ends of the connections resets if the proxy resets them.
func (c *faultProxy) setLinger(connections ...net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range connections {
		if tcp, isTCP := connection.(*net.TCPConn); isTCP && c.resets {
			_ = tcp.SetLinger(0)
		}
	}
}

func (c *faultProxy) allow(from, to net.Conn, isUp bool, n int) (allowed int, isSilent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent[from] || c.silent[to] {
		return 0, true
	}
	allowed = n
	if c.remaining >= 0 && isUp == c.cutUp {
		allowed = min(n, c.remaining)
		c.remaining -= allowed
	}
	side := 0
	if isUp {
		side = 1
	}
	c.forwarded[side] += allowed
	return allowed, false
}

// cutAfter cuts the connections after the given number of further bytes in one
// direction.
func (c *faultProxy) cutAfter(bytes int, isUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining, c.cutUp = bytes, isUp
}

// reset removes the limit and returns the numbers of bytes forwarded since the
// last reset, first those to the client, then those to the server.
func (c *faultProxy) reset() [2]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	forwarded := c.forwarded
	c.remaining, c.forwarded = -1, [2]int{}
	return forwarded
}

// silence makes every open connection stop forwarding bytes.
func (c *faultProxy) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		c.silent[conn] = true
	}
}
