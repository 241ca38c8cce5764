package instance

import (
	"context"
	"net"
	"net/netip"

	"github.com/oklog/run"
)

// relay fans configurations out to proxies without a vote of its own.
type relay struct {
	source   *sourceNode
	listener net.Listener
}

func newRelay(i *Instance) (*relay, error) {
	s := i.settings.Relay
	r := &relay{source: newSourceNode(i, sourceRole{
		address:           s.Listen,
		leaderAddress:     func() netip.AddrPort { return netip.AddrPort{} },
		upstreams:         func() []netip.AddrPort { return s.Upstreams },
		takeConfiguration: true,
	})}
	var err error
	r.listener, err = i.listen(s.Listen)
	return r, err
}

func (r *relay) addActors(parts context.Context, group *run.Group, stop context.CancelFunc) {
	r.source.addActors(parts, group, stop, r.listener)
}
