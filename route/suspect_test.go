package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNewsOfSuspectsEnds lets proxies learn of crashes and answers at random and
// tell each other. The news ends, and all agree on who is convicted.
func TestNewsOfSuspectsEnds(t *testing.T) {
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
				t.Fatal("the news goes on")
			}
			isNews := false
			for _, from := range proxies {
				for _, to := range proxies {
					for _, suspect := range DecodeSuspects(now, from.Encode(now)) {
						isNews = to.Add(now, suspect) || isNews
					}
				}
			}
			if !isNews {
				break
			}
		}
		for fingerprint := Fingerprint(1); fingerprint <= 3; fingerprint++ {
			first, _ := proxies[0].Get(now, fingerprint)
			for _, s := range proxies[1:] {
				if got, _ := s.Get(now, fingerprint); (got == SuspicionConfirmed) != (first == SuspicionConfirmed) {
					t.Fatalf("request %d: suspicions %d and %d", fingerprint, first, got)
				}
			}
		}
	})
}

func TestCrashConvictsTheOnlySuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewCrashDetector()
	w.Begin(1, true)
	w.Begin(2, false)
	w.End(now, 1, true, true)
	got := make(map[Fingerprint]Suspicion)
	for _, s := range w.RecordCrash(now) {
		got[s.Fingerprint] = s.Suspicion
	}
	if got[1] != SuspicionConfirmed || got[2] != SuspicionCrash {
		t.Fatalf("suspicions %v", got)
	}
}
