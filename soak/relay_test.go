package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

// echo is a server that returns what it gets, behind a relay.
func echo(t *testing.T) (*Relay, net.Conn) {
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
	relay, err := NewRelay(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay, dial(t, relay)
}

func dial(t *testing.T, relay *Relay) net.Conn {
	t.Helper()
	var dialer net.Dialer
	connection, err := dialer.DialContext(context.WithoutCancel(t.Context()), "tcp", relay.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// returns reports whether what is sent comes back within the time.
func returns(t *testing.T, connection net.Conn, within time.Duration) (bool, error) {
	t.Helper()
	if _, err := connection.Write([]byte("x")); err != nil {
		return false, err
	}
	return comesBack(connection, within)
}

func comesBack(connection net.Conn, within time.Duration) (bool, error) {
	_ = connection.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(connection, make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}

func TestRelayHoldsBackAndPassesOnAfterwards(t *testing.T) {
	t.Parallel()
	for _, state := range []LinkState{{SilentIn: true}, {SilentOut: true}, {SilentIn: true, SilentOut: true}} {
		relay, connection := echo(t)
		if ok, err := returns(t, connection, 5*time.Second); !ok {
			t.Fatalf("a sound link passes nothing on: %v", err)
		}
		relay.Set(state)
		if ok, err := returns(t, connection, 200*time.Millisecond); ok || err != nil {
			t.Fatalf("%+v passes on: %v", state, err)
		}
		relay.Set(LinkState{})
		if ok, err := comesBack(connection, 5*time.Second); !ok {
			t.Errorf("after %+v what was held back did not come: %v", state, err)
		}
	}
}

func TestRelayDelays(t *testing.T) {
	t.Parallel()
	relay, connection := echo(t)
	relay.Set(LinkState{Delay: 100 * time.Millisecond})
	sent := time.Now()
	if ok, err := returns(t, connection, 5*time.Second); !ok {
		t.Fatal(err)
	}
	if took := time.Since(sent); took < 200*time.Millisecond {
		t.Errorf("there and back took %s, with 100 ms each way", took)
	}
}

func TestRelayResetsAndRefuses(t *testing.T) {
	t.Parallel()
	relay, connection := echo(t)
	if ok, err := returns(t, connection, 5*time.Second); !ok {
		t.Fatal(err)
	}
	relay.Reset()
	if ok, err := returns(t, connection, 5*time.Second); ok || err == nil {
		t.Error("a connection outlived its reset")
	}
	if ok, err := returns(t, dial(t, relay), 5*time.Second); !ok {
		t.Errorf("no new connection after a reset: %v", err)
	}
	relay.Set(LinkState{Refuses: true})
	if ok, err := returns(t, dial(t, relay), 5*time.Second); ok || err == nil {
		t.Error("a refused connection passes on")
	}
}
