package instance

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// sourceOptions holds the settings of a sourceNode that differ between a control
// instance and a relay.
type sourceOptions struct {
	address              netip.AddrPort
	leaderAddress        func() netip.AddrPort
	upstreams            func() []netip.AddrPort
	receiveConfiguration bool
	settleTime           time.Duration
	// holdsLease reports whether this instance holds the leader's lease. It is nil in a
	// relay, which never leads.
	holdsLease func() bool
	// sources returns the addresses of all sources, which proxies connect to. It
	// may be nil.
	sources func() []delivery.SourceAddress
	// updateBoard copies the state of the ledger to the board. It is nil in a
	// relay, which has no ledger.
	updateBoard func(*blackboard.Board)
}

// sourceNode serves delivery sessions to proxies, relays and other control
// instances from its own blackboard.
type sourceNode struct {
	instance    *Instance
	loop        *blackboard.Loop
	mux         *wire.Mux
	source      *delivery.Source
	upstream    *delivery.Upstream
	membership  *target.Membership
	updateBoard func(*blackboard.Board)
	// updateRequested holds a token while an update of the board is pending.
	updateRequested chan struct{}
}

func newSourceNode(i *Instance, options sourceOptions) *sourceNode {
	n := &sourceNode{instance: i, mux: wire.NewMux(), updateBoard: options.updateBoard, updateRequested: make(chan struct{}, 1)}
	n.loop = blackboard.NewLoop(i.now, boardTick)
	membership := target.NewMembership(target.MembershipOptions{Logger: i.logger})
	n.membership = membership
	n.source = delivery.NewSource(delivery.SourceOptions{
		ID:            i.settings.Instance,
		Zone:          i.settings.Zone,
		Post:          n.loop.Post,
		Membership:    membership,
		LeaderAddress: options.leaderAddress,
		HoldsLease:    options.holdsLease,
		SettleTime:    options.settleTime,
		Sources:       options.sources,
		HistoryBytes:  share(i.settings, historyFraction),
		PartBytes:     share(i.settings, partFraction),
		Timing:        i.deliveryTiming(),
		Logger:        i.logger,
		Now:           i.now,
	})
	n.upstream = delivery.NewUpstream(delivery.UpstreamOptions{
		ID:                   i.settings.Instance,
		Zone:                 i.settings.Zone,
		Address:              options.address,
		Post:                 n.loop.Post,
		Source:               n.source,
		Membership:           membership,
		ControlAddresses:     options.upstreams,
		ReceiveConfiguration: options.receiveConfiguration,
		Timing:               i.deliveryTiming(),
		Logger:               i.logger,
		Now:                  i.now,
		Rand:                 i.newRand(),
	})
	n.loop.Add(membership, n.source, n.upstream)
	n.source.Register(n.mux)
	return n
}

// requestUpdate requests an update of the board from the ledger. It does not
// block and is safe for concurrent use.
func (n *sourceNode) requestUpdate() {
	select {
	case n.updateRequested <- struct{}{}:
	default:
	}
}

func (n *sourceNode) addActors(ctx context.Context, group *run.Group, stop context.CancelFunc, listener net.Listener) {
	addActor(ctx, group, stop, n.loop.Run)
	addActor(ctx, group, stop, n.upstream.Run)
	addActor(ctx, group, stop, n.runUpdates)
	addActor(ctx, group, stop, func(ctx context.Context) error {
		bounded := n.instance.connections.Listen(listener, connection.Options{Name: "sessions", Protocol: connection.Messages})
		return wire.Serve(ctx, bounded, n.mux, n.source.SessionClosed)
	})
}

// runUpdates updates the board after each request until the context ends.
func (n *sourceNode) runUpdates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.updateRequested:
		}
		err := n.loop.Post(ctx, func(_ time.Time, board *blackboard.Board) { n.updateBoard(board) })
		if err != nil {
			return fmt.Errorf("update the blackboard: %w", err)
		}
	}
}
