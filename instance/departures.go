package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/operator"
	"github.com/hornbeamwell/hornbeamwell/target"
)

const (
	// maxDepartureBatch is the number of departures in one ledger command.
	maxDepartureBatch = 128
	// departureTimeout bounds the commit of one batch, departureRetryInterval is the time
	// after a failed one.
	departureTimeout       = 5 * time.Second
	departureRetryInterval = 100 * time.Millisecond
)

var (
	departuresCommitted = metrics.NewCounter("hornbeamwell_departures_committed_total")
	departuresFailed    = metrics.NewCounter("hornbeamwell_departures_failed_total")
)

// departureCommitter commits to the ledger which targets drain or are gone, while this
// instance leads. Those that change during a commit make up the next batch.
type departureCommitter struct {
	instance   *Instance
	ledger     hornbeamwell.Ledger
	loop       *blackboard.Loop
	membership *target.Membership
	// updateBoard copies what was committed to the board.
	updateBoard func(*blackboard.Board)
	batches     chan []hornbeamwell.Target
	// isBusy is true from the start of a batch to its end.
	isBusy bool
	// scanned is the board's TargetsVersion that was last searched for departures, nil if
	// it has to be searched again. Like isBusy, it belongs to the goroutine of the loop.
	scanned *uint64
}

func newDepartureCommitter(i *Instance, ledger hornbeamwell.Ledger, source *sourceNode) *departureCommitter {
	return &departureCommitter{
		instance: i, ledger: ledger, loop: source.loop, membership: source.membership, updateBoard: source.updateBoard,
		batches: make(chan []hornbeamwell.Target, 1),
	}
}

// Step implements blackboard.Controller.
func (c *departureCommitter) Step(_ time.Time, board *blackboard.Board) {
	if !board.Leadership.HoldsLease {
		c.scanned = nil
		return
	}
	if c.isBusy || c.scanned != nil && *c.scanned == board.TargetsVersion {
		return
	}
	version := board.TargetsVersion
	c.scanned = &version
	if batch := c.membership.Undeparted(board, maxDepartureBatch); len(batch) > 0 {
		c.isBusy = true
		c.batches <- batch
	}
}

// run commits batches until the context ends.
func (c *departureCommitter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-c.batches:
			c.commit(ctx, batch)
			err := c.loop.Post(ctx, func(_ time.Time, board *blackboard.Board) {
				c.updateBoard(board)
				c.isBusy, c.scanned = false, nil
			})
			if err != nil {
				return fmt.Errorf("post the end of a batch of departures: %w", err)
			}
		}
	}
}

func (c *departureCommitter) commit(ctx context.Context, batch []hornbeamwell.Target) {
	commitCtx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	_, err := operator.Propose(commitCtx, c.ledger, c.instance.now(), catalog.Command{Kind: catalog.KindDepart, Departed: batch})
	if err == nil {
		departuresCommitted.Add(len(batch))
		_ = c.instance.logger.Log("event", "departures_committed", "count", len(batch), "first", batch[0].ID, "state", batch[0].State)
		return
	}
	departuresFailed.Add(len(batch))
	_ = c.instance.logger.Log("event", "departures_not_committed", "count", len(batch), "first", batch[0].ID, "err", err)
	select {
	case <-ctx.Done():
	case <-time.After(departureRetryInterval):
	}
}
