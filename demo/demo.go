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

// The pace of the demonstration.
const (
	// callRate is the number of calls a second.
	callRate = 600
	// callTimeout bounds one question to a control instance.
	callTimeout = 5 * time.Second
	// stepTimeout bounds one step of the story.
	stepTimeout = 15 * time.Second
	// moveTime is the time from the start of a move to its deadline.
	moveTime = 50 * time.Second
	// totalTimeout bounds the whole demonstration.
	totalTimeout = 58 * time.Second
	// absence is the time for which a control instance is away.
	absence = 3 * time.Second
	// badGrace is the time after the end of a bad move from which the bad
	// version answers no call.
	badGrace = 2 * time.Second
	// badAfter is the time from its start at which the bad version turns bad.
	badAfter = 6 * time.Second
	// badFailureShare is the part of the orders that the bad version fails.
	badFailureShare = 0.5
	// pollPeriod is the time between two questions of a step that waits.
	pollPeriod = 50 * time.Millisecond
)

// The number of targets, and of proxies: one beside each target and one in each
// control instance.
const (
	targetCount = 4 * controlCount
	proxyCount  = targetCount + controlCount
)

// Options describe a demonstration.
type Options struct {
	// Progress takes each line of progress with the time since the start.
	Progress func(since time.Duration, line string)
	Logger   log.Logger
}

// story is one demonstration under way.
type story struct {
	options Options
	started time.Time
	fleet   *fleet
	client  *console.Client
	load    *load.Load
	watch   *watch
	result  Result
}

// Run runs the demonstration and returns what was seen. The error says why it
// could not be carried through.
func Run(ctx context.Context, options Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "hornbeamwell-demo-")
	if err != nil {
		return nil, fmt.Errorf("make a data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	fleet, err := newFleet(ctx, folder, options.Logger)
	if err != nil {
		return nil, err
	}
	s := &story{options: options, started: time.Now(), fleet: fleet}
	// Processes outlive the story, so that its end is a graceful stop.
	processes, stopProcesses := context.WithCancel(context.WithoutCancel(ctx))
	err = s.tell(ctx, processes)
	s.say("stopping every process gracefully")
	stopProcesses()
	for _, id := range fleet.ids() {
		fleet.stop(id)
	}
	fleet.ended.Wait()
	s.result.Failures = append(s.result.Failures, fleet.failures...)
	s.result.Duration = time.Since(s.started)
	s.result.Violations = countViolations()
	return &s.result, err
}

// tell goes through the steps.
func (s *story) tell(ctx, processes context.Context) error {
	if err := s.startSystem(ctx, processes); err != nil {
		return err
	}
	watched, stopWatch := context.WithCancel(ctx)
	go s.watch.run(watched)
	err := s.withCallers(ctx, func() error { return s.changes(ctx, processes) })
	stopWatch()
	s.result.Returned, s.result.Looks = s.watch.returned()
	return err
}

// startSystem starts the processes and applies the first configuration.
func (s *story) startSystem(ctx, processes context.Context) error {
	if err := s.fleet.startControl(processes); err != nil {
		return err
	}
	s.say("started 3 control instances, one in each of %s, %s and %s", zones[0], zones[1], zones[2])
	var err error
	if s.client, err = console.New(s.fleet.operators()); err != nil {
		return fmt.Errorf("connect to the control instances: %w", err)
	}
	s.watch = newWatch(s.client)
	leader, err := s.awaitLeader(ctx)
	if err != nil {
		return err
	}
	s.say("%s leads", leader)
	if err := s.startTargets(processes); err != nil {
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

// call asks the control instances.
func call[Req, Resp any](ctx context.Context, s *story, method console.Method[Req, Resp], req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return console.Call(ctx, s.client, method, req)
}

// apply applies the routes. It returns the version and the time at which it was
// accepted.
func (s *story) apply(ctx context.Context, what string, routes []*schema.Route) (uint64, time.Time, error) {
	asked := time.Now()
	req := &schema.ApplyRequest{RequestId: uuid.NewString(), Services: services(), Routes: routes}
	resp, err := call(ctx, s, schema.OperatorServiceClient.Apply, req)
	if err != nil {
		return 0, time.Time{}, fmt.Errorf("apply the configuration: %w", err)
	}
	accepted := time.Now()
	s.say("applied %s: accepted as version %d after %d ms", what, resp.GetVersion(), accepted.Sub(asked).Milliseconds())
	return resp.GetVersion(), accepted, nil
}

func (s *story) say(format string, args ...any) {
	s.options.Progress(time.Since(s.started), fmt.Sprintf(format, args...))
}
