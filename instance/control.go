package instance

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/oklog/run"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/ledger"
	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/operator"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
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
	// seeds are the addresses of instances that know the others.
	seeds atomic.Pointer[[]netip.AddrPort]

	listener net.Listener
}

func newControl(i *Instance) (*control, error) {
	c := &control{instance: i}
	c.catalog = catalog.New(ControlMove)
	c.seeds.Store(&i.settings.Control.Seeds)
	opened, err := ledger.Open(ledger.Options{
		ID:           i.settings.Instance,
		Zone:         i.settings.Zone,
		Folder:       i.settings.Control.DataFolder,
		Address:      i.settings.Control.AdvertisedAddress(),
		Members:      founders(i.settings.Control),
		Seeds:        c.seedList(),
		StateMachine: c.catalog,

		Timing:         i.ledgerTiming(),
		TolerateLosses: i.settings.Control.TolerateLosses,
		WrapFolder:     i.wrapFolder,

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
		address:       i.settings.Control.AdvertisedAddress(),
		leaderAddress: func() netip.AddrPort { return c.log.Status().LeaderAddress },
		upstreams:     c.memberAddresses,
		settleTime:    i.settings.Control.SettleTime,
		sources:       c.sourceAddresses,
		pull:          c.pull,
	})
	c.decider = newDecider(i, c.log)
	c.moves = move.NewController(move.ControllerOptions{
		PolicyFor: move.PolicyFor,
		Propose:   c.decider.propose,
		Logger:    i.logger,
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
	return move.ApplyControl(command.At, m, command.Control)
}

// founders returns the first voters. Of seeds nothing but the address is known,
// which is their id.
func founders(s *settings.Control) []settings.Member {
	if len(s.Seeds) == 0 || !s.Bootstrap {
		return s.Members
	}
	members := make([]settings.Member, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		members = append(members, settings.Member{ID: seed.String(), Address: seed})
	}
	return members
}

// seedList returns a function that returns the present seeds, nil where the
// settings give none.
func (c *control) seedList() func() []netip.AddrPort {
	if len(c.instance.settings.Control.Seeds) == 0 {
		return nil
	}
	return func() []netip.AddrPort { return *c.seeds.Load() }
}

// sourceAddresses returns where proxies find the control instances.
func (c *control) sourceAddresses() []netip.AddrPort {
	status := c.log.ledger.Status()
	addresses := make([]netip.AddrPort, 0, len(status.Members))
	for _, m := range status.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
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
	board.Leadership = blackboard.Leadership{HoldsLease: status.HoldsLease, Leader: status.Leader, Term: status.Term}
}

// handler returns the operators' handler and its path.
func (c *control) handler() (string, http.Handler) {
	return schema.NewOperatorServiceHandler(c.operator)
}
