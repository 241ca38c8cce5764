// Package instance assembles the parts of one process from its settings.
package instance

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/clock"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/ledger"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/target"
)

const (
	// boardTick is the longest time between two steps of the controllers.
	boardTick = 100 * time.Millisecond
	// drainTimeout bounds the wait for calls in flight at a graceful stop.
	drainTimeout = 30 * time.Second
	// headerTimeout bounds the reading of a request's header on the endpoint
	// and announcement servers.
	headerTimeout = 5 * time.Second
)

// Option changes how an Instance is assembled.
type Option func(*Instance)

// WithLogger sets the logger. The default drops every line.
func WithLogger(logger log.Logger) Option {
	return func(i *Instance) { i.logger = logger }
}

// WithFirstStart says that no process ran under this id before, so that this
// one knows of every call with an idempotency key from its start on.
func WithFirstStart() Option {
	return func(i *Instance) { i.firstStart = true }
}

// WithHeaderCodec sets the headers towards callers and targets.
func WithHeaderCodec(dialect hornbeamwell.HeaderCodec) Option {
	return func(i *Instance) { i.dialect = dialect }
}

// WithServer adds a server of the embedding program. It stops after the calls in
// flight have ended.
func WithServer(address netip.AddrPort, handler func(*Instance) http.Handler) Option {
	return func(i *Instance) { i.extra = append(i.extra, extraServer{address: address, handler: handler}) }
}

// WithClock sets the clock of the time of day.
func WithClock(now func() time.Time) Option {
	return func(i *Instance) { i.now = now }
}

// WithDataFolder puts a folder of the embedding program between the ledger and its
// data folder.
func WithDataFolder(wrap func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder) Option {
	return func(i *Instance) { i.wrapFolder = wrap }
}

// extraServer is a server of the embedding program.
type extraServer struct {
	address  netip.AddrPort
	handler  func(*Instance) http.Handler
	listener net.Listener
}

// Instance is one process of the system.
type Instance struct {
	settings settings.Settings
	logger   log.Logger
	now      func() time.Time
	// firstStart is true where no process ran under this id before.
	firstStart bool
	// wrapFolder is nil where the ledger uses its data folder as it is.
	wrapFolder func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder
	dialect    hornbeamwell.HeaderCodec
	ready      readiness
	tracing    *tracing
	// traffic is nil where this process has no data path.
	traffic *traffic
	// control is nil where this process holds no control state.
	control *control
	// relay is nil where this process is no relay.
	relay *relay
	// endpoint serves operators, metrics and health. It is nil where the
	// settings name no address.
	endpoint net.Listener
	extra    []extraServer
	// listeners are open from New until Run has ended.
	listeners []net.Listener
}

// New assembles a process and opens its listeners.
func New(s settings.Settings, options ...Option) (*Instance, error) {
	i := &Instance{
		settings: s,
		logger:   log.NewNopLogger(),
		now:      time.Now,
	}
	for _, option := range options {
		option(i)
	}
	i.logger = log.With(i.logger, "instance", s.Instance)
	if s.Control != nil {
		steady, err := clock.NewSteady(i.now())
		if err != nil {
			return nil, err
		}
		i.now = steady.Now
	}
	if err := i.assemble(); err != nil {
		i.closeListeners()
		return nil, err
	}
	return i, nil
}

func (i *Instance) assemble() error {
	var err error
	i.tracing, err = newTracing(context.Background(), i.settings.TraceEndpoint, i.settings.Instance, i.settings.Zone)
	if err != nil {
		return err
	}
	if i.settings.HasProxy() {
		i.traffic, err = newTraffic(i)
	}
	if err == nil && i.settings.Control != nil {
		i.control, err = newControl(i)
	}
	if err == nil && i.settings.Relay != nil {
		i.relay, err = newRelay(i)
	}
	if err == nil && i.settings.Operator.IsValid() {
		i.endpoint, err = i.listen(i.settings.Operator)
	}
	for n := range i.extra {
		if err == nil {
			i.extra[n].listener, err = i.listen(i.extra[n].address)
		}
	}
	return err
}

// IsReady reports whether this process takes new work.
func (i *Instance) IsReady() bool { return i.ready.isReady() }

// Announcer takes the announcements of the target beside this process. It is nil
// where this process has no data path.
func (i *Instance) Announcer() *target.Announcer {
	if i.traffic == nil {
		return nil
	}
	return i.traffic.announcer
}

// Operator answers operators' calls. It is nil where this process holds no
// control state.
func (i *Instance) Operator() schema.OperatorServiceHandler {
	if i.control == nil {
		return nil
	}
	return i.control.operator
}

// RemoteLeader returns the IP number of the control instance that leads, and false
// where that is this one or none is known.
func (i *Instance) RemoteLeader() (netip.Addr, bool) {
	if i.control == nil {
		return netip.Addr{}, false
	}
	status := i.control.log.ledger.Status()
	isOther := !status.HoldsLease && status.LeaderAddress.IsValid() && status.Leader != status.ID
	return status.LeaderAddress.Addr(), isOther
}

// Reload takes what may change in a running process from new settings: the
// sources and the seeds.
func (i *Instance) Reload(s settings.Settings) {
	if i.traffic != nil {
		i.traffic.subscriber.SetSources(s.Sources)
	}
	if i.control != nil && s.Control != nil {
		i.control.seeds.Store(&s.Control.Seeds)
	}
	_ = i.logger.Log("event", "reloaded", "sources", fmt.Sprint(s.Sources))
}

// ledgerTiming returns the periods of the ledger.
func (i *Instance) ledgerTiming() ledger.Timing {
	if i.settings.Pace == settings.PaceSite {
		return ledger.SiteTiming()
	}
	return ledger.DefaultTiming()
}

// timing returns the times that the ends of a session agree on.
func (i *Instance) timing() delivery.Timing {
	if i.settings.Pace == settings.PaceSite {
		return delivery.SiteTiming()
	}
	return delivery.DefaultTiming()
}

// newRandom returns a source of randomness for one part.
func (i *Instance) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// listen opens a listener that closeListeners closes.
func (i *Instance) listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	i.listeners = append(i.listeners, listener)
	return listener, nil
}

func (i *Instance) closeListeners() {
	for _, l := range i.listeners {
		_ = l.Close()
	}
}

// Run runs the process until the context ends, then stops it gracefully. It
// returns nil after a graceful stop, and an error where calls were still in
// flight after drainTimeout or a part failed.
func (i *Instance) Run(ctx context.Context) error {
	defer i.closeListeners()
	// The parts outlive ctx until the drain has ended.
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var group run.Group
	group.Add(func() error { return i.awaitStop(ctx, parts) }, func(error) { stopParts() })
	if i.traffic != nil {
		i.traffic.addActors(parts, &group, stopParts)
	}
	if i.control != nil {
		i.control.addActors(parts, &group, stopParts)
	}
	if i.relay != nil {
		i.relay.addActors(parts, &group, stopParts)
	}
	if i.endpoint != nil {
		newGracefulServer(i.endpointServer(), i.endpoint).addTo(parts, &group)
	}
	for _, e := range i.extra {
		server := &http.Server{Handler: e.handler(i), ReadHeaderTimeout: headerTimeout}
		newGracefulServer(server, e.listener).addTo(parts, &group)
	}
	_ = i.logger.Log("event", "started", "zone", i.settings.Zone, "proxy", i.traffic != nil, "control", i.control != nil)
	err := group.Run()
	_ = i.logger.Log("event", "stopped", "err", err)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil
	}
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if traceErr := i.tracing.shutdown(flush); err == nil {
		err = traceErr
	}
	return err
}

// endpointServer serves metrics and health, and operators' calls on a control
// instance.
func (i *Instance) endpointServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Protocols: &protocols}
	server.Handler = endpointHandler(&i.ready, "", nil)
	if i.control != nil {
		path, handler := i.control.handler()
		server.Handler = endpointHandler(&i.ready, path, handler)
	}
	return server
}

// awaitStop waits for the end of ctx, then lets the calls in flight finish.
func (i *Instance) awaitStop(ctx, parts context.Context) error {
	select {
	case <-ctx.Done():
	case <-parts.Done():
		return parts.Err()
	}
	i.ready.stopping.Store(true)
	_ = i.logger.Log("event", "drain_started")
	drain, cancel := context.WithTimeout(parts, cmp.Or(i.settings.Stop.Timeout, drainTimeout))
	defer cancel()
	if i.control != nil {
		i.control.handOver(drain)
	}
	if i.traffic == nil {
		_ = i.logger.Log("event", "drain_finished")
		return nil
	}
	if err := i.traffic.drain(drain); err != nil {
		_ = i.logger.Log("event", "drain_incomplete", "err", err)
		return err
	}
	_ = i.logger.Log("event", "drain_finished")
	return nil
}

// addRun adds an actor that runs until its context ends.
func addRun(ctx context.Context, group *run.Group, stop context.CancelFunc, actor func(context.Context) error) {
	group.Add(func() error { return actor(ctx) }, func(error) { stop() })
}
