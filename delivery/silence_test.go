package delivery

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// TestSourceIsLeftOnlyAfterItsAnswer guards against a proxy that leaves a source because its
// share lease has ended while the answer that extends it waits, unread or behind an update.
func TestSourceIsLeftOnlyAfterItsAnswer(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	s := NewSubscriber(SubscriberOptions{ID: "p1", Timing: SiteTiming(), Sources: []netip.AddrPort{address, netip.AddrPortFrom(address.Addr(), 7001)}})
	opened := time.Now()
	at := func(ms int) time.Time { return opened.Add(time.Duration(ms) * time.Millisecond) }
	check := func(ms int, want bool, what string) {
		t.Helper()
		if got := s.shouldSwitch(at(ms)); got != want {
			t.Errorf("%s, %d ms after the start of the session: leaves the source %t, want %t", what, ms, got, want)
		}
	}
	s.opened(opened)
	check(2_000, false, "nothing answered yet")
	s.heartbeatReply(at(10), wire.HeartbeatReply{LeaseMs: 1_000})
	check(2_000, false, "nothing answered since the lease ended")
	s.heartbeatReply(at(900), wire.HeartbeatReply{})
	check(2_000, false, "without a lease, but asked before its end")
	s.heartbeatReply(at(1_200), wire.HeartbeatReply{})
	check(2_000, true, "without a lease after its end")
	s.opened(at(2_000))
	check(4_000, false, "another session without an answer")
}
