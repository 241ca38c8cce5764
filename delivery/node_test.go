package delivery

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

func TestMain(m *testing.M) {
	if source := os.Getenv(herdSourceEnv); source != "" {
		runHerd(source, os.Getenv(herdCountEnv))
	}
	hornbeamwell.PanicOnViolation.Store(true)
	os.Exit(m.Run())
}

// node is a source with its loop, listening on a loopback address.
type node struct {
	source     *Source
	upstream   *Upstream
	membership *target.Membership
	loop       *blackboard.Loop
	address    netip.AddrPort
	stop       context.CancelFunc
}

// nodeOptions are the options of a node. The upstream connects to leaders; a
// node without leaders leads.
type nodeOptions struct {
	id            string
	listenAddress netip.AddrPort
	leaders       []netip.AddrPort
	isFollower    bool
	timing        Timing
	// sources are sent to proxies. It may be nil.
	sources func() []SourceAddress
}

func startNode(t testing.TB, id string, leaders ...netip.AddrPort) *node {
	t.Helper()
	return startNodeWith(t, nodeOptions{id: id, leaders: leaders})
}

func startNodeWith(t testing.TB, o nodeOptions) *node {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	listener := listen(ctx, o.listenAddress)
	if listener == nil {
		t.Fatalf("the address %v is taken", o.listenAddress)
	}
	n := &node{stop: stop, address: listener.Addr().(*net.TCPAddr).AddrPort()}
	post := func(ctx context.Context, event blackboard.Event) error { return n.loop.Post(ctx, event) }
	n.membership = target.NewMembership(target.MembershipOptions{})
	n.source = NewSource(SourceOptions{
		ID: o.id, Post: post, Membership: n.membership, SettleTime: time.Nanosecond, Timing: o.timing,
		Sources: o.sources,
		LeaderAddress: func() netip.AddrPort {
			if len(o.leaders) == 0 {
				return n.address
			}
			return o.leaders[0]
		},
	})
	n.upstream = NewUpstream(UpstreamOptions{
		ID: o.id, Address: n.address, Post: post, Source: n.source, Membership: n.membership,
		ReceiveConfiguration: !o.isFollower, Timing: o.timing,
		ControlAddresses: func() []netip.AddrPort { return o.leaders },
	})
	n.loop = blackboard.NewLoop(time.Now, 20*time.Millisecond, n.membership, n.source, n.upstream)
	mux := wire.NewMux()
	n.source.Register(mux)
	go func() { _ = wire.Serve(ctx, listener, mux, n.source.SessionClosed) }()
	go func() { _ = n.loop.Run(ctx) }()
	go func() { _ = n.upstream.Run(ctx) }()
	if len(o.leaders) == 0 {
		n.do(t, func(b *blackboard.Board) { b.Leadership.HoldsLease = true })
	}
	return n
}

// listen listens on the address or, if it is invalid, on a port between the
// ports that package standin allocates and the ephemeral ports, so that a
// stopped node can be started again on the same port.
func listen(ctx context.Context, at netip.AddrPort) net.Listener {
	var config net.ListenConfig
	for range 20 {
		address := at
		if !at.IsValid() {
			address = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(30_000+rand.IntN(2_500)))
		}
		if listener, err := config.Listen(ctx, "tcp", address.String()); err == nil {
			return listener
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (n *node) do(t testing.TB, event func(*blackboard.Board)) {
	t.Helper()
	err := n.loop.Do(t.Context(), func(_ time.Time, b *blackboard.Board) { event(b) })
	if err != nil {
		t.Fatal(err)
	}
}

func (n *node) configure(t testing.TB, c *hornbeamwell.Configuration) {
	t.Helper()
	n.do(t, func(b *blackboard.Board) { b.Configuration = c })
}

func (n *node) convergence(t testing.TB) hornbeamwell.Convergence {
	t.Helper()
	var c hornbeamwell.Convergence
	n.do(t, func(b *blackboard.Board) { c = b.Convergence })
	return c
}

// proxy is a subscriber that records its last update.
type proxy struct {
	*Subscriber
	stop context.CancelFunc
	// stopped is closed when Run has returned.
	stopped chan struct{}
	mu      sync.Mutex
	last    Update
}

func (p *proxy) hasStopped() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

func startProxy(t testing.TB, id string, sources ...netip.AddrPort) *proxy {
	t.Helper()
	return startProxyWith(t, SubscriberOptions{ID: id, Sources: sources})
}

func startProxyWith(t testing.TB, options SubscriberOptions) *proxy {
	t.Helper()
	p := &proxy{stopped: make(chan struct{})}
	options.Apply = func(_ time.Time, u Update) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.last = u
		return nil
	}
	p.Subscriber = NewSubscriber(options)
	ctx, stop := context.WithCancel(t.Context())
	p.stop = stop
	t.Cleanup(stop)
	go func() {
		_ = p.Run(ctx)
		close(p.stopped)
	}()
	return p
}

func (p *proxy) state() Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Configuration == nil {
		p.last.Configuration = &hornbeamwell.Configuration{}
	}
	return p.last
}

func (p *proxy) target(id string) (hornbeamwell.Target, bool) {
	for _, t := range p.state().Targets {
		if t.ID == id {
			return t, true
		}
	}
	return hornbeamwell.Target{}, false
}

// waitFor fails the test if the condition is not met within the limit, and
// returns how long it took.
func waitFor(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(began)
}

// sampleConfiguration returns a configuration with the services and one route
// for each.
func sampleConfiguration(version int, services ...string) *hornbeamwell.Configuration {
	c := &hornbeamwell.Configuration{Version: hornbeamwell.ConfigVersion(version)}
	for _, name := range services {
		c.Services = append(c.Services, hornbeamwell.Service{
			Name:     name,
			Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}},
		})
		c.Routes = append(c.Routes, hornbeamwell.Route{
			Name: name, PathPrefix: "/" + name, Service: name, Timeout: time.Second,
			MaxBodyBytes: int64(1 + version), MaxAttempts: 1, Class: hornbeamwell.ClassInteractive,
		})
	}
	return c
}

func sampleTarget(id, service string, sequence uint64) hornbeamwell.Target {
	return hornbeamwell.Target{
		ID: id, Service: service, Version: "v1", Zone: "a", Exit: netip.MustParseAddrPort("127.0.0.1:7001"),
		Slots: 10, Connections: 120, Incarnation: 1, Sequence: sequence, State: hornbeamwell.TargetReady,
	}
}
