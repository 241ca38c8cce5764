package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// withCallers runs the steps under a load of calls.
func (s *scenario) withCallers(ctx context.Context, steps func() error) error {
	options := load.Options{
		Calls:  callMix(),
		Rate:   callRate,
		Resend: true,
		CountRuns: func(_ context.Context, prefix string) (load.RunCounts, error) {
			return load.RunCounts{Counts: s.cluster.runs.WithPrefix(prefix)}, nil
		},
	}
	for _, zone := range zones {
		options.Entries = append(options.Entries, s.cluster.callerAddress(targetID(serviceParts, versionsOf[serviceParts].old, zone)))
	}
	var err error
	if s.load, err = load.New(options); err != nil {
		return fmt.Errorf("start the callers: %w", err)
	}
	callCtx, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	type outcome struct {
		report load.Report
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		report, err := s.load.Run(callCtx)
		ended <- outcome{report, err}
	}()
	s.progressf("callers send %d calls a second to proxies in every zone, two in five of them bookings and orders", callRate)
	stepsErr := steps()
	stopCalls()
	end := <-ended
	s.result.Load = end.report
	s.result.LateBadCalls = end.report.Versions[versionsOf[serviceParts].new] - s.result.badCallsAfterGrace
	s.progressf("callers stopped after %d calls", end.report.Sent)
	if stepsErr != nil {
		return stepsErr
	}
	return end.err
}

// runChanges runs the steps under load. The good move runs concurrently with the
// other steps.
func (s *scenario) runChanges(ctx, processCtx context.Context) error {
	good, err := s.startMove(ctx, serviceBooking)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		var err error
		s.result.GoodMove, err = s.awaitMove(ctx, good)
		ended <- err
	}()
	bad, err := s.startMove(ctx, serviceParts)
	if err == nil {
		err = s.restartLeader(ctx, processCtx)
	}
	if err == nil {
		err = s.awaitBadMove(ctx, bad)
	}
	return errors.Join(err, <-ended)
}

// startMove starts the move of a service to its new version.
func (s *scenario) startMove(ctx context.Context, service string) (*schema.Move, error) {
	req := &schema.StartMoveRequest{
		RequestId: uuid.NewString(),
		Service:   service,
		From:      versionsOf[service].old,
		To:        versionsOf[service].new,
		Deadline:  timestamppb.New(time.Now().Add(moveTime)),
		Hold:      durationpb.New(hold),
		Prefer:    string(hornbeamwell.PreferSafety),
	}
	resp, err := call(ctx, s, schema.OperatorServiceClient.StartMove, req)
	if err != nil {
		return nil, fmt.Errorf("start the move of %s: %w", service, err)
	}
	s.progressf("%s: moving from %s to %s within %s", service, req.GetFrom(), req.GetTo(), moveTime)
	return resp.GetMove(), nil
}

// awaitBadMove waits for the end of the move of the parts catalogue to its bad
// version and counts the calls to which this version responded until then and
// until badGrace later.
func (s *scenario) awaitBadMove(ctx context.Context, m *schema.Move) error {
	v := versionsOf[serviceParts]
	var err error
	if s.result.BadMove, err = s.awaitMove(ctx, m); err != nil {
		return err
	}
	after := s.load.Progress().Versions
	s.result.BadCalls = after[v.new]
	s.result.BadServiceCalls = after[v.new] + after[v.old]
	if !sleep(ctx, badGrace) {
		return ctx.Err()
	}
	s.result.badCallsAfterGrace = s.load.Progress().Versions[v.new]
	return nil
}

// restartLeader stops the leader, applies a configuration without it and starts
// it again.
func (s *scenario) restartLeader(ctx, processCtx context.Context) error {
	leader, err := s.awaitLeader(ctx)
	if err != nil {
		return err
	}
	stopped := time.Now()
	settings := s.cluster.stop(leader)
	s.progressf("stopped the leader, %s", leader)
	next, err := s.awaitOtherLeader(ctx, leader)
	if err != nil {
		return err
	}
	s.progressf("%s is the leader after %d ms; calls did not wait for it", next, time.Since(stopped).Milliseconds())
	version, accepted, err := s.apply(ctx, "a longer timeout for look-ups", routes(3*time.Second))
	if err != nil {
		return err
	}
	if err := s.awaitInForce(ctx, version, accepted, proxyCount-1, 1); err != nil {
		return err
	}
	if !sleep(ctx, leaderDowntime) {
		return ctx.Err()
	}
	s.watcher.resetProxy(leader)
	restarted := time.Now()
	if err := s.cluster.start(processCtx, settings); err != nil {
		return err
	}
	s.progressf("restarted %s with its data folder", leader)
	return s.awaitInForce(ctx, version, restarted, proxyCount, 0)
}
