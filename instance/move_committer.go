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
	// decisionBacklog bounds the decisions that wait for the ledger. The move
	// controller makes a dropped decision again.
	decisionBacklog = 256
	// decisionTimeout bounds the commit of one decision.
	decisionTimeout = 5 * time.Second
)

var (
	decisionsDropped   = metrics.NewCounter("hornbeamwell_move_decisions_dropped_total")
	decisionsCommitted = metrics.NewCounter("hornbeamwell_move_decisions_committed_total")
	decisionsStale     = metrics.NewCounter("hornbeamwell_move_decisions_stale_total")
	decisionsFailed    = metrics.NewCounter("hornbeamwell_move_decisions_failed_total")
)

// decider makes the decisions of the move controller durable.
type decider struct {
	instance *Instance
	log      hornbeamwell.Ledger
	waiting  chan hornbeamwell.Move
}

func newDecider(i *Instance, log hornbeamwell.Ledger) *decider {
	return &decider{instance: i, log: log, waiting: make(chan hornbeamwell.Move, decisionBacklog)}
}

// propose queues a decided move. It does not block.
func (d *decider) propose(m hornbeamwell.Move) {
	select {
	case d.waiting <- m:
	default:
		decisionsDropped.Inc()
	}
}

// run commits the queued decisions until the context ends.
func (d *decider) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-d.waiting:
			d.commit(ctx, m)
		}
	}
}

func (d *decider) commit(ctx context.Context, m hornbeamwell.Move) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	command := catalog.Command{Kind: catalog.KindStepMove, Move: m}
	_, err := operator.Propose(ctx, d.log, d.instance.now(), command)
	switch {
	case err == nil:
		decisionsCommitted.Inc()
		_ = d.instance.logger.Log("event", "move_decided", "move", m.ID, "phase", m.Phase, "share", m.Share, "step", m.Step, "reason", m.Reason)
	case errors.Is(err, catalog.ErrStaleStep):
		decisionsStale.Inc()
	default:
		decisionsFailed.Inc()
	}
}
