package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// tracker holds what the leader collected about one open move. It is not durable:
// a new leader starts with an empty one.
type tracker struct {
	evidence *Evidence
	pools    *poolTracker
	mesh     MeshState
	// hasPools is true once mesh holds the pools.
	hasPools bool
	// decidedAt is the time at which Controller.decide last considered the present
	// step. It is zero if it has not yet.
	decidedAt time.Time
	// stageAt is the start of the stage that the evidence belongs to.
	stageAt time.Time
	// step is the last committed step, and stepVersion the first known
	// configuration version with it, or that of the end of a later evacuation of all
	// targets of the canary.
	step        uint64
	stepVersion hornbeamwell.ConfigVersion
	// proposedAt is the time at which proposed was proposed as the next step. It
	// is zero if none is pending.
	proposedAt time.Time
	proposed   hornbeamwell.Move
}

func newTracker(policy Policy, m hornbeamwell.Move, now time.Time) *tracker {
	return &tracker{
		evidence: NewEvidence(policy, m, now),
		pools:    newPoolTracker(),
		stageAt:  m.StageAt,
	}
}

// update copies what concerns the move from the board. The targets of its service
// come from the index, which is read only on the first update and after a change.
func (t *tracker) update(now time.Time, m hornbeamwell.Move, board *blackboard.Board, index *targetIndex, indexChanged bool) {
	if m.Step != t.step {
		t.step = m.Step
		t.decidedAt = time.Time{}
		t.stepVersion = board.Configuration.Version
		t.proposedAt = time.Time{}
	}
	if !m.StageAt.Equal(t.stageAt) {
		t.stageAt = m.StageAt
		t.evidence.StartStage(now, m.Share)
	}
	if indexChanged || !t.hasPools {
		wasEvacuated := t.mesh.To.isEvacuated()
		t.mesh.From, t.mesh.To = t.pools.update(now, m, index.byService[m.Service], evacuatedZones(board.Configuration))
		t.mesh.Removed = removed(m, board.Configuration)
		t.hasPools = true
		if wasEvacuated && !t.mesh.To.isEvacuated() {
			t.stepVersion = board.Configuration.Version
		}
	}
	t.mesh.InForce = board.Convergence.Watermark >= t.stepVersion
	t.mesh.SilentCount = board.Convergence.SilentCount
	if t.mesh.InForce {
		t.evidence.MarkInForce(now)
	}
	if t.mesh.To.isEvacuated() {
		t.evidence.markEvacuated(now)
	}
}

func evacuatedZones(c *hornbeamwell.Configuration) map[string]bool {
	zones := make(map[string]bool, len(c.Evacuations))
	for _, e := range c.Evacuations {
		zones[e.Zone] = true
	}
	return zones
}

// removed names the service or version of a move that is no longer in the
// configuration. It is empty if both versions are configured.
func removed(m hornbeamwell.Move, c *hornbeamwell.Configuration) string {
	service, ok := c.Service(m.Service)
	if !ok {
		return "service " + m.Service
	}
	for _, version := range []string{m.From, m.To} {
		if _, ok := service.Version(version); !ok {
			return "version " + version + " of service " + m.Service
		}
	}
	return ""
}
