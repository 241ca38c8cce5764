package instance

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// sourceRole is what differs between a control instance and a relay.
type sourceRole struct {
	address           netip.AddrPort
	leaderAddress     func() netip.AddrPort
	upstreams         func() []netip.AddrPort
	takeConfiguration bool
	settleTime        time.Duration
	// sources returns where proxies find all sources. It may be nil.
	sources func() []netip.AddrPort
	// pull brings the board up to date with the ledger of this process. It is
	// nil where there is none.
	pull func(*blackboard.Board)
}

// sourceNode serves proxies from a blackboard of its own.
type sourceNode struct {
	instance *Instance
	loop     *blackboard.Loop
	mux      *wire.Mux
	source   *delivery.Source
	upstream *delivery.Upstream
	pull     func(*blackboard.Board)
	// changed holds a token while pull has something new.
	changed chan struct{}
}

func newSourceNode(i *Instance, role sourceRole) *sourceNode {
	n := &sourceNode{instance: i, mux: wire.NewMux(), pull: role.pull, changed: make(chan struct{}, 1)}
	n.loop = blackboard.NewLoop(i.now, boardTick)
	membership := target.NewMembership(target.MembershipOptions{Logger: i.logger})
	n.source = delivery.NewSource(delivery.SourceOptions{
		ID:            i.settings.Instance,
		Zone:          i.settings.Zone,
		Post:          n.loop.Post,
		Membership:    membership,
		LeaderAddress: role.leaderAddress,
		SettleTime:    role.settleTime,
		Sources:       role.sources,
		Timing:        i.timing(),
		Logger:        i.logger,
		Now:           i.now,
	})
	n.upstream = delivery.NewUpstream(delivery.UpstreamOptions{
		ID:                   i.settings.Instance,
		Zone:                 i.settings.Zone,
		Address:              role.address,
		Post:                 n.loop.Post,
		Source:               n.source,
		Membership:           membership,
		ControlAddresses:     role.upstreams,
		ReceiveConfiguration: role.takeConfiguration,
		Timing:               i.timing(),
		Logger:               i.logger,
		Now:                  i.now,
		Rand:                 i.newRandom(),
	})
	n.loop.Add(membership, n.source, n.upstream)
	n.source.Register(n.mux)
	return n
}

// refresh asks for a pull. It does not block and may be called on any
// goroutine.
func (n *sourceNode) refresh() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

func (n *sourceNode) addActors(parts context.Context, group *run.Group, stop context.CancelFunc, listener net.Listener) {
	addRun(parts, group, stop, n.loop.Run)
	addRun(parts, group, stop, n.upstream.Run)
	addRun(parts, group, stop, n.pullChanges)
	addRun(parts, group, stop, func(ctx context.Context) error {
		return wire.Serve(ctx, listener, n.mux, n.source.SessionClosed)
	})
}

// pullChanges pulls after each refresh.
func (n *sourceNode) pullChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.changed:
		}
		err := n.loop.Post(ctx, func(_ time.Time, board *blackboard.Board) { n.pull(board) })
		if err != nil {
			return fmt.Errorf("bring the blackboard up to date: %w", err)
		}
	}
}
