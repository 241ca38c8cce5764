package instance

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/settings"
)

// TestStopEndsWithinGracePeriod guards against a process that is killed at the end of its
// grace period although it serves no call: http.Server.Shutdown waits up to 5 s for a
// connection on which no request has arrived, one server after the other.
func TestStopEndsWithinGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	s := settings.Settings{
		Instance: "proxy-0", Zone: "zone-0",
		Proxy:   settings.Proxy{Callers: freeAddress(t), Exit: freeAddress(t), Announce: freeAddress(t)},
		Sources: []netip.AddrPort{freeAddress(t)},
		Stop:    settings.Stop{Grace: grace},
	}
	process, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	for _, address := range []netip.AddrPort{s.Proxy.Callers, s.Proxy.Exit, s.Proxy.Announce} {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
	}
	// The servers have accepted the connections by then; one that they accept later
	// delays the stop no less.
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(grace):
		t.Errorf("the process still runs %s after the signal", time.Since(began))
		<-ended
	}
}
