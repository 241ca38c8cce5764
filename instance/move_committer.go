package instance

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/operator"
)

const (
	// decisionQueueSize bounds the decisions that wait to be committed. The
	// move controller repeats a decision that was dropped.
	decisionQueueSize = 256
	// decisionTimeout bounds the commit of one decision.
	decisionTimeout = 5 * time.Second
)

var (
	decisionsDropped   = metrics.NewCounter("hornbeamwell_move_decisions_dropped_total")
	decisionsCommitted = metrics.NewCounter("hornbeamwell_move_decisions_committed_total")
	decisionsStale     = metrics.NewCounter("hornbeamwell_move_decisions_stale_total")
	decisionsFailed    = metrics.NewCounter("hornbeamwell_move_decisions_failed_total")
)

// moveCommitter commits the decisions of the move controller to the ledger.
type moveCommitter struct {
	instance *Instance
	ledger   hornbeamwell.Ledger
	queue    chan hornbeamwell.Move
}

func newMoveCommitter(i *Instance, ledger hornbeamwell.Ledger) *moveCommitter {
	return &moveCommitter{instance: i, ledger: ledger, queue: make(chan hornbeamwell.Move, decisionQueueSize)}
}

// propose queues a decision. It does not block and drops the decision if the
// queue is full.
func (c *moveCommitter) propose(m hornbeamwell.Move) {
	select {
	case c.queue <- m:
	default:
		decisionsDropped.Inc()
	}
}

// run commits queued decisions until the context ends.
func (c *moveCommitter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.queue:
			c.commit(ctx, m)
		}
	}
}

func (c *moveCommitter) commit(ctx context.Context, m hornbeamwell.Move) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	command := catalog.Command{Kind: catalog.KindStepMove, Move: m}
	_, err := operator.Propose(ctx, c.ledger, c.instance.now(), command)
	switch {
	case err == nil:
		decisionsCommitted.Inc()
		_ = c.instance.logger.Log("event", "move_decided", "move", m.ID, "phase", m.Phase, "share", m.Share, "step", m.Step, "reason", m.Reason)
	case errors.Is(err, catalog.ErrStaleStep):
		decisionsStale.Inc()
	default:
		decisionsFailed.Inc()
	}
}
