package move

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestDecide(t *testing.T) {
	stages := moveInPhase(hornbeamwell.PhaseStages, 500)
	good := collected(stages, 30, observed("v1", 95, 0), observed("v2", 5, 0))
	bad := collected(stages, 30, observed("v1", 95, 0), observed("v2", 5, 2))
	sharedFault := collected(stages, 30, observed("v1", 95, 38), observed("v2", 5, 2))
	versionRemoved := healthyMesh()
	versionRemoved.Removed = "version v2 of service credit"
	noTargets := healthyMesh()
	noTargets.To = Pool{EmptySince: start}
	crashing := healthyMesh()
	crashing.To.Restarts, crashing.To.MaxRestarts = 4, 3
	oldGone := healthyMesh()
	oldGone.From = Pool{}
	paused := stages
	paused.Paused = true
	byDeadline := stages
	byDeadline.Prefer = hornbeamwell.PreferDeadline

	cases := []struct {
		name     string
		after    time.Duration
		move     hornbeamwell.Move
		evidence *Evidence
		mesh     MeshState
		phase    hornbeamwell.Phase
		share    hornbeamwell.Share
		reason   string
	}{
		{"accepted starts warming", 0, moveInPhase(hornbeamwell.PhaseAccepted, 0), nil, healthyMesh(), hornbeamwell.PhaseWarming, 0, "waits for ready targets"},
		{"warming waits for targets", 5 * time.Second, moveInPhase(hornbeamwell.PhaseWarming, 0), nil, noTargets, hornbeamwell.PhaseWarming, 0, ""},
		{"warming starts the stages", 5 * time.Second, moveInPhase(hornbeamwell.PhaseWarming, 0), nil, healthyMesh(), hornbeamwell.PhaseStages, 500, "until it is proved"},
		{"no evidence keeps the share", 60 * time.Second, stages, nil, healthyMesh(), hornbeamwell.PhaseStages, 500, ""},
		{"good evidence raises the share", 30 * time.Second, stages, good, healthyMesh(), hornbeamwell.PhaseStages, 1000, "raised"},
		{"paused keeps the share", 30 * time.Second, paused, good, healthyMesh(), hornbeamwell.PhaseStages, 500, ""},
		{"bad is taken back", 30 * time.Second, stages, bad, healthyMesh(), hornbeamwell.PhaseTakingBack, 0, "failures"},
		{"paused and bad is taken back", 30 * time.Second, paused, bad, healthyMesh(), hornbeamwell.PhaseTakingBack, 0, "failures"},
		{"failures of both versions keep the share", 30 * time.Second, stages, sharedFault, healthyMesh(), hornbeamwell.PhaseStages, 500, ""},
		{"fault in the hold", 30 * time.Second, moveInPhase(hornbeamwell.PhaseHolding, hornbeamwell.FullShare), bad, healthyMesh(), hornbeamwell.PhaseTakingBack, 0, "failures"},
		{"hold ends", 30 * time.Second, moveInPhase(hornbeamwell.PhaseHolding, hornbeamwell.FullShare), good, healthyMesh(), hornbeamwell.PhaseDone, hornbeamwell.FullShare, "serves every call"},
		{"crash loop", 30 * time.Second, stages, good, crashing, hornbeamwell.PhaseTakingBack, 0, "crash"},
		{"no ready target", 30 * time.Second, stages, good, noTargets, hornbeamwell.PhaseTakingBack, 0, "no ready target"},
		{"version removed", 30 * time.Second, stages, good, versionRemoved, hornbeamwell.PhaseTakenBack, 0, "no longer configured"},
		{"insufficient evidence, safety preferred", 2 * time.Minute, stages, nil, healthyMesh(), hornbeamwell.PhaseTakingBack, 0, "safety is preferred"},
		{"insufficient evidence, deadline preferred", 2 * time.Minute, byDeadline, nil, healthyMesh(), hornbeamwell.PhaseHolding, hornbeamwell.FullShare, "deadline came and is preferred"},
		{"paused at the deadline", 2 * time.Minute, paused, good, healthyMesh(), hornbeamwell.PhaseTakingBack, 0, "paused"},
		{"old version gone at the deadline", 2 * time.Minute, stages, nil, oldGone, hornbeamwell.PhaseHolding, hornbeamwell.FullShare, "no ready target to take"},
		{"take-back ends", 5 * time.Second, moveInPhase(hornbeamwell.PhaseTakingBack, 0), nil, healthyMesh(), hornbeamwell.PhaseTakenBack, 0, ""},
		{"final phase never changes", time.Hour, moveInPhase(hornbeamwell.PhaseDone, hornbeamwell.FullShare), bad, healthyMesh(), hornbeamwell.PhaseDone, hornbeamwell.FullShare, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, changed := DefaultPolicy().Decide(start.Add(c.after), c.move, c.evidence, c.mesh)
			if next.Phase != c.phase || next.Share != c.share {
				t.Fatalf("the next state is %s with share %d (%s), want %s with %d", next.Phase, next.Share, next.Reason, c.phase, c.share)
			}
			if !strings.Contains(next.Reason, c.reason) {
				t.Errorf("reason %q lacks %q", next.Reason, c.reason)
			}
			if changed != (next.Step == c.move.Step+1) {
				t.Errorf("changed is %v, step went from %d to %d", changed, c.move.Step, next.Step)
			}
			if next.Phase.IsFinal() && changed && next.EndedAt.IsZero() {
				t.Error("a final move has no end time")
			}
		})
	}
}
