package route

import (
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

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
