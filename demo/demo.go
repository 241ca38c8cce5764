package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/standin"
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
	// Say takes each line of progress with the time since the start.
	Say    func(since time.Duration, line string)
	Logger log.Logger
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

// startTargets starts each version of each service in every zone. The new
// version of the parts catalogue turns bad: from badAfter on half of its orders
// fail.
func (s *story) startTargets(processes context.Context) error {
	for _, service := range []string{serviceBooking, serviceParts} {
		v := versionsOf[service]
		if err := s.startVersion(processes, standin.Options{Service: service, Version: v.old}); err != nil {
			return err
		}
		options := standin.Options{Service: service, Version: v.new}
		if service == serviceParts {
			options.FaultsAfter = badAfter
			options.Paths = []standin.PathFault{{Prefix: orderPath, FailureShare: badFailureShare}}
		}
		if err := s.startVersion(processes, options); err != nil {
			return err
		}
	}
	s.say("started 2 services with an old and a new version of each in 3 zones; %s %s will fail half of its orders after %s",
		serviceParts, versionsOf[serviceParts].new, badAfter)
	return nil
}

// startVersion starts a target in every zone, each with a proxy beside it.
func (s *story) startVersion(processes context.Context, options standin.Options) error {
	options.Delay, options.Jitter = 2*time.Millisecond, 2*time.Millisecond
	options.ColdStart, options.ColdDelay = 2*time.Second, 3*time.Millisecond
	options.Slots, options.Connections = 12, 110
	for _, zone := range zones {
		if err := s.fleet.startTarget(processes, targetID(options.Service, options.Version, zone), zone, options); err != nil {
			return err
		}
	}
	return nil
}

func targetID(service, version, zone string) string {
	return service + "-" + version + "-" + zone
}

// withCallers runs the steps while callers call.
func (s *story) withCallers(ctx context.Context, steps func() error) error {
	options := load.Options{
		Calls:  calls(),
		Rate:   callRate,
		Resend: true,
		CountRuns: func(_ context.Context, prefix string) (load.Runs, error) {
			return load.Runs{Counts: s.fleet.runs.WithPrefix(prefix)}, nil
		},
	}
	for _, zone := range zones {
		options.Entries = append(options.Entries, s.fleet.callers(targetID(serviceParts, versionsOf[serviceParts].old, zone)))
	}
	var err error
	if s.load, err = load.New(options); err != nil {
		return fmt.Errorf("start the callers: %w", err)
	}
	calling, stopCalling := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalling()
	type outcome struct {
		report load.Report
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		report, err := s.load.Run(calling)
		ended <- outcome{report, err}
	}()
	s.say("callers send %d calls a second to proxies in every zone, two in five of them bookings and orders", callRate)
	stepsErr := steps()
	stopCalling()
	end := <-ended
	s.result.Load = end.report
	s.result.LateBadCalls = end.report.Versions[versionsOf[serviceParts].new] - s.result.badCallsSettled
	s.say("callers stopped after %d calls", end.report.Sent)
	if stepsErr != nil {
		return stepsErr
	}
	return end.err
}

// changes are the steps while callers call. The good move goes on beside the
// other steps.
func (s *story) changes(ctx, processes context.Context) error {
	good, err := s.startMove(ctx, serviceBooking)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		var err error
		s.result.Good, err = s.awaitMove(ctx, good)
		ended <- err
	}()
	bad, err := s.startMove(ctx, serviceParts)
	if err == nil {
		err = s.replaceLeader(ctx, processes)
	}
	if err == nil {
		err = s.followBadMove(ctx, bad)
	}
	return errors.Join(err, <-ended)
}

// followBadMove waits for the end of the move of the parts catalogue to its bad
// version, and counts the calls that the version answered.
func (s *story) followBadMove(ctx context.Context, m *schema.Move) error {
	v := versionsOf[serviceParts]
	var err error
	if s.result.Bad, err = s.awaitMove(ctx, m); err != nil {
		return err
	}
	after := s.load.Progress().Versions
	s.result.BadCalls = after[v.new]
	s.result.BadServiceCalls = after[v.new] + after[v.old]
	if !sleep(ctx, badGrace) {
		return ctx.Err()
	}
	s.result.badCallsSettled = s.load.Progress().Versions[v.new]
	return nil
}

// replaceLeader stops the leader, changes the configuration without it and
// brings it back.
func (s *story) replaceLeader(ctx, processes context.Context) error {
	leader, err := s.awaitLeader(ctx)
	if err != nil {
		return err
	}
	stopped := time.Now()
	settings := s.fleet.stop(leader)
	s.say("stopped the leader, %s", leader)
	next, err := s.awaitOtherLeader(ctx, leader)
	if err != nil {
		return err
	}
	s.say("%s leads, %d ms later; callers did not wait for it", next, time.Since(stopped).Milliseconds())
	version, accepted, err := s.apply(ctx, "a longer time for look-ups", routes(3*time.Second))
	if err != nil {
		return err
	}
	if err := s.awaitInForce(ctx, version, accepted, proxyCount-1, 1); err != nil {
		return err
	}
	if !sleep(ctx, absence) {
		return ctx.Err()
	}
	returned := time.Now()
	if err := s.fleet.start(processes, settings); err != nil {
		return err
	}
	s.say("returned %s with its data folder", leader)
	return s.awaitInForce(ctx, version, returned, proxyCount, 0)
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
	s.options.Say(time.Since(s.started), fmt.Sprintf(format, args...))
}
