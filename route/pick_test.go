package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

// testRandom returns a source that draws the same numbers in every run.
func testRandom() Random { return rand.New(rand.NewPCG(1, 1)) }

func newCandidate(id, zone string) *Candidate {
	return &Candidate{
		Target: hornbeamwell.Target{ID: id, Zone: zone, Slots: 10},
		Load:   &Load{}, Health: &Health{},
	}
}

// TestPickFindsATargetWhereThereIsOne ejects, tries and loads candidates at
// random: a call finds a target unless all were tried.
func TestPickFindsATargetWhereThereIsOne(t *testing.T) {
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
			t.Fatalf("picked %s again", picked.ID)
		}
	})
}

func TestEjectionNeverEmptiesAZone(t *testing.T) {
	now := time.Unix(1000, 0)
	random := testRandom()
	local := []*Candidate{newCandidate("1", "a"), newCandidate("2", "a"), newCandidate("3", "b")}
	for _, c := range local[:2] {
		for range failuresToEject {
			c.Health.Report(now, true)
		}
	}
	g := NewGroup("a", local)
	counts := make(map[string]int)
	for range 100 {
		counts[g.Pick(now, random, LocalityShort, nil).ID]++
	}
	if counts["1"] == 0 || counts["2"] == 0 {
		t.Fatalf("calls went to %v", counts)
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
			t.Fatalf("a call left its zone at %d outstanding", near.Load.Outstanding())
		}
		picked.Load.Begin()
	}
	for range 10 {
		picked := g.Pick(now, random, LocalityShort, nil)
		picked.Load.Begin()
	}
	if far.Load.Outstanding() == 0 {
		t.Fatal("no call left a busy zone")
	}
}

func TestColdTargetGetsLess(t *testing.T) {
	now := time.Unix(1000, 0)
	warm, cold := newCandidate("warm", "a"), newCandidate("cold", "a")
	cold.ColdStart = 20 * time.Second
	cold.ReadyAt = now.Add(-2 * time.Second)
	g := NewGroup("a", []*Candidate{warm, cold})
	// A tenth of its cold start has passed, so that at equal pressure the cold
	// target holds a tenth of the warm one's calls.
	const calls, most = 33, 3
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		warm.Load, cold.Load = &Load{}, &Load{}
		for range calls {
			g.Pick(now, random, LocalityShort, nil).Load.Begin()
		}
		if c := cold.Load.Outstanding(); c == 0 || c > most {
			t.Errorf("seed %d: the cold target has %d of %d calls", seed, c, calls)
		}
	}
}

func TestSharesOfAMove(t *testing.T) {
	service := hornbeamwell.Service{Name: "s", Versions: []hornbeamwell.TargetVersion{
		{Name: "v1", Share: hornbeamwell.FullShare}, {Name: "v2"},
	}}
	for _, c := range []struct {
		phase   hornbeamwell.Phase
		share   hornbeamwell.Share
		allowed bool
		want    int
	}{
		{hornbeamwell.PhaseStages, 500, true, 500},
		{hornbeamwell.PhaseStages, 500, false, 0},
		{hornbeamwell.PhaseTakingBack, 500, true, 0},
		{hornbeamwell.PhaseHolding, hornbeamwell.FullShare, true, 10_000},
	} {
		s := newService(service, &hornbeamwell.Move{From: "v1", To: "v2", Phase: c.phase, Share: c.share})
		got := 0
		for point := range hornbeamwell.FullShare {
			if s.Version(point, c.allowed) == "v2" {
				got++
			}
		}
		if got != c.want {
			t.Errorf("phase %s, share %d, allowed %v: %d points, want %d", c.phase, c.share, c.allowed, got, c.want)
		}
	}
}

func TestGuardCutsAFailingVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Breaker{}
	g.SetStep(1)
	for range 100 {
		g.Report(now, "r", false, false)
	}
	for range guardFailures {
		g.Report(now, "r", true, true)
	}
	if !g.IsOpen() {
		t.Fatal("a version that fails alone is not cut")
	}
	g.SetStep(1)
	if !g.IsOpen() {
		t.Fatal("the same step lifted the cut")
	}
	g.SetStep(2)
	for range 100 {
		g.Report(now, "healthy", false, false)
		g.Report(now, "healthy", true, false)
		g.Report(now, "bad", false, false)
	}
	for range guardFewFailures {
		g.Report(now, "bad", true, false)
		g.Report(now, "bad", true, true)
	}
	if !g.IsOpen() {
		t.Fatal("a version that fails on one route is not cut")
	}
	g.SetStep(3)
	if g.IsOpen() {
		t.Fatal("control's decision did not lift the cut")
	}
	for range 50 {
		g.Report(now, "r", false, true)
		g.Report(now, "r", true, true)
	}
	if g.IsOpen() {
		t.Fatal("a fault of both versions cut the new one")
	}
}
