package move

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// proposalTimeout is the time after which a proposed step that was not committed
// is decided again. If both are committed, the second is refused because of its
// step number.
const proposalTimeout = 2 * time.Second

// decisionInterval is the shortest time between two decisions about one step of
// a move. The loop calls Step after every event.
const decisionInterval = 100 * time.Millisecond

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Policy Policy
	// PolicyFor returns the policy of a move. If it is nil, Policy applies to
	// all moves.
	PolicyFor func(hornbeamwell.Move) Policy
	// Propose proposes a changed move to the ledger. It does not block.
	Propose func(hornbeamwell.Move)
	// Logger may be nil.
	Logger log.Logger
}

// Controller decides about open moves while its instance holds the leader's
// lease. Its methods run on the goroutine of the blackboard's loop.
type Controller struct {
	options ControllerOptions
	// trackers holds one tracker per open move by id. It is empty while this
	// instance does not lead.
	trackers map[string]*tracker
	term     uint64
	index    targetIndex
	// moves holds the last committed state of every move of the configuration.
	moves map[string]hornbeamwell.Move
}

var _ blackboard.Controller = (*Controller)(nil)

// NewController returns a controller without evidence.
func NewController(options ControllerOptions) *Controller {
	if options.PolicyFor == nil {
		options.PolicyFor = func(hornbeamwell.Move) Policy { return options.Policy }
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	return &Controller{
		options:  options,
		trackers: map[string]*tracker{},
		moves:    map[string]hornbeamwell.Move{},
	}
}

// Step consumes the evidence of the board and proposes the next step of each
// open move that has one.
func (c *Controller) Step(now time.Time, board *blackboard.Board) {
	observations := board.Evidence
	board.Evidence = nil
	c.recordMoves(board.Configuration)
	if !board.Leadership.HoldsLease || board.Leadership.Term != c.term {
		clear(c.trackers)
		c.term = board.Leadership.Term
	}
	if !board.Leadership.HoldsLease {
		return
	}
	indexChanged := c.index.refresh(board)
	seen := byService(observations)
	for _, m := range board.Configuration.Moves {
		if m.Phase.IsFinal() {
			delete(c.trackers, m.ID)
			continue
		}
		t := c.tracker(now, m)
		t.update(now, m, board, &c.index, indexChanged)
		t.evidence.Add(now, seen[m.Service]...)
		c.decide(now, m, t)
	}
}

// recordMoves stores the committed moves, counts and logs changes of phase, and
// checks that a final phase never changes.
func (c *Controller) recordMoves(configuration *hornbeamwell.Configuration) {
	for _, m := range configuration.Moves {
		before, known := c.moves[m.ID]
		if known && before.Step == m.Step {
			continue
		}
		c.moves[m.ID] = m
		if known && before.Phase.IsFinal() && m.Phase != before.Phase {
			hornbeamwell.ReportViolation("move_final_changed", "move %s went from %s to %s", m.ID, before.Phase, m.Phase)
		}
		if known && before.Phase != m.Phase {
			c.recordPhase(m)
		}
	}
	if len(c.moves) > len(configuration.Moves) {
		c.dropRemoved(configuration)
	}
}

// recordEnd records the end of a move that is no longer in the configuration if
// this instance proposed that end.
func (c *Controller) recordEnd(id string) {
	if t, ok := c.trackers[id]; ok && t.proposed.Phase.IsFinal() {
		c.recordPhase(t.proposed)
	}
}

// dropRemoved drops moves that the configuration no longer has. Moves are removed
// from it when they end.
func (c *Controller) dropRemoved(configuration *hornbeamwell.Configuration) {
	present := map[string]bool{}
	for _, m := range configuration.Moves {
		present[m.ID] = true
	}
	for id := range c.moves {
		if !present[id] {
			c.recordEnd(id)
			delete(c.moves, id)
			delete(c.trackers, id)
		}
	}
}

func (c *Controller) recordPhase(m hornbeamwell.Move) {
	metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_move_phases_total{phase=%q}", m.Phase)).Inc()
	_ = c.options.Logger.Log("msg", "move changed", "move", m.ID, "service", m.Service, "to", m.To,
		"phase", m.Phase, "share", m.Share, "reason", m.Reason)
}

// tracker returns the tracker of an open move. It creates one on first use.
func (c *Controller) tracker(now time.Time, m hornbeamwell.Move) *tracker {
	t, ok := c.trackers[m.ID]
	if !ok {
		t = newTracker(c.options.PolicyFor(m), m, now)
		c.trackers[m.ID] = t
	}
	return t
}

// decide proposes the next step of a move if there is one. It waits for a step
// that is already proposed until proposalTimeout.
func (c *Controller) decide(now time.Time, m hornbeamwell.Move, t *tracker) {
	if now.Sub(t.decidedAt) < decisionInterval {
		return
	}
	t.decidedAt = now
	if !t.proposedAt.IsZero() && now.Sub(t.proposedAt) < proposalTimeout {
		return
	}
	next, changed := c.options.PolicyFor(m).Decide(now, m, t.evidence, t.mesh)
	if !changed {
		return
	}
	t.proposedAt, t.proposed = now, next
	metrics.GetOrCreateCounter(`hornbeamwell_move_proposals_total`).Inc()
	c.options.Propose(next)
}
