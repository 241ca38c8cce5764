package instance

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/oklog/run"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/ledger"
	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/operator"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// control is a replica of the control state with its controllers.
type control struct {
	instance *Instance
	log      *replicatedLog
	catalog  *catalog.Catalog
	source   *sourceNode
	moves    *move.Controller
	operator *operator.Service
	decider  *decider

	listener net.Listener
}

func newControl(i *Instance) (*control, error) {
	c := &control{instance: i}
	c.catalog = catalog.New(ControlMove)
	opened, err := ledger.Open(ledger.Options{
		ID:           i.settings.Instance,
		Zone:         i.settings.Zone,
		Folder:       i.settings.Control.DataFolder,
		Address:      i.settings.Control.Listen,
		Members:      i.settings.Control.Members,
		Machine:      c.catalog,
		Logger:       i.logger,
		OnCommitted:  c.committed,
		OnLeadership: c.leadership,
		Now:          i.now,
	})
	if err != nil {
		return nil, err
	}
	c.log = &replicatedLog{ledger: opened, now: i.now}
	c.source = newSourceNode(i, sourceRole{
		listen:        i.settings.Control.Listen,
		leaderAddress: func() netip.AddrPort { return c.log.Status().LeaderAddress },
		upstreams:     c.memberAddresses,
		settleTime:    i.settings.Control.SettleTime,
		pull:          c.pull,
	})
	c.decider = newDecider(i, c.log)
	c.moves = move.NewController(move.ControllerOptions{
		Policy:  move.DefaultPolicy(),
		Propose: c.decider.propose,
		Logger:  i.logger,
	})
	c.source.loop.Add(c.moves)
	c.operator = operator.New(operator.Options{
		Instance: i.settings.Instance,
		Log:      c.log,
		Catalog:  c.catalog,
		Loop:     c.source.loop,
		Moves:    c.moves,
		Defaults: i.settings.Move,
		Now:      i.now,
		Logger:   i.logger,
	})
	opened.Register(c.source.mux)
	c.operator.Register(c.source.mux)
	c.listener, err = i.listen(i.settings.Control.Listen)
	return c, err
}

// ControlMove changes a move as an operator asks, at the time of the command.
// Each catalog of the system uses it.
func ControlMove(command catalog.Command, m hornbeamwell.Move) (hornbeamwell.Move, error) {
	return move.Control(command.At, m, command.Control)
}

func (c *control) memberAddresses() []netip.AddrPort {
	status := c.log.Status()
	addresses := make([]netip.AddrPort, 0, len(status.Members))
	for _, m := range status.Members {
		if m.ID != c.instance.settings.Instance {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// committed puts the latest configuration on the blackboard.
func (c *control) committed(uint64) { c.source.refresh() }

// leadership puts what the ledger says of the lead on the blackboard.
func (c *control) leadership(ledger.Status) { c.source.refresh() }

// handOver lets another control instance lead before this one stops. Without
// one the lead ends with its lease.
func (c *control) handOver(ctx context.Context) {
	if err := c.log.ledger.Drain(ctx); err != nil {
		_ = c.instance.logger.Log("event", "lead_not_handed_over", "err", err)
	}
}

func (c *control) addActors(parts context.Context, group *run.Group, stop context.CancelFunc) {
	c.source.addActors(parts, group, stop, c.listener)
	addRun(parts, group, stop, c.log.ledger.Run)
	addRun(parts, group, stop, c.decider.run)
}

// pull copies the ledger's state to the blackboard.
func (c *control) pull(board *blackboard.Board) {
	board.Configuration = c.catalog.Configuration()
	status := c.log.Status()
	board.Leadership = blackboard.Leadership{Leads: status.Leads, Leader: status.Leader, Term: status.Term}
}

// handler returns the operators' handler and its path.
func (c *control) handler() (string, http.Handler) {
	return schema.NewOperatorServiceHandler(c.operator)
}
