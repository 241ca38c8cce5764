package instance

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/clock"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/ledger"
	"github.com/hornbeamwell/hornbeamwell/route"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/target"
)

const (
	// boardTick is the longest time between two steps of the blackboard's
	// controllers.
	boardTick = 100 * time.Millisecond
	// defaultStopTimeout bounds the drain, including the wait for calls in
	// flight, if the settings give no limit.
	defaultStopTimeout = 30 * time.Second
	// readHeaderTimeout bounds the time to read the header of a request to the
	// endpoint, the announcement server or a server added by WithServer.
	readHeaderTimeout = 5 * time.Second
	// serverIdleTimeout is the time after which these servers close an idle connection.
	serverIdleTimeout = 2 * time.Minute
	// pingAfter is the time without a frame after which a connection of HTTP/2 is probed.
	pingAfter = 15 * time.Second
	// maxServerHeaderBytes bounds the header of a request to them.
	maxServerHeaderBytes = 64 << 10
)

// Option configures an Instance.
type Option func(*Instance)

// WithLogger sets the logger. The default discards all lines.
func WithLogger(logger log.Logger) Option {
	return func(i *Instance) { i.logger = logger }
}

// WithFirstStart declares that no process has run under this id before. The
// records of calls with an idempotency key are then complete from the start,
// because no earlier process can have run such a call.
func WithFirstStart() Option {
	return func(i *Instance) { i.isFirstStart = true }
}

// WithHeaderCodec sets the codec of the headers that are exchanged with callers
// and targets.
func WithHeaderCodec(codec hornbeamwell.HeaderCodec) Option {
	return func(i *Instance) { i.headerCodec = codec }
}

// WithServer adds an HTTP server of the embedding program. The name is that of its listener
// in metrics and log lines. The server is shut down after the drain.
func WithServer(name string, address netip.AddrPort, handler func(*Instance) http.Handler) Option {
	return func(i *Instance) {
		i.extraServers = append(i.extraServers, extraServer{name: name, address: address, handler: handler})
	}
}

// WithClock sets the function that returns the time of day. The default is
// time.Now. A control instance or a relay reads it only once, to start its steady
// clock.
func WithClock(now func() time.Time) Option {
	return func(i *Instance) { i.now = now }
}

// WithDataFolderWrapper sets a function that wraps the data folder of the ledger.
func WithDataFolderWrapper(wrap func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder) Option {
	return func(i *Instance) { i.wrapFolder = wrap }
}

// extraServer is an HTTP server of the embedding program.
type extraServer struct {
	name     string
	address  netip.AddrPort
	handler  func(*Instance) http.Handler
	listener net.Listener
}

// Instance is one process of the system: a proxy, a control instance, a relay,
// or a proxy with one of the other two.
type Instance struct {
	settings settings.Settings
	logger   log.Logger
	now      func() time.Time
	// leaseNow returns the time of a clock that counts suspensions and ignores
	// steps of the wall clock. On a control instance and on a relay now is the
	// same function.
	leaseNow func() time.Time
	// isFirstStart is true if no process has run under this id before.
	isFirstStart bool
	// wrapFolder wraps the data folder of the ledger. It may be nil.
	wrapFolder  func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder
	headerCodec hornbeamwell.HeaderCodec
	ready       readiness
	tracing     *tracing
	// connections bounds what clients can make the process hold.
	connections *connection.Table
	// dataPlane is nil if this process has no proxy.
	dataPlane *dataPlane
	// control is nil if this process is not a control instance.
	control *control
	// relay is nil if this process is not a relay.
	relay *relay
	// endpoint is the listener for metrics, health checks and the operator API.
	// It is nil if the settings have no operator address.
	endpoint     net.Listener
	extraServers []extraServer
	// stop is the schedule of a planned stop, nil before it and where the grace period is
	// not known.
	stop atomic.Pointer[route.Stop]
	// exitDue is closed at the end of the schedule.
	exitDue chan struct{}
	// listeners are closed at the latest when Run returns.
	listeners []net.Listener
}

// New assembles a process from checked settings and opens its listeners. The
// listeners are closed when Run returns.
func New(s settings.Settings, options ...Option) (*Instance, error) {
	i := &Instance{
		settings: s,
		logger:   log.NewNopLogger(),
		now:      time.Now,
		exitDue:  make(chan struct{}),
	}
	for _, option := range options {
		option(i)
	}
	i.logger = log.With(i.logger, "instance", s.Instance)
	steadyClock, err := clock.NewSteady(i.now())
	if err != nil {
		return nil, err
	}
	i.leaseNow = steadyClock.Now
	if s.Control != nil || s.Relay != nil {
		i.now = i.leaseNow
	}
	i.connections = connection.NewTable(clientLimits(s), i.logger)
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
		i.dataPlane, err = newDataPlane(i)
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
	for n := range i.extraServers {
		if err == nil {
			i.extraServers[n].listener, err = i.listen(i.extraServers[n].address)
		}
	}
	return err
}

// IsReady reports whether a configuration is in force in this process and a
// stop has not begun. It is always false in a process without a proxy.
func (i *Instance) IsReady() bool { return i.ready.isReady() }

// Announcer returns the announcer of the local target, or nil if this process
// has no proxy.
func (i *Instance) Announcer() *target.Announcer {
	if i.dataPlane == nil {
		return nil
	}
	return i.dataPlane.announcer
}

// Operator returns the implementation of the operator API, or nil if this
// process is not a control instance.
func (i *Instance) Operator() schema.OperatorServiceHandler {
	if i.control == nil {
		return nil
	}
	return i.control.operator
}

// RemoteLeader returns the IP address of the leader. It returns false if no
// leader is known, this instance is the leader, or this process is not a control
// instance.
func (i *Instance) RemoteLeader() (netip.Addr, bool) {
	if i.control == nil {
		return netip.Addr{}, false
	}
	status := i.control.ledger.inner.Status()
	isRemote := !status.HoldsLease && status.LeaderAddress.IsValid() && status.Leader != status.ID
	return status.LeaderAddress.Addr(), isRemote
}

// Reload applies the settings that may change while the process runs: the
// sources and the seeds.
func (i *Instance) Reload(s settings.Settings) {
	if i.dataPlane != nil {
		i.dataPlane.subscriber.SetSources(s.Sources)
	}
	if i.control != nil && s.Control != nil {
		i.control.seeds.Store(&s.Control.Seeds)
	}
	_ = i.logger.Log("event", "reloaded", "sources", fmt.Sprint(s.Sources))
}

// ledgerTiming returns the ledger's timing for the configured pace.
func (i *Instance) ledgerTiming() ledger.Timing {
	if i.settings.Pace == settings.PaceSite {
		return ledger.SiteTiming()
	}
	return ledger.DefaultTiming()
}

// deliveryTiming returns the timing of delivery sessions for the configured
// pace. Both ends of a session have to use the same one.
func (i *Instance) deliveryTiming() delivery.Timing {
	if i.settings.Pace == settings.PaceSite {
		return delivery.SiteTiming()
	}
	return delivery.DefaultTiming()
}

// newRand returns a new random number generator. It is not safe for concurrent
// use.
func (i *Instance) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// listen opens a listener, which closeListeners closes.
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

// Run runs the process until the context ends and then stops it gracefully. It
// returns nil after a graceful stop. It returns an error if a component failed,
// if calls were still in flight when the drain timed out, or if the remaining
// trace spans could not be exported. Components that have not ended when the grace
// period of a planned stop does are left running, and the process is to end.
func (i *Instance) Run(ctx context.Context) error {
	defer i.closeListeners()
	// The components keep running after ctx until the drain has ended.
	runCtx, stopRun := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRun()
	var group run.Group
	group.Add(func() error { return i.awaitStop(ctx, runCtx) }, func(error) { stopRun() })
	if i.dataPlane != nil {
		i.dataPlane.addActors(runCtx, &group, stopRun)
	}
	if i.control != nil {
		i.control.addActors(runCtx, &group, stopRun)
	}
	if i.relay != nil {
		i.relay.addActors(runCtx, &group, stopRun)
	}
	if i.endpoint != nil {
		i.newServer(i.endpointServer(), i.endpoint, "operator").addTo(runCtx, &group, i.shutdownLimits)
	}
	for _, e := range i.extraServers {
		i.newServer(newHTTPServer(e.handler(i)), e.listener, e.name).addTo(runCtx, &group, i.shutdownLimits)
	}
	_ = i.logger.Log("event", "started", "zone", i.settings.Zone, "proxy", i.dataPlane != nil, "control", i.control != nil)
	err := i.runComponents(&group)
	_ = i.logger.Log("event", "stopped", "err", err)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil
	}
	flushLimit, _ := i.shutdownLimits()
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushLimit)
	defer cancel()
	if traceErr := i.tracing.shutdown(flushCtx); err == nil {
		err = traceErr
	}
	return err
}

// runComponents runs the group until its components have ended. At a planned stop it
// returns at the end of the schedule at the latest, so that the process is not killed.
func (i *Instance) runComponents(group *run.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	select {
	case err := <-ended:
		return err
	case <-i.exitDue:
		stop := i.stop.Load()
		_ = i.logger.Log("event", "components_left_running", "since_signal_ms", i.now().Sub(stop.Began).Milliseconds(), "grace_ms", stop.Grace.Milliseconds())
		return nil
	}
}

// endpointServer returns the server for metrics and health checks, and on a
// control instance for the operator API.
func (i *Instance) endpointServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	handler := endpointHandler(&i.ready, "", nil)
	if i.control != nil {
		path, operator := i.control.handler()
		handler = endpointHandler(&i.ready, path, operator)
	}
	server := newHTTPServer(handler)
	server.IdleTimeout = 0
	server.Protocols = &protocols
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          connection.MaxStreams,
		MaxReceiveBufferPerConnection: connection.ConnectionWindow,
		MaxReadFrameSize:              connection.FrameBytes,
		SendPingTimeout:               pingAfter,
	}
	return server
}

// newHTTPServer returns a server with the limits of all servers but those for calls.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxServerHeaderBytes,
	}
}

// newServer returns a server whose handlers read request bodies as a whole. The name is that of its
// listener.
func (i *Instance) newServer(server *http.Server, listener net.Listener, name string) *gracefulServer {
	return newGracefulServer(server, listener).
		bound(i.connections, connection.Options{Name: name, IdleTimeout: serverIdleTimeout}, connection.Refuse)
}

// awaitStop waits until ctx ends and then drains the process: it transfers the
// leadership and the vote in the ledger, and waits for calls in flight.
func (i *Instance) awaitStop(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return runCtx.Err()
	}
	i.ready.stopping.Store(true)
	drainTimeout := i.beginStop(i.now())
	_ = i.logger.Log("event", "drain_started", "grace_ms", i.settings.Stop.Grace.Milliseconds(), "drain_ms", drainTimeout.Milliseconds())
	drainCtx, cancel := context.WithTimeout(runCtx, drainTimeout)
	defer cancel()
	left := make(chan struct{})
	go func() {
		defer close(left)
		if i.control != nil {
			i.control.leave(drainCtx)
		}
	}()
	var err error
	if i.dataPlane != nil {
		err = i.dataPlane.drain(drainCtx)
	}
	<-left
	if err != nil {
		_ = i.logger.Log("event", "drain_incomplete", "err", err)
		return err
	}
	_ = i.logger.Log("event", "drain_finished")
	return nil
}

// beginStop begins a planned stop and returns the time that the drain may take.
func (i *Instance) beginStop(now time.Time) time.Duration {
	if i.settings.Stop.Grace == 0 {
		return cmp.Or(i.settings.Stop.Timeout, defaultStopTimeout)
	}
	stop := &route.Stop{Began: now, Grace: i.settings.Stop.Grace}
	i.stop.Store(stop)
	time.AfterFunc(stop.ExitAt().Sub(now), func() { close(i.exitDue) })
	if i.dataPlane != nil {
		i.dataPlane.proxy.BeginStop(now)
	}
	return stop.EndAt().Sub(now)
}

// shutdownLimits returns the time that the shutdown of a component may take from now on,
// and that for which a server waits for connections on which no request has arrived. All
// components together end with the schedule of a planned stop.
func (i *Instance) shutdownLimits() (total, unused time.Duration) {
	stop := i.stop.Load()
	if stop == nil {
		return shutdownTimeout, shutdownTimeout
	}
	total, unused = stop.ShutdownLimits(i.now())
	return min(total, shutdownTimeout), unused
}

// addActor adds an actor to the group. It runs until ctx ends; the interruption
// of the group calls stop.
func addActor(ctx context.Context, group *run.Group, stop context.CancelFunc, actor func(context.Context) error) {
	group.Add(func() error { return actor(ctx) }, func(error) { stop() })
}
