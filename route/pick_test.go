package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

// testRandom returns a source with a fixed seed.
func testRandom() Random { return rand.New(rand.NewPCG(1, 1)) }

func newCandidate(id, zone string) *Candidate {
	return &Candidate{
		Target: hornbeamwell.Target{ID: id, Zone: zone, Slots: 10},
		Load:   &Load{}, Health: &Health{},
	}
}

// TestPickFindsUntriedTarget ejects, tries and loads candidates at random. It
// guards against a call that gets no target although one is untried.
func TestPickFindsUntriedTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(0, 8).Draw(t, "candidates")
		candidates := make([]*Candidate, 0, n)
		var tried []*Candidate
		healthy := 0
		for i := range n {
			c := newCandidate(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
			for range rapid.IntRange(0, 20).Draw(t, "outstanding") {
				c.Load.Begin()
			}
			isEjected := rapid.Bool().Draw(t, "ejected")
			for range failuresToEject {
				c.Health.Report(now, isEjected)
			}
			isTried := rapid.Bool().Draw(t, "tried")
			if isTried {
				tried = append(tried, c)
			}
			if !isEjected && !isTried {
				healthy++
			}
			candidates = append(candidates, c)
		}
		picked := NewGroup("a", candidates).Pick(now, random, LocalityShort, tried)
		if (picked == nil) != (len(tried) == n) {
			t.Fatalf("picked %v of %d candidates with %d tried", picked, n, len(tried))
		}
		if picked != nil && isTried(picked, tried) {
			t.Fatalf("picked %s, which was tried", picked.ID)
		}
	})
}

func TestEjectionNeverEmptiesAZone(t *testing.T) {
	now := time.Unix(1000, 0)
	random := testRandom()
	candidates := []*Candidate{newCandidate("1", "a"), newCandidate("2", "a"), newCandidate("3", "b")}
	for _, c := range candidates[:2] {
		for range failuresToEject {
			c.Health.Report(now, true)
		}
	}
	g := NewGroup("a", candidates)
	counts := make(map[string]int)
	for range 100 {
		counts[g.Pick(now, random, LocalityShort, nil).ID]++
	}
	if counts["1"] == 0 || counts["2"] == 0 {
		t.Fatalf("calls went to %v, want some to each ejected target of the zone", counts)
	}
}

func TestCallsStayInTheirZoneUntilItIsBusy(t *testing.T) {
	now := time.Unix(1000, 0)
	random := testRandom()
	near, far := newCandidate("near", "a"), newCandidate("far", "b")
	g := NewGroup("a", []*Candidate{near, far})
	for range 10 {
		picked := g.Pick(now, random, LocalityShort, nil)
		if picked != near {
			t.Fatalf("a call left its zone at %d outstanding calls", near.Load.Outstanding())
		}
		picked.Load.Begin()
	}
	for range 10 {
		picked := g.Pick(now, random, LocalityShort, nil)
		picked.Load.Begin()
	}
	if far.Load.Outstanding() == 0 {
		t.Fatal("no call left the busy zone")
	}
}

func TestColdTargetGetsLess(t *testing.T) {
	now := time.Unix(1000, 0)
	warm, cold := newCandidate("warm", "a"), newCandidate("cold", "a")
	cold.ColdStart = 20 * time.Second
	cold.ReadyAt = now.Add(-2 * time.Second)
	g := NewGroup("a", []*Candidate{warm, cold})
	// A tenth of the cold start has passed, so that at equal relative load the
	// cold target holds a tenth of the warm target's calls.
	const calls, maxColdCalls = 33, 3
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		warm.Load, cold.Load = &Load{}, &Load{}
		for range calls {
			g.Pick(now, random, LocalityShort, nil).Load.Begin()
		}
		if c := cold.Load.Outstanding(); c == 0 || c > maxColdCalls {
			t.Errorf("seed %d: the cold target has %d of %d calls", seed, c, calls)
		}
	}
}
