package delivery

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// direction is a direction of a faultyLink. Upwards is from the client to the
// server.
type direction int

const (
	upwards direction = iota
	downwards
)

// faultyLink forwards connections to an address and can block the bytes of one
// or both directions without closing the connections, and limit their rate.
type faultyLink struct {
	address netip.AddrPort
	mu      sync.Mutex
	open    *sync.Cond
	cut     [2]bool
	// rates are the limits of the directions in B/s, 0 for none.
	rates [2]atomic.Int64
}

func startFaultyLink(t *testing.T, to netip.AddrPort) *faultyLink {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &faultyLink{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	l.open = sync.NewCond(&l.mu)
	t.Cleanup(func() { l.setCut(false, false) })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			var dialer net.Dialer
			server, err := dialer.DialContext(t.Context(), "tcp", to.String())
			if err != nil {
				_ = client.Close()
				continue
			}
			go l.forward(server, client, upwards)
			go l.forward(client, server, downwards)
		}
	}()
	return l
}

// forward copies bytes and blocks while its direction is cut.
func (l *faultyLink) forward(to, from net.Conn, d direction) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		rate := l.rates[d].Load()
		part := buffer
		if rate > 0 {
			part = buffer[:max(rate/20, 1)]
		}
		n, err := from.Read(part)
		if err != nil {
			return
		}
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		l.mu.Lock()
		for l.cut[d] {
			l.open.Wait()
		}
		l.mu.Unlock()
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *faultyLink) setCut(cutUp, cutDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = [2]bool{cutUp, cutDown}
	l.open.Broadcast()
}

// fastTiming returns a timing with a tenth of the default heartbeat interval,
// silence timeout, share lease, stale time and backoff. With the default backoff, the time
// of a reconnect would grow to 8 s with the time that the outage takes on this machine.
func fastTiming() Timing {
	d := DefaultTiming()
	return Timing{
		HeartbeatInterval: d.HeartbeatInterval / 10, SilenceTimeout: d.SilenceTimeout / 10, ShareLease: d.ShareLease / 10,
		StaleAfter: d.StaleAfter / 10, MaxBackoff: d.MaxBackoff / 10,
	}
}

// TestPartitionBetweenProxyAndSource cuts one or both directions of a
// connection. The proxy must be reported as silent, its share lease must end,
// and it must converge after the partition.
func TestPartitionBetweenProxyAndSource(t *testing.T) {
	for name, cut := range map[string][2]bool{"both ways": {true, true}, "upwards": {true, false}, "downwards": {false, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leader := startNodeWith(t, nodeOptions{id: "c1", timing: fastTiming()})
			leader.configure(t, sampleConfiguration(1, "orders"))
			faulty := startFaultyLink(t, leader.address)
			cutOff := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{faulty.address}, Timing: fastTiming()})
			other := startProxyWith(t, SubscriberOptions{ID: "p2", Sources: []netip.AddrPort{leader.address}, Timing: fastTiming()})
			checkConvergesTo(t, leader, 1, 2)
			faulty.setCut(cut[0], cut[1])
			cutAt := time.Now()
			leader.configure(t, sampleConfiguration(2, "orders"))
			waitFor(t, 5*time.Second, "the proxy is reported silent", func() bool {
				c := leader.convergence(t)
				return c.SilentCount == 1 && c.Silent[0].ID == "p1" && c.Live == 1 && c.Watermark == 2 && !c.IsInForce(2)
			})
			waitFor(t, 3*time.Second, "the share lease ends", func() bool { return time.Now().After(cutOff.ShareLeaseUntil()) })
			if lasted := cutOff.ShareLeaseUntil().Sub(cutAt); lasted > fastTiming().ShareLease+500*time.Millisecond {
				t.Fatalf("the share lease ended %v after the cut", lasted)
			}
			if time.Now().After(other.ShareLeaseUntil()) {
				t.Fatal("the other proxy lost its share lease")
			}
			faulty.setCut(false, false)
			checkConvergesTo(t, leader, 2, 2)
		})
	}
}

// relayFirstSeed is a seed for which a subscriber starts with its first source.
const relayFirstSeed = 1

// TestRelayPartitionedFromLeader checks that a proxy of a relay without contact
// with the leader switches to another source, and that the leader then reports
// only the relay as silent.
func TestRelayPartitionedFromLeader(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: fastTiming()})
	faulty := startFaultyLink(t, leader.address)
	relay := startNodeWith(t, nodeOptions{id: "r1", timing: fastTiming(), leaders: []netip.AddrPort{faulty.address}})
	leader.configure(t, sampleConfiguration(1, "orders"))
	p := startProxyWith(t, SubscriberOptions{
		ID: "p1", Sources: []netip.AddrPort{relay.address, leader.address}, Timing: fastTiming(),
		Rand: rand.New(rand.NewPCG(relayFirstSeed, 1)),
	})
	p.Announce(sampleTarget("p1", "orders", 1))
	checkConvergesTo(t, leader, 1, 1)
	faulty.setCut(true, true)
	leader.configure(t, sampleConfiguration(2, "orders"))
	took := waitFor(t, 20*time.Second, "the proxy receives the new version from another source", func() bool { return p.state().Configuration.Version == 2 })
	t.Logf("the proxy switched sources after %v", took)
	waitFor(t, 5*time.Second, "only the relay is reported silent, since proxies may connect to it", func() bool {
		c := leader.convergence(t)
		return c.Watermark == 2 && c.Live == 1 && c.SilentCount == 1 && c.Silent[0].ID == "r1"
	})
	leader.do(t, func(b *blackboard.Board) {
		if len(b.Targets) != 1 {
			t.Errorf("the leader has %d targets, want 1", len(b.Targets))
		}
	})
	faulty.setCut(false, false)
	waitFor(t, 5*time.Second, "the relay catches up", func() bool {
		var version uint64
		relay.do(t, func(b *blackboard.Board) { version = uint64(b.Configuration.Version) })
		return version == 2
	})
	checkConvergesTo(t, leader, 2, 1)
}

// TestNewProxyBehindPartitionedRelay checks that no version is reported as in
// force everywhere while a proxy unknown to the leader is connected to a relay
// that is partitioned from the leader.
func TestNewProxyBehindPartitionedRelay(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: fastTiming()})
	faulty := startFaultyLink(t, leader.address)
	relay := startNodeWith(t, nodeOptions{id: "r1", timing: fastTiming(), leaders: []netip.AddrPort{faulty.address}})
	leader.configure(t, sampleConfiguration(1, "orders"))
	startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{leader.address}, Timing: fastTiming()})
	checkConvergesTo(t, leader, 1, 1)
	waitFor(t, 5*time.Second, "the relay has version 1", func() bool {
		var version uint64
		relay.do(t, func(b *blackboard.Board) { version = uint64(b.Configuration.Version) })
		return version == 1
	})
	faulty.setCut(true, true)
	newProxy := startProxyWith(t, SubscriberOptions{ID: "p2", Sources: []netip.AddrPort{relay.address}, Timing: fastTiming()})
	waitFor(t, 5*time.Second, "the new proxy has version 1", func() bool { return newProxy.state().Configuration.Version == 1 })
	leader.configure(t, sampleConfiguration(2, "orders"))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c := leader.convergence(t); c.IsInForce(2) {
			t.Fatalf("version 2 is reported in force everywhere: %+v", c)
		}
	}
	faulty.setCut(false, false)
	checkConvergesTo(t, leader, 2, 2)
}
