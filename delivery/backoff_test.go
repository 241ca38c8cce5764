package delivery

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

func TestFollowerBackoffIsShorter(t *testing.T) {
	upstream := NewUpstream(UpstreamOptions{})
	for range 50 {
		if wait := upstream.link.backoff.next(); wait > maxSourceBackoff {
			t.Fatalf("a follower waits %s before the next attempt, which is more than maxSourceBackoff", wait)
		}
	}
}

// TestReconnectTimeDoesNotGrowWithOutage guards against a proxy that returns later the longer
// its source was unreachable. The limits are the times within which a configuration must be
// in force.
func TestReconnectTimeDoesNotGrowWithOutage(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		timing Timing
		limit  time.Duration
	}{{DefaultTiming(), 13 * time.Second}, {SiteTiming(), 3 * time.Second}} {
		for _, outage := range []time.Duration{time.Second, 10 * time.Second, time.Minute, 20 * time.Minute} {
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) { checkReconnectTime(t, c.timing, seed, outage, c.limit) })
			}
		}
	}
}

func checkReconnectTime(t *testing.T, timing Timing, seed uint64, outage, limit time.Duration) {
	returnAt := time.Now().Add(outage)
	opened := make(chan struct{}, 1)
	mux := wire.NewMux()
	wire.Handle(mux, wire.MethodOpen, func(context.Context, *wire.Peer, wire.OpenRequest) (wire.OpenResponse, error) {
		opened <- struct{}{}
		return wire.OpenResponse{Source: "c1"}, nil
	})
	s := NewSubscriber(SubscriberOptions{
		ID: "p1", Sources: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:80")}, Timing: timing, Rand: rand.New(rand.NewPCG(seed, 1)),
	})
	// A dial that begins during the outage ends at its timeout.
	s.link.dial = func(ctx context.Context, timeout time.Duration, _ netip.AddrPort, client *wire.Mux) (*wire.Peer, error) {
		if time.Now().Before(returnAt) {
			return nil, cmp.Or(sleep(ctx, timeout), os.ErrDeadlineExceeded)
		}
		near, far := net.Pipe()
		wire.NewPeer(ctx, far, mux)
		return wire.NewPeer(ctx, near, client), nil
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	<-opened
	if took := time.Since(returnAt); took > limit {
		t.Errorf("seed %d: a session is opened %s after an outage of %s, want at most %s", seed, took, outage, limit)
	}
	stop()
	running.Wait()
}
