package delivery

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestLinkLeavesTheSourceThatFailed lets the list of sources grow while a source
// fails: the next attempt goes to another one all the same.
func TestLinkLeavesTheSourceThatFailed(t *testing.T) {
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
			chosen, err := l.choose()
			if err != nil {
				t.Fatal(err)
			}
			if chosen == last {
				t.Fatalf("seed %d: %s was chosen again after it failed", seed, chosen)
			}
			last = chosen
			l.leave()
			known = addresses[:2+random.IntN(5)]
		}
	}
}

// TestLinkTriesSourcesThatFailedLast has two of five sources that do not answer:
// after each was tried once, they come after all others.
func TestLinkTriesSourcesThatFailedLast(t *testing.T) {
	t.Parallel()
	sources := make([]netip.AddrPort, 0, 5)
	for port := range uint16(5) {
		sources = append(sources, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 7000+port))
	}
	now := time.Unix(1000, 0)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := newLink(nil, func() []netip.AddrPort { return sources }, SiteTiming(), func() time.Time { return now }, random, log.NewNopLogger())
		for _, dead := range sources[:2] {
			l.tried = dead
			l.leave()
			now = now.Add(time.Millisecond)
		}
		for range 3 {
			now = now.Add(100 * time.Millisecond)
			chosen, err := l.choose()
			if err != nil || chosen == sources[0] || chosen == sources[1] {
				t.Fatalf("seed %d: chose %s, %v", seed, chosen, err)
			}
			l.leave()
		}
		if chosen, err := l.choose(); err != nil || chosen != sources[0] {
			t.Fatalf("seed %d: with all failed chose %s, %v; want the one that failed first", seed, chosen, err)
		}
	}
}
