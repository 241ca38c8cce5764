package delivery

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
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
