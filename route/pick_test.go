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

func TestSharesOfAMove(t *testing.T) {
	service := hornbeamwell.Service{Name: "s", Versions: []hornbeamwell.TargetVersion{
		{Name: "v1", Share: hornbeamwell.FullShare}, {Name: "v2"},
	}}
	for _, c := range []struct {
		phase       hornbeamwell.Phase
		share       hornbeamwell.Share
		allowCanary bool
		want        int
	}{
		{hornbeamwell.PhaseStages, 500, true, 500},
		{hornbeamwell.PhaseStages, 500, false, 0},
		{hornbeamwell.PhaseTakingBack, 500, true, 0},
		{hornbeamwell.PhaseHolding, hornbeamwell.FullShare, true, 10_000},
	} {
		s := newService(service, &hornbeamwell.Move{From: "v1", To: "v2", Phase: c.phase, Share: c.share})
		got := 0
		for point := range hornbeamwell.FullShare {
			if s.Version(point, c.allowCanary) == "v2" {
				got++
			}
		}
		if got != c.want {
			t.Errorf("phase %s, share %d, canary allowed %v: the canary has %d points, want %d", c.phase, c.share, c.allowCanary, got, c.want)
		}
	}
}

func TestBreakerOpensOnAFailingCanary(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Breaker{}
	b.SetStep(1)
	for range 100 {
		b.Report(now, "r", false, false)
	}
	for range breakerLowRateFailures {
		b.Report(now, "r", true, true)
	}
	if !b.IsOpen() {
		t.Fatal("the breaker is closed although only the canary fails")
	}
	b.SetStep(1)
	if !b.IsOpen() {
		t.Fatal("the same step closed the breaker")
	}
	b.SetStep(2)
	for range 100 {
		b.Report(now, "healthy", false, false)
		b.Report(now, "healthy", true, false)
		b.Report(now, "bad", false, false)
	}
	for range breakerHighRateFailures {
		b.Report(now, "bad", true, false)
		b.Report(now, "bad", true, true)
	}
	if !b.IsOpen() {
		t.Fatal("the breaker is closed although the canary fails on one route")
	}
	b.SetStep(3)
	if b.IsOpen() {
		t.Fatal("a later step did not close the breaker")
	}
	for range 50 {
		b.Report(now, "r", false, true)
		b.Report(now, "r", true, true)
	}
	if b.IsOpen() {
		t.Fatal("the breaker opened although both versions fail")
	}
}
