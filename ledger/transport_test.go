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

// blackholeListener listens on loopback with no room for connections, so that the
// first packet of a new one is lost, as on the way to a machine without power.
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
	d := &blackholeListener{fd: fd}
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
	d.address = netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
	for range 16 {
		dialer := net.Dialer{Timeout: 50 * time.Millisecond}
		connection, err := dialer.DialContext(t.Context(), "tcp", d.address.String())
		if err != nil {
			return d
		}
		d.backlog = append(d.backlog, connection)
	}
	t.Fatal("the listener keeps room for connections whatever its backlog")
	return nil
}

// accept lets connections in and counts the messages.
func (d *blackholeListener) accept(t *testing.T) <-chan struct{} {
	t.Helper()
	for _, connection := range d.backlog {
		_ = connection.Close()
	}
	file := os.NewFile(uintptr(d.fd), "listener")
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

// TestTransportReconnectsSoonAfterHostReturns sends to a machine that takes no
// packets for a while, as long as all are without power.
func TestTransportReconnectsSoonAfterHostReturns(t *testing.T) {
	t.Parallel()
	for _, away := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
		listener := newBlackholeListener(t)
		timing := SiteTiming()
		tr := newTransport(timing, make(chan string, 64))
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = tr.run(ctx) }()
		to := Endpoint{ID: "b", Address: listener.address}
		send := func() { tr.send(Message{To: to, Body: HeartbeatReply{}}) }
		for end := time.Now().Add(away); time.Now().Before(end); {
			send()
			time.Sleep(20 * time.Millisecond)
		}
		received := listener.accept(t)
		returned := time.Now()
		reached := false
		for !reached && time.Since(returned) < 5*time.Second {
			// The other end's own messages wake the link.
			tr.resetBackoff(listener.address)
			send()
			select {
			case <-received:
				reached = true
			case <-time.After(20 * time.Millisecond):
			}
		}
		stop()
		// The attempt under way when it returned, the next one, and a machine
		// with more processes than processors.
		if took, most := time.Since(returned), 2*timing.ElectionMin; !reached || took > most {
			t.Errorf("away for %s: reached again after %s, want %s at most", away, took, most)
		}
	}
}
