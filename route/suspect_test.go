package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSuspectGossipConverges lets proxies record crashes and responses at
// random and exchange their suspects. It guards against gossip that never ends
// and against proxies that disagree on the confirmed requests.
func TestSuspectGossipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		proxies := make([]*Suspects, rapid.IntRange(2, 5).Draw(t, "proxies"))
		for i := range proxies {
			proxies[i] = NewSuspects()
		}
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			s := rapid.SampledFrom(proxies).Draw(t, "proxy")
			fingerprint := Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
			if rapid.Bool().Draw(t, "answered") {
				s.Clear(fingerprint)
				continue
			}
			suspicion := Suspicion(rapid.IntRange(int(SuspicionCrash), int(SuspicionConfirmed)).Draw(t, "suspicion"))
			s.Add(now, Suspect{Fingerprint: fingerprint, Suspicion: suspicion, Until: now.Add(SuspectLifetime)})
		}
		for round := 0; ; round++ {
			if round > 10 {
				t.Fatal("the gossip does not end after 10 rounds")
			}
			isChanged := false
			for _, from := range proxies {
				for _, to := range proxies {
					for _, suspect := range DecodeSuspects(now, from.Encode(now)) {
						isChanged = to.Add(now, suspect) || isChanged
					}
				}
			}
			if !isChanged {
				break
			}
		}
		for fingerprint := Fingerprint(1); fingerprint <= 3; fingerprint++ {
			first, _ := proxies[0].Get(now, fingerprint)
			for _, s := range proxies[1:] {
				if got, _ := s.Get(now, fingerprint); (got == SuspicionConfirmed) != (first == SuspicionConfirmed) {
					t.Fatalf("request %d: two proxies have the suspicions %d and %d, want confirmed at both or at neither", fingerprint, first, got)
				}
			}
		}
	})
}
