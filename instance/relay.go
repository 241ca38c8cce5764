package instance

import (
	"context"
	"net"
	"net/netip"

	"github.com/oklog/run"
)

// relay distributes configurations to proxies. It is not a member of the ledger.
type relay struct {
	source   *sourceNode
	listener net.Listener
}

func newRelay(i *Instance) (*relay, error) {
	s := i.settings.Relay
	r := &relay{source: newSourceNode(i, sourceOptions{
		address:              s.Listen,
		leaderAddress:        func() netip.AddrPort { return netip.AddrPort{} },
		upstreams:            func() []netip.AddrPort { return s.Upstreams },
		receiveConfiguration: true,
	})}
	var err error
	r.listener, err = i.listen(s.Listen)
	return r, err
}

func (r *relay) addActors(ctx context.Context, group *run.Group, stop context.CancelFunc) {
	r.source.addActors(ctx, group, stop, r.listener)
}
