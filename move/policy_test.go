package move

import "testing"

func TestRouteExcess(t *testing.T) {
	last := DefaultPolicy().Stages[len(DefaultPolicy().Stages)-1]
	for _, c := range []struct{ fraction, want float64 }{{1, 0.05}, {0.2, 0.05}, {0.125, 0.08}, {0.001, rareRouteExcess}} {
		if got := last.routeExcess(c.fraction); got != c.want {
			t.Errorf("routeExcess(%v) returned %v, want %v", c.fraction, got, c.want)
		}
	}
}

func TestDefaultPolicyKeepsItsInvariants(t *testing.T) {
	p := DefaultPolicy()
	if p.Stages[0].MaxExcess != 0 || p.Stages[0].Share > p.UnprovedShare {
		t.Errorf("the first stage is %+v, want no proof and at most UnprovedShare", p.Stages[0])
	}
	for i := 1; i < len(p.Stages); i++ {
		if p.Stages[i].Share <= p.Stages[i-1].Share || p.Stages[i].MaxExcess == 0 {
			t.Errorf("stage %d is %+v after %+v, want a greater share and a proof", i, p.Stages[i], p.Stages[i-1])
		}
	}
}
