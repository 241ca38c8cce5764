package delivery

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// TestLinkPrefersLocalSources checks the choice of a source in a fleet over several
// zones: a local one, others for a while after it failed, and then the local one again.
func TestLinkPrefersLocalSources(t *testing.T) {
	t.Parallel()
	sources := make([]netip.AddrPort, 0, 5)
	for port := range uint16(5) {
		sources = append(sources, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 7000+port))
	}
	local := sources[3]
	for seed := range uint64(50) {
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(seed, 1))
		l := newLink(nil, func() []netip.AddrPort { return sources }, SiteTiming(), func() time.Time { return now }, random, log.NewNopLogger())
		known := []netip.AddrPort(nil)
		l.local = func() []netip.AddrPort { return known }
		l.current = sources[0]
		if l.prefersLocal(now) {
			t.Fatal("prefers a local source before one is known")
		}
		known = []netip.AddrPort{local}
		if !l.prefersLocal(now) {
			t.Fatal("keeps a session with another zone")
		}
		choose := func() netip.AddrPort {
			chosen, err := l.chooseSource()
			if err != nil {
				t.Fatal(err)
			}
			return chosen
		}
		if chosen := choose(); chosen != local || l.prefersLocal(now) {
			t.Fatalf("seed %d: chose %s, want the local source %s", seed, chosen, local)
		}
		l.markFailed()
		if chosen := choose(); chosen == local || l.prefersLocal(now) {
			t.Fatalf("seed %d: chose %s right after the local source failed", seed, chosen)
		}
		now = now.Add(localPenalty - time.Millisecond)
		if l.prefersLocal(now) {
			t.Fatalf("seed %d: returns to the local source too soon", seed)
		}
		now = now.Add(localPenalty/2 + time.Millisecond)
		if !l.prefersLocal(now) || choose() != local {
			t.Fatalf("seed %d: does not return to the local source", seed)
		}
	}
}

// TestProxiesFollowSourceInTheirZone starts proxies of two zones that know one source
// each, of either zone. All must end up at the source of their own zone, with targets
// and configuration, and leave it when it is lost.
func TestProxiesFollowSourceInTheirZone(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var all []SourceAddress
	sources := func() []SourceAddress {
		mu.Lock()
		defer mu.Unlock()
		return all
	}
	leader := startNodeWith(t, nodeOptions{id: "control-a", timing: SiteTiming(), sources: sources})
	follower := startNodeWith(t, nodeOptions{id: "control-b", timing: SiteTiming(), sources: sources, leaders: []netip.AddrPort{leader.address}})
	mu.Lock()
	all = []SourceAddress{{Address: leader.address, Zone: "a"}, {Address: follower.address, Zone: "b"}}
	mu.Unlock()
	leader.configure(t, sampleConfiguration(1, "orders"))
	// A proxy leaves a source that is not in contact with the leader, and then avoids
	// it for longer than this test waits.
	waitFor(t, 5*time.Second, "the follower is in contact with the leader", func() bool {
		isInContact := false
		follower.do(t, func(*blackboard.Board) { isInContact = follower.source.lease.remaining(time.Now()) > 0 })
		return isInContact
	})
	var lines lockedLines
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the proxies:\n%s", lines.text())
		}
	})
	proxies := map[string]*proxy{}
	for i, id := range []string{"a-1", "b-1", "a-2", "b-2", "a-3", "b-3"} {
		known := leader.address
		if i >= 3 {
			known = follower.address
		}
		proxies[id] = startProxyWith(t, SubscriberOptions{ID: id, Zone: id[:1], Sources: []netip.AddrPort{known}, Timing: SiteTiming(), Logger: log.With(log.NewLogfmtLogger(&lines), "at", log.DefaultTimestampUTC, "proxy", id)})
	}
	follows := func(id string, n *node) bool {
		_, found := n.sessionsByID(t)[id]
		return found
	}
	for id, p := range proxies {
		nearest := map[byte]*node{'a': leader, 'b': follower}[id[0]]
		waitFor(t, 5*time.Second, id+" follows the source of its zone", func() bool { return follows(id, nearest) })
		waitFor(t, 5*time.Second, id+" has the configuration", func() bool { return p.state().Configuration.Version == 1 })
	}
	follower.stop()
	for _, id := range []string{"b-1", "b-2", "b-3"} {
		waitFor(t, 5*time.Second, id+" follows another source", func() bool { return follows(id, leader) })
	}
}

// lockedLines collects the lines of several loggers.
type lockedLines struct {
	mu    sync.Mutex
	lines strings.Builder
}

// Write implements io.Writer.
func (l *lockedLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

func (l *lockedLines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// sessionsByID returns the ids of the proxies with a session.
func (n *node) sessionsByID(t *testing.T) map[string]bool {
	t.Helper()
	ids := map[string]bool{}
	err := n.loop.Do(t.Context(), func(time.Time, *blackboard.Board) {
		for key := range n.source.sessions {
			if key.isProxy {
				ids[key.id] = true
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return ids
}

// TestMoveToLocalSourceKeepsInForce guards against a configuration that is reported as
// not in force everywhere while its proxies move to the sources of their zones, in each
// direction between the leader and a follower, and against proxies counted twice.
func TestMoveToLocalSourceKeepsInForce(t *testing.T) {
	t.Parallel()
	var all atomic.Pointer[[]SourceAddress]
	all.Store(new([]SourceAddress))
	sources := func() []SourceAddress { return *all.Load() }
	leader := startNodeWith(t, nodeOptions{id: "control-a", sources: sources})
	follower := startNodeWith(t, nodeOptions{id: "control-b", sources: sources, leaders: []netip.AddrPort{leader.address}})
	leader.configure(t, sampleConfiguration(1, "orders"))
	for i, id := range []string{"a-1", "b-1", "a-2", "b-2"} {
		startProxyWith(t, SubscriberOptions{ID: id, Zone: id[:1], Sources: []netip.AddrPort{[]netip.AddrPort{leader.address, follower.address}[i/2]}})
	}
	isInForce := func() bool {
		c := leader.convergence(t)
		return c.IsInForce(1) && c.Live == 4
	}
	waitFor(t, 10*time.Second, "the configuration is in force", isInForce)
	all.Store(&[]SourceAddress{{Address: leader.address, Zone: "a"}, {Address: follower.address, Zone: "b"}})
	haveMoved := func() bool {
		atLeader, atFollower := leader.sessionsByID(t), follower.sessionsByID(t)
		return atLeader["a-1"] && atLeader["a-2"] && atFollower["b-1"] && atFollower["b-2"]
	}
	var movedAt time.Time
	for end := time.Now().Add(15 * time.Second); movedAt.IsZero() || time.Since(movedAt) < time.Second; time.Sleep(time.Millisecond) {
		if !isInForce() {
			t.Fatalf("convergence while proxies move: %+v", leader.convergence(t))
		}
		if movedAt.IsZero() && haveMoved() {
			movedAt = time.Now()
		}
		if time.Now().After(end) {
			t.Fatal("the proxies did not move within 15 s")
		}
	}
}
