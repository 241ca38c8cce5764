package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// cutter passes TCP connections on and cuts them after a number of bytes. It
// can also go silent: connections stay open and pass nothing.
type cutter struct {
	address netip.AddrPort
	to      netip.AddrPort

	mu sync.Mutex
	// left is the number of bytes that may pass in the direction of cutUp,
	// negative for no bound.
	left   int
	cutUp  bool
	passed [2]int
	silent map[net.Conn]bool
	open   []net.Conn
}

func newCutter(t *testing.T, to netip.AddrPort) *cutter {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{
		address: netip.MustParseAddrPort(listener.Addr().String()), to: to, left: -1, silent: make(map[net.Conn]bool),
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

func (c *cutter) serve(down net.Conn) {
	up, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", c.to.String())
	if err != nil {
		_ = down.Close()
		return
	}
	c.mu.Lock()
	c.open = append(c.open, down, up)
	c.mu.Unlock()
	go c.pass(down, up, true)
	go c.pass(up, down, false)
}

// pass copies bytes until the bound is used up, then resets both connections.
func (c *cutter) pass(from, to net.Conn, isUp bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		allowed, isSilent := c.take(from, to, isUp, n)
		if isSilent {
			continue
		}
		if _, writeErr := to.Write(buffer[:allowed]); writeErr != nil || allowed < n || err != nil {
			return
		}
	}
}

func (c *cutter) take(from, to net.Conn, isUp bool, n int) (allowed int, isSilent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent[from] || c.silent[to] {
		return 0, true
	}
	allowed = n
	if c.left >= 0 && isUp == c.cutUp {
		allowed = min(n, c.left)
		c.left -= allowed
	}
	side := 0
	if isUp {
		side = 1
	}
	c.passed[side] += allowed
	return allowed, false
}

// cutAfter resets the connections after so many more bytes in one direction.
func (c *cutter) cutAfter(bytes int, isUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left, c.cutUp = bytes, isUp
}

// heal takes the bound back and returns the bytes that passed since the last
// time, down and up.
func (c *cutter) heal() [2]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := c.passed
	c.left, c.passed = -1, [2]int{}
	return passed
}

// silence makes every open connection pass nothing from now on.
func (c *cutter) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		c.silent[conn] = true
	}
}
