package delivery

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// direction is a way through a wall.
type direction int

const (
	upwards direction = iota
	downwards
)

// wall forwards connections to an address and can swallow the bytes of one or
// both directions without closing anything.
type wall struct {
	address netip.AddrPort
	mu      sync.Mutex
	open    *sync.Cond
	cut     [2]bool
}

func startWall(t *testing.T, to netip.AddrPort) *wall {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	w := &wall{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	w.open = sync.NewCond(&w.mu)
	t.Cleanup(func() { w.set(false, false) })
	go func() {
		for {
			below, err := listener.Accept()
			if err != nil {
				return
			}
			var dialer net.Dialer
			above, err := dialer.DialContext(t.Context(), "tcp", to.String())
			if err != nil {
				_ = below.Close()
				continue
			}
			go w.pass(above, below, upwards)
			go w.pass(below, above, downwards)
		}
	}()
	return w
}

// pass copies bytes and holds back those of a direction that is cut.
func (w *wall) pass(to, from net.Conn, d direction) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		w.mu.Lock()
		for w.cut[d] {
			w.open.Wait()
		}
		w.mu.Unlock()
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (w *wall) set(cutUp, cutDown bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = [2]bool{cutUp, cutDown}
	w.open.Broadcast()
}

// quickTiming is a tenth of the default.
func quickTiming() Timing {
	d := DefaultTiming()
	return Timing{Heartbeat: d.Heartbeat / 10, Silence: d.Silence / 10, ShareLease: d.ShareLease / 10, Stale: d.Stale / 10}
}

// TestSilentCutBetweenProxyAndSource cuts one or both directions: the proxy is
// named silent, its share lease ends, and it converges after the cut.
func TestSilentCutBetweenProxyAndSource(t *testing.T) {
	for name, cut := range map[string][2]bool{"both ways": {true, true}, "upwards": {true, false}, "downwards": {false, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leader := startNodeWith(t, nodeOptions{id: "c1", timing: quickTiming()})
			leader.configure(t, sampleConfiguration(1, "orders"))
			between := startWall(t, leader.address)
			cutOff := startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{between.address}, Timing: quickTiming()})
			beside := startProxyWith(t, SubscriberOptions{ID: "p2", Sources: []netip.AddrPort{leader.address}, Timing: quickTiming()})
			checkConvergesTo(t, leader, 1, 2)
			between.set(cut[0], cut[1])
			cutAt := time.Now()
			leader.configure(t, sampleConfiguration(2, "orders"))
			waitFor(t, 5*time.Second, "the proxy is named silent", func() bool {
				c := leader.convergence(t)
				return c.SilentCount == 1 && c.Silent[0].ID == "p1" && c.Live == 1 && c.Watermark == 2 && !c.IsInForce(2)
			})
			waitFor(t, 3*time.Second, "the share lease ends", func() bool { return time.Now().After(cutOff.ShareLeaseUntil()) })
			if held := time.Since(cutAt); held > quickTiming().ShareLease+500*time.Millisecond {
				t.Fatalf("the share lease ended %v after the cut", held)
			}
			if time.Now().After(beside.ShareLeaseUntil()) {
				t.Fatal("the other proxy lost its share lease")
			}
			between.set(false, false)
			checkConvergesTo(t, leader, 2, 2)
		})
	}
}

// relayFirst is a seed with which a subscriber begins with its first source.
const relayFirst = 1

// TestRelayCutFromTheLeader checks that proxies below a relay without contact
// with the leader lose their share lease and move to another source.
func TestRelayCutFromTheLeader(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: quickTiming()})
	between := startWall(t, leader.address)
	relay := startNodeWith(t, nodeOptions{id: "r1", timing: quickTiming(), leaders: []netip.AddrPort{between.address}})
	leader.configure(t, sampleConfiguration(1, "orders"))
	below := startProxyWith(t, SubscriberOptions{
		ID: "p1", Sources: []netip.AddrPort{relay.address, leader.address}, Timing: quickTiming(),
		Rand: rand.New(rand.NewPCG(relayFirst, 1)),
	})
	below.Announce(sampleTarget("p1", "orders", 1))
	checkConvergesTo(t, leader, 1, 1)
	between.set(true, true)
	leader.configure(t, sampleConfiguration(2, "orders"))
	took := waitFor(t, 20*time.Second, "the proxy gets the new version elsewhere", func() bool { return below.state().Configuration.Version == 2 })
	t.Logf("moved after %v", took)
	waitFor(t, 5*time.Second, "the relay alone is named, since proxies may come to it", func() bool {
		c := leader.convergence(t)
		return c.Watermark == 2 && c.Live == 1 && c.SilentCount == 1 && c.Silent[0].ID == "r1"
	})
	leader.do(t, func(b *blackboard.Board) {
		if len(b.Targets) != 1 {
			t.Errorf("the leader has %d targets, want 1", len(b.Targets))
		}
	})
	between.set(false, false)
	waitFor(t, 5*time.Second, "the relay catches up", func() bool {
		var version uint64
		relay.do(t, func(b *blackboard.Board) { version = uint64(b.Configuration.Version) })
		return version == 2
	})
	checkConvergesTo(t, leader, 2, 1)
}

// TestNewProxyBehindACutRelay checks that no version is said to be in force
// everywhere while a proxy that nobody at the leader knows may have come to a
// relay that is cut off, or to one that has not reported yet.
func TestNewProxyBehindACutRelay(t *testing.T) {
	t.Parallel()
	leader := startNodeWith(t, nodeOptions{id: "c1", timing: quickTiming()})
	between := startWall(t, leader.address)
	relay := startNodeWith(t, nodeOptions{id: "r1", timing: quickTiming(), leaders: []netip.AddrPort{between.address}})
	leader.configure(t, sampleConfiguration(1, "orders"))
	startProxyWith(t, SubscriberOptions{ID: "p1", Sources: []netip.AddrPort{leader.address}, Timing: quickTiming()})
	checkConvergesTo(t, leader, 1, 1)
	waitFor(t, 5*time.Second, "the relay has version 1", func() bool {
		var version uint64
		relay.do(t, func(b *blackboard.Board) { version = uint64(b.Configuration.Version) })
		return version == 1
	})
	between.set(true, true)
	newcomer := startProxyWith(t, SubscriberOptions{ID: "p2", Sources: []netip.AddrPort{relay.address}, Timing: quickTiming()})
	waitFor(t, 5*time.Second, "the newcomer has version 1", func() bool { return newcomer.state().Configuration.Version == 1 })
	leader.configure(t, sampleConfiguration(2, "orders"))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c := leader.convergence(t); c.IsInForce(2) {
			t.Fatalf("version 2 is said to be in force everywhere: %+v", c)
		}
	}
	between.set(false, false)
	checkConvergesTo(t, leader, 2, 2)
}
