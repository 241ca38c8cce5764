package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// tracker is what the leader keeps about one open move. It is not durable: a new
// leader starts with an empty one.
type tracker struct {
	evidence  *Evidence
	pools    *poolTracker
	mesh MeshState
	// hasPools is true once the mesh holds the targets.
	hasPools bool
	// decidedAt is the time of the last decision.
	decidedAt time.Time
	// stageAt is the start of the stage that the evidence counts for.
	stageAt time.Time
	// step is the last durable step seen, and seenIn the first configuration
	// version known to hold it.
	step   uint64
	stepVersion hornbeamwell.ConfigVersion
	// proposedAt is zero unless a step after step is proposed.
	proposedAt time.Time
	proposed   hornbeamwell.Move
}

func newTracker(policy Policy, m hornbeamwell.Move, now time.Time) *tracker {
	return &tracker{
		evidence: NewEvidence(policy, m, now),
		pools:   newPoolTracker(),
		stageAt:  m.StageAt,
	}
}

// update takes the durable state of the move and the board. The index
// says which targets its service has.
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
		t.mesh.From, t.mesh.To = t.pools.update(now, m, index.byService[m.Service])
		t.mesh.Removed = removed(m, board.Configuration)
		t.hasPools = true
	}
	t.mesh.InForce = board.Convergence.Watermark >= t.stepVersion
	t.mesh.SilentProxies = board.Convergence.SilentCount
	if t.mesh.InForce {
		t.evidence.MarkInForce(now)
	}
}

// removed names what the configuration no longer has of a move.
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
