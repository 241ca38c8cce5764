package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// watch is what the leader keeps about one open move. It is not durable: a new
// leader starts with an empty one.
type watch struct {
	evidence  *Evidence
	fleets    *fleets
	situation Situation
	// isFollowing is true once the situation holds the targets.
	isFollowing bool
	// decidedAt is the time of the last decision.
	decidedAt time.Time
	// stageAt is the start of the stage that the evidence counts for.
	stageAt time.Time
	// step is the last durable step seen, and seenIn the first configuration
	// version known to hold it.
	step   uint64
	seenIn hornbeamwell.ConfigVersion
	// proposedAt is zero unless a step after step is proposed.
	proposedAt time.Time
	proposed   hornbeamwell.Move
}

func newWatch(policy Policy, m hornbeamwell.Move, now time.Time) *watch {
	return &watch{
		evidence: NewEvidence(policy, m, now),
		fleets:   newFleets(),
		stageAt:  m.StageAt,
	}
}

// follow takes the durable state of the move and the board. The index
// says which targets its service has.
func (w *watch) follow(now time.Time, m hornbeamwell.Move, board *blackboard.Board, index *targetIndex, isIndexNew bool) {
	if m.Step != w.step {
		w.step = m.Step
		w.decidedAt = time.Time{}
		w.seenIn = board.Configuration.Version
		w.proposedAt = time.Time{}
	}
	if !m.StageAt.Equal(w.stageAt) {
		w.stageAt = m.StageAt
		w.evidence.StartStage(now, m.Share)
	}
	if isIndexNew || !w.isFollowing {
		w.situation.From, w.situation.To = w.fleets.watch(now, m, index.byService[m.Service])
		w.situation.Vanished = vanished(m, board.Configuration)
		w.isFollowing = true
	}
	w.situation.InForce = board.Convergence.Watermark >= w.seenIn
	w.situation.Silent = board.Convergence.SilentCount
	if w.situation.InForce {
		w.evidence.InForce(now)
	}
}

// vanished names what the configuration no longer has of a move.
func vanished(m hornbeamwell.Move, c *hornbeamwell.Configuration) string {
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
