package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// await polls until the condition holds. The error names what was awaited.
func await(ctx context.Context, what string, bound time.Duration, isDone func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for !isDone(ctx) {
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("wait for %s: not reached within %s, or interrupted", what, bound)
		}
	}
	return nil
}

func (s *scenario) awaitLeader(ctx context.Context) (string, error) {
	return s.awaitOtherLeader(ctx, "")
}

// awaitOtherLeader waits for a leader other than the previous one and returns
// its id.
func (s *scenario) awaitOtherLeader(ctx context.Context, previous string) (string, error) {
	leader := ""
	err := await(ctx, "a leader", stepTimeout, func(ctx context.Context) bool {
		resp, err := call(ctx, s, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
		if err != nil || resp.GetLeader() == "" || resp.GetLeader() == previous {
			return false
		}
		leader = resp.GetLeader()
		return true
	})
	return leader, err
}

// awaitTargets waits until count targets have announced themselves.
func (s *scenario) awaitTargets(ctx context.Context, count int) error {
	err := await(ctx, "the announcement of every target", stepTimeout, func(ctx context.Context) bool {
		resp, err := call(ctx, s, schema.OperatorServiceClient.ListTargets, &schema.ListTargetsRequest{})
		return err == nil && len(resp.GetTargets()) >= count
	})
	if err == nil {
		s.progressf("all %d targets have announced themselves", count)
	}
	return err
}

// awaitInForce waits until the version is in force on all live proxies, with at
// least the given number of live and at most the given number of silent ones. It
// adds the time since accepted to the result.
func (s *scenario) awaitInForce(ctx context.Context, version uint64, accepted time.Time, live, silent int32) error {
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
	elapsed := time.Since(accepted)
	s.result.Convergence = append(s.result.Convergence, elapsed)
	s.progressf("version %d is in force on all %d live proxies, after %d ms", version, last.GetLiveProxies(), elapsed.Milliseconds())
	return nil
}

// awaitMove waits until a move has ended and reports each change of its phase or
// share. It returns the move as last received, also on an error.
func (s *scenario) awaitMove(ctx context.Context, m *schema.Move) (*schema.Move, error) {
	last := m
	err := await(ctx, "the end of the move of "+m.GetService(), moveTime+stepTimeout, func(ctx context.Context) bool {
		resp, err := call(ctx, s, schema.OperatorServiceClient.GetMove, &schema.GetMoveRequest{Id: m.GetId()})
		if err != nil {
			return false
		}
		current := resp.GetMove()
		if current.GetPhase() != last.GetPhase() || current.GetShare() != last.GetShare() {
			s.progressf("%s: %s, %.0f%% of the calls to %s%s", current.GetService(), current.GetPhase(), float64(current.GetShare())/100, current.GetTo(), formatReason(current))
		}
		last = current
		return hornbeamwell.Phase(current.GetPhase()).IsFinal()
	})
	return last, err
}

func formatReason(m *schema.Move) string {
	if m.GetReason() == "" {
		return ""
	}
	return " (" + m.GetReason() + ")"
}
