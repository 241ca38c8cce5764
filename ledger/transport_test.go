package ledger

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// blackholeListener listens on loopback with a full backlog, so that the SYN of
// a new connection is lost, as on the way to a host without power.
type blackholeListener struct {
	address netip.AddrPort
	fd      int
	backlog []net.Conn
}

func newBlackholeListener(t *testing.T) *blackholeListener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	l := &blackholeListener{fd: fd}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	bound, isIPv4 := name.(*unix.SockaddrInet4)
	if !isIPv4 {
		t.Fatalf("bound to %v", name)
	}
	l.address = netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
	for range 16 {
		dialer := net.Dialer{Timeout: 50 * time.Millisecond}
		connection, err := dialer.DialContext(t.Context(), "tcp", l.address.String())
		if err != nil {
			return l
		}
		l.backlog = append(l.backlog, connection)
	}
	t.Fatal("the listener accepts connections beyond its backlog")
	return nil
}

// accept starts to accept connections and signals each received message.
func (l *blackholeListener) accept(t *testing.T) <-chan struct{} {
	t.Helper()
	for _, connection := range l.backlog {
		_ = connection.Close()
	}
	file := os.NewFile(uintptr(l.fd), "listener")
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan struct{}, 64)
	mux := receiverMux(received)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			wire.NewPeer(context.WithoutCancel(t.Context()), connection, mux)
		}
	}()
	return received
}

// receiverMux handles the messages of a link and signals each of them.
func receiverMux(received chan<- struct{}) *wire.Mux {
	mux := wire.NewMux()
	wire.Handle(mux, methodMessage, func(context.Context, *wire.Peer, wire.LedgerMessage) (struct{}, error) {
		received <- struct{}{}
		return struct{}{}, nil
	})
	wire.Handle(mux, methodPing, func(context.Context, *wire.Peer, struct{}) (struct{}, error) { return struct{}{}, nil })
	return mux
}

// sendPeriod is the time between two messages of the tests of reconnects.
const sendPeriod = 20 * time.Millisecond

// unreachableHost is the other end of a link. Until it returns it drops all packets, so
// that a dial that began before ends at its timeout.
type unreachableHost struct {
	hasReturned atomic.Bool
	received    chan struct{}
}

func (h *unreachableHost) dial(ctx context.Context, timeout time.Duration, _ netip.AddrPort, mux *wire.Mux) (*wire.Peer, error) {
	if !h.hasReturned.Load() {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(timeout):
			return nil, os.ErrDeadlineExceeded
		}
	}
	near, far := net.Pipe()
	wire.NewPeer(ctx, far, receiverMux(h.received))
	return wire.NewPeer(ctx, near, mux), nil
}

// TestTransportReconnectsSoonAfterHostReturns sends to a host that drops all
// packets for a while, as during a power loss. The link must be used again soon
// after the host returns, and not only after the backoff that grew in the
// meantime. The time is that of the test, so the bound does not depend on the load of
// the machine.
func TestTransportReconnectsSoonAfterHostReturns(t *testing.T) {
	t.Parallel()
	// The host returns at different times within a dial and within a backoff.
	for phase := range 40 {
		for _, outage := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) { checkReconnect(t, outage+time.Duration(phase)*7*time.Millisecond) })
		}
	}
}

func checkReconnect(t *testing.T, outage time.Duration) {
	timing := SiteTiming()
	host := &unreachableHost{received: make(chan struct{}, 64)}
	tr := newTransport(timing, make(chan string, 64), log.NewNopLogger())
	tr.dial = host.dial
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = tr.run(ctx) })
	to := Endpoint{ID: "b", Address: netip.MustParseAddrPort("192.0.2.1:80")}
	send := func() { tr.send(time.Now(), Message{To: to, Body: HeartbeatReply{}}) }
	for end := time.Now().Add(outage); time.Now().Before(end); {
		send()
		time.Sleep(min(sendPeriod, time.Until(end)))
	}
	host.hasReturned.Store(true)
	returnedAt := time.Now()
	reached := false
	for !reached && time.Since(returnedAt) < 5*time.Second {
		// A message from the other end resets the backoff of the link.
		tr.resetBackoff(to.Address)
		send()
		select {
		case <-host.received:
			reached = true
		case <-time.After(sendPeriod):
		}
	}
	took := time.Since(returnedAt)
	stop()
	running.Wait()
	// The dial in progress when the host returned ends at its timeout and drops the
	// queued messages. The next message ends the backoff and is sent.
	if limit := timing.ElectionMin/2 + 2*sendPeriod; !reached || took > limit {
		t.Errorf("unreachable for %s: reached again after %s, want at most %s", outage, took, limit)
	}
}

// TestDialOfLostPacketsEndsAtTimeout guards against a dial that waits for the kernel's
// retransmissions to a host without power, and against a link that does not dial again.
func TestDialOfLostPacketsEndsAtTimeout(t *testing.T) {
	t.Parallel()
	listener := newBlackholeListener(t)
	timing := SiteTiming()
	lost := make(chan string, 64)
	tr := newTransport(timing, lost, log.NewNopLogger())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = tr.run(ctx) }()
	send := func() {
		tr.send(time.Now(), Message{To: Endpoint{ID: "b", Address: listener.address}, Body: HeartbeatReply{}})
	}
	// The kernel gives up after more than a minute. Two dials end while the host does
	// not answer.
	for range 2 {
		sendUntil(t, send, lost)
	}
	sendUntil(t, send, listener.accept(t))
}

// pausedConn is a connection on which nothing is read while the mutex is held, as when the
// process does not run.
type pausedConn struct {
	*net.TCPConn
	reading sync.Mutex
}

// Read implements net.Conn.
func (c *pausedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.readFor(5*time.Millisecond, b)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

func (c *pausedConn) readFor(limit time.Duration, b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(b)
}

// TestUnreadReplyToPingKeepsLink guards against a link that is closed, with the messages
// queued for it, because this process has not read the reply to a ping in time.
func TestUnreadReplyToPingKeepsLink(t *testing.T) {
	t.Parallel()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan struct{}, 64)
	go func() { _ = wire.Serve(t.Context(), listener, receiverMux(received), nil) }()
	timing := SiteTiming()
	timing.ElectionMin = 2 * time.Second
	lost := make(chan string, 64)
	tr := newTransport(timing, lost, log.NewNopLogger())
	dialed := make(chan *pausedConn, 64)
	tr.dial = func(ctx context.Context, timeout time.Duration, address netip.AddrPort, mux *wire.Mux) (*wire.Peer, error) {
		dialer := net.Dialer{Timeout: timeout}
		conn, err := dialer.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return nil, err
		}
		paused := &pausedConn{TCPConn: conn.(*net.TCPConn)}
		dialed <- paused
		return wire.NewPeer(ctx, paused, mux), nil
	}
	go func() { _ = tr.run(t.Context()) }()
	tr.send(time.Now(), Message{To: Endpoint{ID: "b", Address: listener.Addr().(*net.TCPAddr).AddrPort()}, Body: HeartbeatReply{}})
	<-received
	conn := <-dialed
	conn.reading.Lock()
	time.Sleep(3 * timing.ElectionMin / 2)
	conn.reading.Unlock()
	select {
	case <-lost:
		t.Error("the link was closed")
	case <-time.After(2 * timing.Heartbeat):
	}
}

// sendUntil sends until the channel receives.
func sendUntil[T any](t *testing.T, send func(), received <-chan T) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		send()
		select {
		case <-received:
			return
		case <-time.After(sendPeriod):
		}
	}
	t.Fatal("nothing was received within 30 s")
}
