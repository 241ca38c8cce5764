package delivery

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// herdSize is the number of proxies that lose their source at the same time.
const herdSize = 2000

// TestHerdReconnects restarts the source of 2,000 proxies. The rate at which it
// opens sessions and the time until the proxies converge are bounded.
func TestHerdReconnects(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 30 s")
	}
	leader := startNode(t, "c1")
	leader.configure(t, sampleConfiguration(1, serviceNames(100)...))
	startHerd(t, herdSize, leader.address)
	waitFor(t, 40*time.Second, "the herd is up", func() bool { return inForceOn(t, leader, 1, herdSize) })
	leader.stop()
	time.Sleep(3 * time.Second)
	opened, deferred := sessionsOpened.Get(), sessionsDeferred.Get()
	restarted := startNodeWith(t, nodeOptions{id: "c1", listenAddress: leader.address})
	restarted.configure(t, sampleConfiguration(2, serviceNames(100)...))
	began := time.Now()
	maxRate, windowStart, before := uint64(0), time.Now(), opened
	for !inForceOn(t, restarted, 2, herdSize) {
		if time.Since(began) > 40*time.Second {
			t.Fatalf("not converged after %v: %+v proxies are live", time.Since(began), restarted.convergence(t).Live)
		}
		time.Sleep(20 * time.Millisecond)
		if elapsed := time.Since(windowStart); elapsed >= time.Second {
			maxRate = max(maxRate, uint64(float64(sessionsOpened.Get()-before)/elapsed.Seconds()))
			windowStart, before = time.Now(), sessionsOpened.Get()
		}
	}
	t.Logf("%d proxies converge %v after their source is back; at most %d sessions opened in a second; %d deferred",
		herdSize, time.Since(began).Round(time.Millisecond), maxRate, sessionsDeferred.Get()-deferred)
	if maxRate > 1.2*admissionsPerSecond+admissionBurst {
		t.Fatalf("%d sessions were opened within a second", maxRate)
	}
}

func inForceOn(t testing.TB, n *node, version hornbeamwell.ConfigVersion, live int) bool {
	c := n.convergence(t)
	return c.IsInForce(version) && c.Live == live
}

// herd is a set of subscribers that record when they applied each version.
type herd struct {
	subscribers []*Subscriber
	mu          sync.Mutex
	applied     map[hornbeamwell.ConfigVersion][]time.Time
}

func startHerd(t testing.TB, count int, sources ...netip.AddrPort) *herd {
	t.Helper()
	h := &herd{applied: map[hornbeamwell.ConfigVersion][]time.Time{}}
	for i := range count {
		s := NewSubscriber(SubscriberOptions{
			ID: fmt.Sprintf("p%05d", i), Zone: "a", Sources: []netip.AddrPort{sources[i%len(sources)]},
			Apply: h.apply,
		})
		h.subscribers = append(h.subscribers, s)
		go func() { _ = s.Run(t.Context()) }()
	}
	return h
}

func (h *herd) apply(now time.Time, update Update) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := update.Configuration.Version
	h.applied[version] = append(h.applied[version], now)
	return nil
}

// latencies returns the sorted times from began until the subscribers applied
// the version.
func (h *herd) latencies(version hornbeamwell.ConfigVersion, began time.Time) []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]time.Duration, 0, len(h.applied[version]))
	for _, at := range h.applied[version] {
		all = append(all, at.Sub(began))
	}
	slices.Sort(all)
	return all
}
