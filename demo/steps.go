package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

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
	s.watch.restarts(leader)
	returned := time.Now()
	if err := s.fleet.start(processes, settings); err != nil {
		return err
	}
	s.say("returned %s with its data folder", leader)
	return s.awaitInForce(ctx, version, returned, proxyCount, 0)
}
