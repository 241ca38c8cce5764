package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// await asks until the condition holds.
func await(ctx context.Context, what string, bound time.Duration, isDone func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for !isDone(ctx) {
		if !sleep(ctx, pollPeriod) {
			return fmt.Errorf("%s did not come within %s", what, bound)
		}
	}
	return nil
}

func (s *story) awaitLeader(ctx context.Context) (string, error) {
	return s.awaitOtherLeader(ctx, "")
}

// awaitOtherLeader waits for a leader that is not the named one.
func (s *story) awaitOtherLeader(ctx context.Context, not string) (string, error) {
	leader := ""
	err := await(ctx, "a leader", stepTimeout, func(ctx context.Context) bool {
		resp, err := call(ctx, s, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
		if err != nil || resp.GetLeader() == "" || resp.GetLeader() == not {
			return false
		}
		leader = resp.GetLeader()
		return true
	})
	return leader, err
}

// awaitTargets waits until the targets announced themselves.
func (s *story) awaitTargets(ctx context.Context, count int) error {
	err := await(ctx, "the announcement of every target", stepTimeout, func(ctx context.Context) bool {
		resp, err := call(ctx, s, schema.OperatorServiceClient.ListTargets, &schema.ListTargetsRequest{})
		return err == nil && len(resp.GetTargets()) >= count
	})
	if err == nil {
		s.say("all %d targets announced themselves", count)
	}
	return err
}

// awaitInForce waits until the version is in force on so many proxies and every
// other known proxy is silent. It adds the time since the acceptance to the
// result.
func (s *story) awaitInForce(ctx context.Context, version uint64, accepted time.Time, live, silent int32) error {
	last := &schema.GetStatusResponse{}
	err := await(ctx, fmt.Sprintf("version %d in force on %d proxies", version, live), stepTimeout, func(ctx context.Context) bool {
		resp, err := call(ctx, s, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
		if err != nil {
			return false
		}
		last = resp
		return resp.GetWatermark() >= version && resp.GetLiveProxies() >= live && resp.GetSilentProxies() <= silent
	})
	if err != nil {
		return fmt.Errorf("%w: watermark %d, %d live proxies, %d behind, %d silent", err,
			last.GetWatermark(), last.GetLiveProxies(), len(last.GetBehind()), last.GetSilentProxies())
	}
	took := time.Since(accepted)
	s.result.Convergence = append(s.result.Convergence, took)
	s.say("version %d is in force on all %d live proxies, %d ms after it was accepted", version, last.GetLiveProxies(), took.Milliseconds())
	return nil
}

// startMove starts the move of a service to its new version.
func (s *story) startMove(ctx context.Context, service string) (*schema.Move, error) {
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
	s.say("%s: moving from %s to %s within %s", service, req.GetFrom(), req.GetTo(), moveTime)
	return resp.GetMove(), nil
}

// awaitMove says each change of a move until it has ended.
func (s *story) awaitMove(ctx context.Context, m *schema.Move) (*schema.Move, error) {
	last := m
	err := await(ctx, "the end of the move of "+m.GetService(), moveTime+stepTimeout, func(ctx context.Context) bool {
		resp, err := call(ctx, s, schema.OperatorServiceClient.GetMove, &schema.GetMoveRequest{Id: m.GetId()})
		if err != nil {
			return false
		}
		now := resp.GetMove()
		if now.GetPhase() != last.GetPhase() || now.GetShare() != last.GetShare() {
			s.say("%s: %s, %.0f%% of the calls to %s%s", now.GetService(), now.GetPhase(), float64(now.GetShare())/100, now.GetTo(), because(now))
		}
		last = now
		return hornbeamwell.Phase(now.GetPhase()).IsFinal()
	})
	return last, err
}

func because(m *schema.Move) string {
	if m.GetReason() == "" {
		return ""
	}
	return " (" + m.GetReason() + ")"
}
