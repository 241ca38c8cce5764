package proxy

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// unreadConnection is a socket whose end is not noticed by reads, as on a machine that
// has not run the reading goroutine yet.
type unreadConnection struct {
	*net.TCPConn
	closed chan struct{}
}

func (c *unreadConnection) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

// TestClosedConnectionTakesNoCall guards against a call that counts as sent although the
// other end had closed the connection, in order or by a reset, before its first byte.
func TestClosedConnectionTakesNoCall(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		near, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		tcp, _ := near.(*net.TCPConn)
		c := newSealedConn(&unreadConnection{TCPConn: tcp, closed: make(chan struct{})})
		c.unseal(true)
		if c.isClosedByPeer() {
			t.Errorf("%s: counts as closed while it is open", name)
		}
		farTCP, _ := far.(*net.TCPConn)
		if err := farTCP.SetLinger(linger); err != nil {
			t.Fatal(err)
		}
		_ = far.Close()
		waitFor(t, c.isClosedByPeer)
		if _, err := c.Write([]byte("call")); !errors.Is(err, errClosedByPeer) {
			t.Errorf("%s: the call was written, error %v", name, err)
		}
		if !c.seal() {
			t.Errorf("%s: the call counts as sent", name)
		}
		_, _ = near.Close(), listener.Close()
	}
}

// endedTarget is a target process that has just ended: connections to it are reset, once
// accepted or after the first bytes of a request, or refused.
func endedTarget(t *testing.T, resetAfter time.Duration) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			if tcp, isTCP := c.(*net.TCPConn); isTCP {
				_ = tcp.SetLinger(0)
			}
			time.AfterFunc(resetAfter, func() { _ = c.Close() })
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), &accepted
}

// TestRefusalAfterEndedTarget sends calls that may be repeated to a target whose port
// refuses, then to one whose proxy refuses them. They are known not to have run. Where
// bytes were handed to the target before it reset the connection, that is not known.
func TestRefusalAfterEndedTarget(t *testing.T) {
	reset, _ := endedTarget(t, 50*time.Millisecond)
	for _, c := range []struct {
		name    string
		address netip.AddrPort
		want    string
	}{
		{"refused", netip.MustParseAddrPort("127.0.0.1:1"), string(route.OutcomeNotRun)},
		{"reset after the request", reset, string(route.OutcomeUnknown)},
	} {
		m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
		entry := m.addAt("a", "v1", "north", 10, c.address)
		draining := m.add("b", "v1", "south", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			t.Error("the draining target ran a call")
		}))
		m.update()
		state := draining.target
		state.State, state.Sequence = hornbeamwell.TargetDraining, state.Sequence+1
		draining.proxy.SetLocalTarget(state, draining.appAddress)
		got := call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
		if got.header.Get(headerOutcome) != c.want {
			t.Errorf("%s: status %d, outcome %q, reason %q, want outcome %q", c.name, got.status, got.header.Get(headerOutcome), got.header.Get(headerReason), c.want)
		}
	}
}

// endedSocket shows the socket of another connection, whose other end has closed it.
type endedSocket struct {
	syscall.RawConn
	looks atomic.Int32
}

func (s *endedSocket) Control(look func(fd uintptr)) error {
	s.looks.Add(1)
	return s.RawConn.Control(look)
}

// TestUnsentBodyIsSentAgain guards against a call with a body that is refused because the
// exit proxy closed the connection after it was taken from the pool.
func TestUnsentBodyIsSentAgain(t *testing.T) {
	var runs atomic.Int32
	n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusNoContent)
	})
	a := testAttempt(t, n, n.proxy.nextAttemptID())
	pool := a.upstream.peer.pool
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ended, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ended.Close() }()
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	closed := newSealedConn(ended)
	waitFor(t, closed.isClosedByPeer)
	connection, err := pool.open(t.Context(), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	socket := &endedSocket{RawConn: closed.socket}
	connection.raw.socket = socket
	connection.putBack()
	body := &requestBody{buffered: []byte("x"), length: 1}
	a.request.Body, _ = body.next()
	a.request.ContentLength, a.request.GetBody = 1, body.again
	response, err := a.upstream.peer.roundTrip(t.Context(), time.Now, a.request, abandonPolicy{runsOnce: true})
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent || runs.Load() != 1 || socket.looks.Load() != 1 || connection.raw.reads.Load() != 0 {
		t.Errorf("status %d after %d runs, %d looks and %d reads on the closed connection", response.StatusCode, runs.Load(), socket.looks.Load(), connection.raw.reads.Load())
	}
}
