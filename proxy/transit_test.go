package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// heldLink forwards connections to a server and can hold back what is sent there, as the
// queue of a link or a process that does not read.
type heldLink struct {
	address netip.AddrPort
	// gate is held for writing while the link holds bytes back.
	gate sync.RWMutex
}

// newHeldLink returns a link to the server. It forwards the end of a connection in its
// order, or not at all.
func newHeldLink(t *testing.T, server netip.AddrPort, forwardsEnds bool) *heldLink {
	t.Helper()
	l := &heldLink{}
	l.address = serveTCP(t, func(down net.Conn) {
		up, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.String())
		if err != nil {
			return
		}
		go copyConn(down, up, func() {})
		copyConn(up, down, func() {
			l.gate.RLock()
			defer l.gate.RUnlock()
		})
		if forwardsEnds {
			l.gate.RLock()
			defer l.gate.RUnlock()
			_ = up.Close()
			return
		}
		<-t.Context().Done()
		_ = up.Close()
	})
	return l
}

// copyConn copies the bytes of a connection until it ends, and calls pass before each write.
func copyConn(to, from net.Conn, pass func()) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		pass()
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// TestCallThatIsReadLateIsNotRun guards against a target that runs a call after its caller's
// deadline, because the call lay in a queue on its way to the proxy beside the target, and
// the time that was left began anew there.
func TestCallThatIsReadLateIsNotRun(t *testing.T) {
	t.Parallel()
	for _, forwardsEnds := range []bool{true, false} {
		t.Run(fmt.Sprintf("forwards ends %v", forwardsEnds), func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			n := newSingleNode(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			link := newHeldLink(t, n.target.Exit, forwardsEnds)
			n.target.Exit = link.address
			n.target.Sequence++
			n.proxy.SetLocalTarget(n.target, n.appAddress)
			configuration := standardConfiguration(n.proxy.table.Load().Services["letters"].Versions...)
			configuration.Version = 2
			for i := range configuration.Routes {
				configuration.Routes[i].Timeout = 300 * time.Millisecond
			}
			m := &mesh{t: t, configuration: configuration, nodes: []*node{n}}
			m.update()
			for range 3 {
				if result := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", ""); result.status != http.StatusOK {
					t.Fatalf("before the delay: %d, %v", result.status, result.err)
				}
			}
			before := runs.Load()
			link.gate.Lock()
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				result := call(t.Context(), method, n.entry+map[string]string{http.MethodGet: "/profiles/1", http.MethodPost: "/pairings/1"}[method], "", "")
				if result.err == nil && result.status == http.StatusOK {
					t.Fatal("a call that was held back has a response")
				}
			}
			link.gate.Unlock()
			time.Sleep(300 * time.Millisecond)
			if late := runs.Load() - before; late != 0 {
				t.Errorf("the target ran %d calls after their deadlines", late)
			}
			if result := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", ""); result.status != http.StatusOK {
				t.Errorf("after the delay: %d, %v", result.status, result.err)
			}
		})
	}
}

// TestCallOfDepartedCallerIsNotRun guards against a call that is read from a socket whose
// other end has been closed meanwhile, and is sent on or run at once.
func TestCallOfDepartedCallerIsNotRun(t *testing.T) {
	t.Parallel()
	const connections = 100
	for _, side := range []string{"entry", "exit"} {
		t.Run(side, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			n := newSingleNode(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			server, header := n.proxy.EntryServer(), func() string { return "" }
			if side == "exit" {
				server = n.proxy.ExitServer()
				header = func() string {
					a := testAttempt(t, n, n.proxy.nextAttemptID())
					return headerCall + ": " + a.request.Header[headerCall][0] + "\r\n"
				}
			}
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			for range connections {
				connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				_, _ = fmt.Fprintf(connection, "GET /profiles/1 HTTP/1.1\r\nHost: x\r\n%s\r\n", header())
				_ = connection.Close()
			}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			time.Sleep(500 * time.Millisecond)
			if got := runs.Load(); got != 0 {
				t.Errorf("the target ran %d of %d calls whose callers had left", got, connections)
			}
		})
	}
}

// TestTransit checks the measured delay of calls whose senders have clocks of their own.
func TestTransit(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	for name, steps := range map[string][]struct {
		// after is the time since the start at which the call was sent, on its way the
		// time that it took, and ahead that by which the sender's clock is ahead.
		after, way, ahead, want time.Duration
	}{
		"first call":              {{0, time.Hour, 0, 0}},
		"delay":                   {{0, time.Millisecond, 0, 0}, {time.Second, 501 * time.Millisecond, 0, 500 * time.Millisecond}},
		"clock behind":            {{0, 0, -time.Hour, 0}, {time.Second, time.Second, -time.Hour, time.Second}},
		"clock ahead":             {{0, 0, time.Hour, 0}, {time.Second, time.Second, time.Hour, time.Second}},
		"first call was delayed":  {{0, 3 * time.Second, 0, 0}, {4 * time.Second, 0, 0, 0}, {5 * time.Second, time.Second, 0, time.Second}},
		"kept over a period":      {{0, 0, 0, 0}, {transitPeriod, time.Second, 0, time.Second}, {transitPeriod + time.Second, time.Second, 0, time.Second}},
		"forgotten after silence": {{0, 0, 0, 0}, {2 * transitPeriod, time.Second, 0, 0}},
		"a lasting delay":         {{0, 0, 0, 0}, {transitPeriod, time.Second, 0, time.Second}, {2 * transitPeriod, time.Second, 0, 0}},
	} {
		var m transitMeter
		m.init()
		for i, s := range steps {
			sent := start.Add(s.after)
			if got := m.transit(sent.Add(s.way), "a", sent.Add(s.ahead)); got != s.want {
				t.Errorf("%s: step %d took %s, want %s", name, i, got, s.want)
			}
		}
	}
}

// TestTransitIsBounded guards against memory that grows with each process that ever sent.
func TestTransitIsBounded(t *testing.T) {
	t.Parallel()
	var m transitMeter
	m.init()
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	for i := range 3 * maxTransitSenders {
		m.transit(now, fmt.Sprint(i), now)
		if len(m.senders) > maxTransitSenders {
			t.Fatalf("%d senders after %d", len(m.senders), i+1)
		}
	}
	for _, odd := range []string{"", "-1", "zzzzzzzzzzzz", "1 ", "x"} {
		if stamp, valid := parseStamp(odd); valid && odd != "x" {
			t.Errorf("%q is read as %s", odd, stamp)
		}
	}
}
