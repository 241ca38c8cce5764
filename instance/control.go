package instance

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/oklog/run"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/ledger"
	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/operator"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// control holds the components of a control instance: its ledger member, the
// state machine of the ledger, the source of delivery sessions, the move
// controller and the operator API.
type control struct {
	instance  *Instance
	ledger    *ledgerAdapter
	catalog   *catalog.Catalog
	source    *sourceNode
	moves     *move.Controller
	operator  *operator.Service
	committer *moveCommitter
	// departures commits which targets leave.
	departures *departureCommitter
	// seeds are the addresses of control instances through which this one
	// joins the ledger. Reload replaces them.
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
		Members:      initialMembers(i.settings.Control),
		Seeds:        c.seedFunc(),
		StateMachine: c.catalog,

		Timing:         i.ledgerTiming(),
		Limits:         ledgerLimits(i.settings),
		TolerateLosses: i.settings.Control.TolerateLosses,
		CatchUp:        i.settings.Control.CatchUp,
		WrapFolder:     i.wrapFolder,

		Logger:       i.logger,
		OnApplied:    c.onApplied,
		OnLeadership: c.onLeadership,
		Now:          i.now,
	})
	if err != nil {
		return nil, err
	}
	c.ledger = &ledgerAdapter{inner: opened, now: i.now}
	c.source = newSourceNode(i, sourceOptions{
		address:       i.settings.Control.AdvertisedAddress(),
		leaderAddress: func() netip.AddrPort { return c.ledger.Status().LeaderAddress },
		holdsLease:    func() bool { return opened.Status().HoldsLease },
		upstreams:     c.peerAddresses,
		settleTime:    i.settings.Control.SettleTime,
		sources:       c.sourceAddresses,
		updateBoard:   c.updateBoard,
	})
	c.committer = newMoveCommitter(i, c.ledger)
	c.moves = move.NewController(move.ControllerOptions{
		PolicyFor: move.PolicyFor,
		Propose:   c.committer.propose,
		Logger:    i.logger,
	})
	c.departures = newDepartureCommitter(i, c.ledger, c.source)
	c.source.loop.Add(c.moves, c.departures)
	c.operator = operator.New(operator.Options{
		Instance: i.settings.Instance,
		Ledger:   c.ledger,
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

// ControlMove applies an operator's control command to a move at the time of
// the command. Every call of catalog.New must pass it, so that all replicas compute
// the same state.
func ControlMove(command catalog.Command, m hornbeamwell.Move) (hornbeamwell.Move, error) {
	return move.ApplyControl(command.At, m, command.Control)
}

// initialMembers returns the first voters. An instance with seeds has none unless it
// bootstraps the ledger. The id of a seed is its address, because nothing else is known
// about it.
func initialMembers(s *settings.Control) []settings.Member {
	if len(s.Seeds) == 0 || !s.Bootstrap {
		return s.Members
	}
	members := make([]settings.Member, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		members = append(members, settings.Member{ID: seed.String(), Address: seed})
	}
	return members
}

// seedFunc returns a function that returns the current seeds, or nil if the
// settings have none.
func (c *control) seedFunc() func() []netip.AddrPort {
	if len(c.instance.settings.Control.Seeds) == 0 {
		return nil
	}
	return func() []netip.AddrPort { return *c.seeds.Load() }
}

// sourceAddresses returns all control instances, which proxies connect to.
func (c *control) sourceAddresses() []delivery.SourceAddress {
	status := c.ledger.inner.Status()
	addresses := make([]delivery.SourceAddress, 0, len(status.Members))
	for _, m := range status.Members {
		addresses = append(addresses, delivery.SourceAddress{Address: m.Address, Zone: m.Zone})
	}
	return addresses
}

func (c *control) peerAddresses() []netip.AddrPort {
	status := c.ledger.Status()
	addresses := make([]netip.AddrPort, 0, len(status.Members))
	for _, m := range status.Members {
		if m.ID != c.instance.settings.Instance {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// onApplied requests an update of the blackboard after a command or a snapshot
// was applied.
func (c *control) onApplied(uint64) { c.source.requestUpdate() }

// onLeadership requests an update of the blackboard after a change of the term,
// the role, the leader, the lease or the members.
func (c *control) onLeadership(ledger.Status) { c.source.requestUpdate() }

// leave transfers the leadership, and the vote if there is a successor, to other control
// instances before this one stops. If that fails, the leadership ends with its lease, and
// the vote passes once this instance has been silent.
func (c *control) leave(ctx context.Context) {
	if err := c.ledger.inner.Drain(ctx); err != nil {
		_ = c.instance.logger.Log("event", "lead_not_handed_over", "err", err)
	}
}

func (c *control) addActors(ctx context.Context, group *run.Group, stop context.CancelFunc) {
	c.source.addActors(ctx, group, stop, c.listener)
	addActor(ctx, group, stop, c.ledger.inner.Run)
	addActor(ctx, group, stop, c.committer.run)
	addActor(ctx, group, stop, c.departures.run)
}

// updateBoard copies the configuration and the leadership to the blackboard.
func (c *control) updateBoard(board *blackboard.Board) {
	board.Configuration = c.catalog.Configuration()
	board.Departures, board.DeparturesVersion = c.catalog.Departures()
	status := c.ledger.Status()
	board.Leadership = blackboard.Leadership{HoldsLease: status.HoldsLease, Leader: status.Leader, Term: status.Term}
}

// handler returns the path and the handler of the operator API.
func (c *control) handler() (string, http.Handler) {
	return newOperatorHandler(c.operator, c.instance.connections)
}

// maxOperatorBytes bounds a request to the operator API after decompression. It is the
// limit of the message in which a request is forwarded to the leader.
const maxOperatorBytes = wire.MaxFrameBytes

func newOperatorHandler(service schema.OperatorServiceHandler, connections *connection.Table) (string, http.Handler) {
	memory := newRequestMemory(connections)
	path, handler := schema.NewOperatorServiceHandler(service, append(memory.options(), connect.WithReadMaxBytes(maxOperatorBytes))...)
	return path, memory.handler(handler)
}
