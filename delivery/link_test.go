package delivery

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// TestLinkSwitchesAfterFailure checks that the attempt after a failure goes to
// another source, even if the list of sources changes in between.
func TestLinkSwitchesAfterFailure(t *testing.T) {
	t.Parallel()
	addresses := make([]netip.AddrPort, 0, 6)
	for port := range uint16(6) {
		addresses = append(addresses, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 7000+port))
	}
	for seed := range uint64(100) {
		known := addresses[:3]
		sources := func() []netip.AddrPort { return known }
		random := rand.New(rand.NewPCG(seed, 1))
		l := newLink(nil, sources, SiteTiming(), time.Now, random, log.NewNopLogger())
		last := netip.AddrPort{}
		for range 20 {
			chosen, err := l.chooseSource()
			if err != nil {
				t.Fatal(err)
			}
			if chosen == last {
				t.Fatalf("seed %d: %s was chosen again after its failure", seed, chosen)
			}
			last = chosen
			l.markFailed()
			known = addresses[:2+random.IntN(5)]
		}
	}
}

// TestLinkTriesFailedSourcesLast checks that two of five sources that failed
// are tried after all others.
func TestLinkTriesFailedSourcesLast(t *testing.T) {
	t.Parallel()
	sources := make([]netip.AddrPort, 0, 5)
	for port := range uint16(5) {
		sources = append(sources, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 7000+port))
	}
	now := time.Unix(1000, 0)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := newLink(nil, func() []netip.AddrPort { return sources }, SiteTiming(), func() time.Time { return now }, random, log.NewNopLogger())
		for _, failed := range sources[:2] {
			l.current = failed
			l.markFailed()
			now = now.Add(time.Millisecond)
		}
		for range 3 {
			now = now.Add(100 * time.Millisecond)
			chosen, err := l.chooseSource()
			if err != nil || chosen == sources[0] || chosen == sources[1] {
				t.Fatalf("seed %d: chooseSource returned %s, error %v; want a source that has not failed", seed, chosen, err)
			}
			l.markFailed()
		}
		if chosen, err := l.chooseSource(); err != nil || chosen != sources[0] {
			t.Fatalf("seed %d: after all sources failed, chooseSource returned %s, error %v; want the one that failed first", seed, chosen, err)
		}
	}
}

// TestTimesOfASourceAreBounded checks replies with numbers that are too large. A lease that
// never ends would let a proxy that is cut off use the share of a canary for ever, and a
// wait that overflows would make it ask without a pause.
func TestTimesOfASourceAreBounded(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	now := start.Add(10 * time.Second)
	for _, odd := range []int64{math.MaxInt64, math.MinInt64, 9_223_372_036_854, 9e15, -1} {
		for _, reply := range []wire.HeartbeatReply{{Stamp: odd, LeaseMs: 1000}, {Stamp: 9_000, LeaseMs: odd}, {Stamp: odd, LeaseMs: odd}} {
			subscriber := NewSubscriber(SubscriberOptions{Now: func() time.Time { return start }})
			subscriber.link.receiveReply(now, reply)
			if end := subscriber.ShareLeaseUntil(); end.After(now.Add(maxLease)) {
				t.Errorf("the lease of the reply %+v ends %s after it", reply, end.Sub(now))
			}
		}
	}
}

// TestWaitForASourceIsBounded checks that a source with an odd time to wait is asked again
// after a while, neither at once nor never.
func TestWaitForASourceIsBounded(t *testing.T) {
	for _, odd := range []int64{math.MaxInt64, 9_223_372_036_854, 9e15} {
		mux := wire.NewMux()
		wire.Handle(mux, wire.MethodOpen, func(context.Context, *wire.Peer, wire.OpenRequest) (wire.OpenResponse, error) {
			return wire.OpenResponse{RetryAfterMs: odd}, nil
		})
		listener := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		go func() { _ = wire.Serve(t.Context(), listener, mux, nil) }()
		address := netip.MustParseAddrPort(listener.Addr().String())
		subscriber := NewSubscriber(SubscriberOptions{ID: "p1"})
		wait, err := subscriber.link.runSession(t.Context(), address)
		if err != nil || wait <= 0 || wait > time.Minute {
			t.Errorf("after %d ms to wait it waits %s, %v", odd, wait, err)
		}
	}
}

// TestFailuresOfReplacedSourcesAreForgotten guards against the address of each control instance
// that was replaced, which a link kept for as long as it ran.
func TestFailuresOfReplacedSourcesAreForgotten(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	l := newLink(nil, func() []netip.AddrPort { return nil }, SiteTiming(), func() time.Time { return now }, random, log.NewNopLogger())
	for i := range 10_000 {
		l.current = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600)
		l.markFailed()
		now = now.Add(time.Second)
	}
	if most := int(failurePenalty / time.Second); len(l.failedAt) > most {
		t.Errorf("%d failures are kept, want at most %d", len(l.failedAt), most)
	}
}
