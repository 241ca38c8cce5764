package demo

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// Rates, times and timeouts of the demonstration.
const (
	// callRate is the number of calls per second.
	callRate = 600
	// queryTimeout bounds one request of the version watcher to a control
	// instance.
	queryTimeout = 5 * time.Second
	// stepTimeout bounds each request and each wait of a step, except the wait for
	// the end of a move, which may take moveTime longer.
	stepTimeout = 15 * time.Second
	// moveTime is the time from the start of a move to its deadline.
	moveTime = 50 * time.Second
	// totalTimeout bounds the steps of the demonstration together, without the stop
	// of the processes after them.
	totalTimeout = 58 * time.Second
	// leaderDowntime is the time for which the stopped leader stays down after
	// the others have converged.
	leaderDowntime = 3 * time.Second
	// badGrace is the time after the end of the bad move within which the bad
	// version may still answer calls.
	badGrace = 2 * time.Second
	// badFaultsAfter is the time from its start after which the bad version
	// fails orders.
	badFaultsAfter = 6 * time.Second
	// badFailureShare is the fraction of orders that the bad version fails.
	badFailureShare = 0.5
	// pollInterval is the time between two polls of a step that waits.
	pollInterval = 50 * time.Millisecond
)

// The numbers of targets and of proxies. A proxy runs beside each target and in
// each control instance.
const (
	targetCount = 4 * controlCount
	proxyCount  = targetCount + controlCount
)

// Options configures a demonstration.
type Options struct {
	// Progress receives each line of progress with the time since the start. It
	// must not be nil and may be called concurrently.
	Progress func(since time.Duration, line string)
	// Logger receives the log lines of every process.
	Logger log.Logger
}

// scenario is a running demonstration.
type scenario struct {
	options Options
	started time.Time
	cluster *cluster
	client  *console.Client
	load    *load.Load
	watcher *versionWatcher
	result  Result
}

// Run runs the demonstration and returns what it observed. It returns an error
// if a step failed, together with the result up to that step. The result is nil
// if the cluster could not be set up.
func Run(ctx context.Context, options Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "hornbeamwell-demo-")
	if err != nil {
		return nil, fmt.Errorf("create a data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c, err := newCluster(ctx, folder, options.Logger)
	if err != nil {
		return nil, err
	}
	s := &scenario{options: options, started: time.Now(), cluster: c}
	// The processes outlive the context of the steps, so that they stop
	// gracefully after a timeout too.
	processCtx, stopProcesses := context.WithCancel(context.WithoutCancel(ctx))
	err = s.runSteps(ctx, processCtx)
	s.progressf("stopping all processes gracefully")
	stopProcesses()
	for _, id := range c.ids() {
		c.stop(id)
	}
	c.running.Wait()
	s.result.Failures = append(s.result.Failures, c.failures...)
	s.result.Duration = time.Since(s.started)
	s.result.Violations = countViolations()
	return &s.result, err
}

func (s *scenario) runSteps(ctx, processCtx context.Context) error {
	if err := s.startSystem(ctx, processCtx); err != nil {
		return err
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	go s.watcher.run(watchCtx)
	err := s.withCallers(ctx, func() error { return s.runChanges(ctx, processCtx) })
	stopWatch()
	s.result.Regressions, s.result.Polls = s.watcher.summary()
	return err
}

// startSystem starts the processes and targets and applies the first
// configuration.
func (s *scenario) startSystem(ctx, processCtx context.Context) error {
	if err := s.cluster.startControl(processCtx); err != nil {
		return err
	}
	s.progressf("started 3 control instances, one in each of %s, %s and %s", zones[0], zones[1], zones[2])
	var err error
	if s.client, err = console.New(s.cluster.operatorAddresses()); err != nil {
		return fmt.Errorf("connect to the control instances: %w", err)
	}
	s.watcher = newVersionWatcher(s.client)
	leader, err := s.awaitLeader(ctx)
	if err != nil {
		return err
	}
	s.progressf("%s is the leader", leader)
	if err := s.startTargets(processCtx); err != nil {
		return err
	}
	if err := s.awaitTargets(ctx, targetCount); err != nil {
		return err
	}
	version, accepted, err := s.apply(ctx, "the services and routes", routes(2*time.Second))
	if err != nil {
		return err
	}
	return s.awaitInForce(ctx, version, accepted, proxyCount, 0)
}

// call calls an operator method on the control instances, within stepTimeout.
func call[Req, Resp any](ctx context.Context, s *scenario, method console.Method[Req, Resp], req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return console.Call(ctx, s.client, method, req)
}

// apply applies the services with the routes. It returns the version and the
// time at which it was accepted.
func (s *scenario) apply(ctx context.Context, what string, routes []*schema.Route) (uint64, time.Time, error) {
	sent := time.Now()
	req := &schema.ApplyRequest{RequestId: uuid.NewString(), Services: services(), Routes: routes}
	resp, err := call(ctx, s, schema.OperatorServiceClient.Apply, req)
	if err != nil {
		return 0, time.Time{}, fmt.Errorf("apply the configuration: %w", err)
	}
	accepted := time.Now()
	s.progressf("applied %s: accepted as version %d after %d ms", what, resp.GetVersion(), accepted.Sub(sent).Milliseconds())
	return resp.GetVersion(), accepted, nil
}

func (s *scenario) progressf(format string, args ...any) {
	s.options.Progress(time.Since(s.started), fmt.Sprintf(format, args...))
}
