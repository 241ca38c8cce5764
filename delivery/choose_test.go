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
