package ledger

import (
	"context"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

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
	mux := wire.NewMux()
	wire.Handle(mux, methodMessage, func(context.Context, *wire.Peer, wire.LedgerMessage) (struct{}, error) {
		received <- struct{}{}
		return struct{}{}, nil
	})
	wire.Handle(mux, methodPing, func(context.Context, *wire.Peer, struct{}) (struct{}, error) { return struct{}{}, nil })
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

// TestTransportReconnectsSoonAfterHostReturns sends to a host that drops all
// packets for a while, as during a power loss. The link must be used again soon
// after the host returns, and not only after the backoff that grew in the
// meantime.
func TestTransportReconnectsSoonAfterHostReturns(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
		listener := newBlackholeListener(t)
		timing := SiteTiming()
		tr := newTransport(timing, make(chan string, 64))
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = tr.run(ctx) }()
		to := Endpoint{ID: "b", Address: listener.address}
		send := func() { tr.send(Message{To: to, Body: HeartbeatReply{}}) }
		for end := time.Now().Add(outage); time.Now().Before(end); {
			send()
			time.Sleep(20 * time.Millisecond)
		}
		received := listener.accept(t)
		returnedAt := time.Now()
		reached := false
		for !reached && time.Since(returnedAt) < 5*time.Second {
			// A message from the other end resets the backoff of the link.
			tr.resetBackoff(listener.address)
			send()
			select {
			case <-received:
				reached = true
			case <-time.After(20 * time.Millisecond):
			}
		}
		stop()
		// The limit allows for the attempt in progress when the host returned,
		// for the next one, and for a machine with more processes than
		// processors.
		if took, limit := time.Since(returnedAt), 2*timing.ElectionMin; !reached || took > limit {
			t.Errorf("unreachable for %s: reached again after %s, want at most %s", outage, took, limit)
		}
	}
}
