package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"
)

// startEcho starts an echo server behind a forwarder and connects to it.
func startEcho(t *testing.T) (*Forwarder, net.Conn) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	forwarder, err := NewForwarder(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(forwarder.Close)
	return forwarder, dial(t, forwarder)
}

func dial(t *testing.T, forwarder *Forwarder) net.Conn {
	t.Helper()
	var dialer net.Dialer
	connection, err := dialer.DialContext(context.WithoutCancel(t.Context()), "tcp", forwarder.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// roundTrips sends a byte and reports whether it returns within the time. A
// timeout is no error.
func roundTrips(t *testing.T, connection net.Conn, within time.Duration) (bool, error) {
	t.Helper()
	if _, err := connection.Write([]byte("x")); err != nil {
		return false, err
	}
	return readsBack(connection, within)
}

func readsBack(connection net.Conn, within time.Duration) (bool, error) {
	_ = connection.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(connection, make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}

func TestForwarderDeliversHeldDataAfterwards(t *testing.T) {
	t.Parallel()
	for _, faults := range []LinkFaults{{SilentIn: true}, {SilentOut: true}, {SilentIn: true, SilentOut: true}} {
		forwarder, connection := startEcho(t)
		if ok, err := roundTrips(t, connection, 5*time.Second); !ok {
			t.Fatalf("a link without faults delivers nothing: %v", err)
		}
		forwarder.SetFaults(faults)
		if ok, err := roundTrips(t, connection, 200*time.Millisecond); ok || err != nil {
			t.Fatalf("a link with %+v delivers data or has failed: %v", faults, err)
		}
		forwarder.SetFaults(LinkFaults{})
		if ok, err := readsBack(connection, 5*time.Second); !ok {
			t.Errorf("after %+v the held data was not delivered: %v", faults, err)
		}
	}
}

func TestForwarderDelays(t *testing.T) {
	t.Parallel()
	forwarder, connection := startEcho(t)
	forwarder.SetFaults(LinkFaults{Delay: 100 * time.Millisecond})
	sent := time.Now()
	if ok, err := roundTrips(t, connection, 5*time.Second); !ok {
		t.Fatalf("a delayed link delivers nothing: %v", err)
	}
	if took := time.Since(sent); took < 200*time.Millisecond {
		t.Errorf("a round trip took %s, with a delay of 100 ms each way", took)
	}
}

func TestForwarderResetsAndRefuses(t *testing.T) {
	t.Parallel()
	forwarder, connection := startEcho(t)
	if ok, err := roundTrips(t, connection, 5*time.Second); !ok {
		t.Fatalf("a link without faults delivers nothing: %v", err)
	}
	forwarder.Reset()
	if ok, err := roundTrips(t, connection, 5*time.Second); ok || err == nil {
		t.Error("an open connection was not reset")
	}
	if ok, err := roundTrips(t, dial(t, forwarder), 5*time.Second); !ok {
		t.Errorf("a new connection after a reset delivers nothing: %v", err)
	}
	forwarder.SetFaults(LinkFaults{Refuses: true})
	var dialer net.Dialer
	refused, err := dialer.DialContext(t.Context(), "tcp", forwarder.Address().String())
	if err != nil {
		// The reset may arrive before DialContext has returned.
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a refused connection failed with %v, want a reset", err)
		}
		return
	}
	defer func() { _ = refused.Close() }()
	if ok, err := roundTrips(t, refused, 5*time.Second); ok || err == nil {
		t.Error("a refused connection was not reset")
	}
}
