package instance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

func TestCallReachesTargetThroughAnyProxy(t *testing.T) {
	t.Parallel()
	s := newSite(t, "proxy-0", "proxy-1")
	s.startAll()
	s.startTarget("proxy-0", "v1")
	version := s.apply("control-1")
	s.awaitInForce("control-2", version)
	for _, proxy := range []string{"proxy-0", "proxy-1", "control-0"} {
		s.eventually(5*time.Second, func(ctx context.Context) error {
			answered, err := s.call(ctx, proxy)
			if err == nil && answered != "v1" {
				t.Errorf("%s answered by %q", proxy, answered)
			}
			return err
		})
	}
}

// TestProxyHoldsTheServicesOfItsCallers names a service that does not exist to
// one proxy, and none to the other.
func TestProxyHoldsTheServicesOfItsCallers(t *testing.T) {
	t.Parallel()
	s := newSite(t, "proxy-0", "proxy-1")
	narrow := s.settings["proxy-1"]
	narrow.Proxy.Services = []string{"archive"}
	s.settings["proxy-1"] = narrow
	s.startAll()
	s.startTarget("proxy-0", "v1")
	s.awaitInForce("control-0", s.apply("control-0"))
	s.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := s.call(ctx, "proxy-0")
		return err
	})
	if _, err := s.call(t.Context(), "proxy-1"); err == nil {
		t.Error("a call to a service that the proxy does not hold went through")
	}
	s.startTarget("proxy-1", "v1")
	s.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := s.call(ctx, "proxy-1")
		return err
	})
}

func TestAcceptedConfigurationOutlivesEveryControlInstance(t *testing.T) {
	t.Parallel()
	s := newSite(t, "proxy-0")
	s.startAll()
	s.startTarget("proxy-0", "v1")
	version := s.apply("control-0")
	s.awaitInForce("control-0", version)
	for i := range controlCount {
		s.stop(fmt.Sprintf("control-%d", i))
	}
	if _, err := s.call(t.Context(), "proxy-0"); err != nil {
		t.Fatalf("no call goes through without control: %v", err)
	}
	for i := range controlCount {
		s.start(fmt.Sprintf("control-%d", i))
	}
	s.awaitInForce("control-1", version)
}

func TestMoveEndsDone(t *testing.T) {
	t.Parallel()
	s := newSite(t, "proxy-0", "proxy-1", "proxy-2")
	s.startAll()
	s.startTarget("proxy-0", "v1")
	s.startTarget("proxy-1", "v2")
	s.awaitInForce("control-0", s.apply("control-0"))
	s.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := s.call(ctx, "proxy-2")
		return err
	})
	for range 4 {
		defer s.keepCalling("proxy-2")()
	}
	started, err := s.clients["control-1"].StartMove(t.Context(), connect.NewRequest(&schema.StartMoveRequest{
		RequestId: "move-1", Service: "credit", To: "v2",
		Deadline: timestamppb.New(time.Now().Add(45 * time.Second)), Hold: durationpb.New(time.Second),
	}))
	if err != nil {
		t.Fatal(err)
	}
	s.awaitPhase(started.Msg.GetMove().GetId(), hornbeamwell.PhaseDone, 55*time.Second)
}

// keepCalling sends calls through a proxy until the returned function is
// called.
func (s *site) keepCalling(proxy string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			if _, err := s.call(ctx, proxy); err != nil && ctx.Err() == nil {
				s.t.Logf("call: %v", err)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// awaitPhase waits until a move is in the phase.
func (s *site) awaitPhase(id string, phase hornbeamwell.Phase, within time.Duration) {
	s.t.Helper()
	s.eventually(within, func(ctx context.Context) error {
		response, err := s.clients["control-2"].GetMove(ctx, connect.NewRequest(&schema.GetMoveRequest{Id: id}))
		if err != nil {
			return err
		}
		m := response.Msg.GetMove()
		if m.GetPhase() != string(phase) {
			return fmt.Errorf("move is %s: %v", m.GetPhase(), response.Msg)
		}
		return nil
	})
}
