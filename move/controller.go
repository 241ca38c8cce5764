package move

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// proposalTimeout is the time after which a proposed step that has not become
// durable is decided again. A step that lost a race is refused by its number.
const proposalTimeout = 2 * time.Second

// decisionInterval is the shortest time between two decisions about one step of
// a move. A step of the loop follows every event.
const decisionInterval = 100 * time.Millisecond

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Policy Policy
	// PolicyFor returns the policy of a move. Where it is nil, Policy holds for
	// all.
	PolicyFor func(hornbeamwell.Move) Policy
	// Propose hands a changed move to the ledger. It does not block.
	Propose func(hornbeamwell.Move)
	// Logger may be nil.
	Logger log.Logger
}

// Controller decides about open moves while its instance leads. Its methods run
// on the goroutine of the blackboard's loop.
type Controller struct {
	options ControllerOptions
	// trackers holds one watch per open move while this instance leads, and
	// none while it does not.
	trackers map[string]*tracker
	term    uint64
	index   targetIndex
	// moves holds the last durable state of every move of the configuration.
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
		options: options,
		trackers: map[string]*tracker{},
		moves:   map[string]hornbeamwell.Move{},
	}
}

// Step takes the evidence of the board and proposes the next step of each open
// move that has one.
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

// recordMoves takes the durable moves, counts their changes and asserts that a final
// move never changes.
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

// recordEnd reports the end of a move that left the configuration, where this
// instance proposed it.
func (c *Controller) recordEnd(id string) {
	if t, ok := c.trackers[id]; ok && t.proposed.Phase.IsFinal() {
		c.recordPhase(t.proposed)
	}
}

// dropRemoved drops moves that the configuration no longer has. A final move leaves
// it.
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

// tracker returns the watch of an open move.
func (c *Controller) tracker(now time.Time, m hornbeamwell.Move) *tracker {
	t, ok := c.trackers[m.ID]
	if !ok {
		t = newTracker(c.options.PolicyFor(m), m, now)
		c.trackers[m.ID] = t
	}
	return t
}

// decide proposes the next step of a move if it has one.
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
