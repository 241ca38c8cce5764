package delivery

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// boundedPeer returns the accepted end of a connection with a budget of 4 MiB.
func boundedPeer(t *testing.T) *wire.Peer {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	table := connection.NewTable(connection.Limits{MemoryBytes: 4 << 20, Connections: 10}, log.NewNopLogger())
	listener := table.Listen(inner, connection.Options{Name: t.Name(), Protocol: connection.Messages})
	dialed, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return wire.NewPeer(t.Context(), accepted, wire.NewMux())
}

// TestSubscribersThatTakeTooMuchAreRefused guards against texts of a subscriber that outlive its
// session, and against interests that are kept for it without a bound.
func TestSubscribersThatTakeTooMuchAreRefused(t *testing.T) {
	t.Parallel()
	peer := boundedPeer(t)
	long := strings.Repeat("x", maxIdentityBytes+1)
	for name, request := range map[string]wire.OpenRequest{
		"id": {ID: long}, "zone": {ID: "p", Zone: long}, "address": {ID: "p", Address: long},
	} {
		if err := checkOpen(peer, request); !errors.Is(err, errIdentity) {
			t.Errorf("a long %s: %v", name, err)
		}
	}
	interests := make([]string, 100_000)
	if err := checkOpen(peer, wire.OpenRequest{ID: "p", Interests: interests}); !errors.Is(err, connection.ErrTooLarge) {
		t.Errorf("100,000 interests: %v", err)
	}
	if err := checkOpen(peer, wire.OpenRequest{ID: long[1:], Zone: long[1:], Interests: interests[:2000]}); err != nil {
		t.Errorf("2,000 interests: %v", err)
	}
}

// TestViewsOfManyInterestsAreNotCached guards against views that stay in a snapshot for
// interests that never repeat.
func TestViewsOfManyInterestsAreNotCached(t *testing.T) {
	t.Parallel()
	s, err := newConfigSnapshot(nil, &hornbeamwell.Configuration{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", 1<<20)
	for i := range 20 {
		if s.closureOf([]string{fmt.Sprint(i), long}) == nil {
			t.Fatal("there is no view")
		}
	}
	if len(s.closures) > maxViewKeyBytes>>20 || s.closureBytes > maxViewKeyBytes {
		t.Errorf("%d views with %d bytes of interests are cached", len(s.closures), s.closureBytes)
	}
	s.supersede()
	if s.closureBytes != 0 {
		t.Errorf("%d bytes are left", s.closureBytes)
	}
}
