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

func TestCallThroughAnyProxy(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, "proxy-0", "proxy-1")
	d.startAll()
	d.startTarget("proxy-0", "v1")
	version := d.apply("control-1")
	d.awaitInForce("control-2", version)
	for _, proxy := range []string{"proxy-0", "proxy-1", "control-0"} {
		d.eventually(5*time.Second, func(ctx context.Context) error {
			version, err := d.call(ctx, proxy)
			if err == nil && version != "v1" {
				t.Errorf("call through %s reached version %q, want v1", proxy, version)
			}
			return err
		})
	}
}

// TestProxySubscribesToConfiguredServices restricts one proxy to a service that
// does not exist. The proxy has no route until a target announces itself beside
// it.
func TestProxySubscribesToConfiguredServices(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, "proxy-0", "proxy-1")
	restricted := d.settings["proxy-1"]
	restricted.Proxy.Services = []string{"archive"}
	d.settings["proxy-1"] = restricted
	d.startAll()
	d.startTarget("proxy-0", "v1")
	d.awaitInForce("control-0", d.apply("control-0"))
	d.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := d.call(ctx, "proxy-0")
		return err
	})
	if _, err := d.call(t.Context(), "proxy-1"); err == nil {
		t.Error("call to a service that the proxy does not subscribe to succeeded")
	}
	d.startTarget("proxy-1", "v1")
	d.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := d.call(ctx, "proxy-1")
		return err
	})
}

func TestConfigurationSurvivesControlRestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, "proxy-0")
	d.startAll()
	d.startTarget("proxy-0", "v1")
	version := d.apply("control-0")
	d.awaitInForce("control-0", version)
	for i := range controlCount {
		d.stop(fmt.Sprintf("control-%d", i))
	}
	if _, err := d.call(t.Context(), "proxy-0"); err != nil {
		t.Fatalf("call without control instances: %v", err)
	}
	for i := range controlCount {
		d.start(fmt.Sprintf("control-%d", i))
	}
	d.awaitInForce("control-1", version)
}

func TestMoveCompletes(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, "proxy-0", "proxy-1", "proxy-2")
	d.startAll()
	d.startTarget("proxy-0", "v1")
	d.startTarget("proxy-1", "v2")
	d.awaitInForce("control-0", d.apply("control-0"))
	d.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := d.call(ctx, "proxy-2")
		return err
	})
	for range 4 {
		defer d.keepCalling("proxy-2")()
	}
	started, err := d.clients["control-1"].StartMove(t.Context(), connect.NewRequest(&schema.StartMoveRequest{
		RequestId: "move-1", Service: "credit", To: "v2",
		Deadline: timestamppb.New(time.Now().Add(45 * time.Second)), Hold: durationpb.New(time.Second),
	}))
	if err != nil {
		t.Fatal(err)
	}
	d.awaitPhase(started.Msg.GetMove().GetId(), hornbeamwell.PhaseDone, 55*time.Second)
}

// keepCalling sends calls through a proxy until the returned function is called.
func (d *deployment) keepCalling(proxy string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if _, err := d.call(ctx, proxy); err != nil && ctx.Err() == nil {
				d.t.Logf("call: %v", err)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// awaitPhase waits until a move reaches the phase.
func (d *deployment) awaitPhase(id string, phase hornbeamwell.Phase, within time.Duration) {
	d.t.Helper()
	d.eventually(within, func(ctx context.Context) error {
		response, err := d.clients["control-2"].GetMove(ctx, connect.NewRequest(&schema.GetMoveRequest{Id: id}))
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

// TestEvacuationReachesProxiesAndKeepsCallsFromZones guards against an order that does
// not reach the data path: a proxy without interests, one that subscribes to the service
// of its target, and calls through proxies of the zones and of others.
func TestEvacuationReachesProxiesAndKeepsCallsFromZones(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, "proxy-0", "proxy-1", "proxy-2")
	restricted := d.settings["proxy-1"]
	restricted.Proxy.Services = []string{"credit"}
	d.settings["proxy-1"] = restricted
	d.startAll()
	d.startTarget("proxy-0", "v1")
	d.startTarget("proxy-1", "v1")
	d.awaitInForce("control-0", d.apply("control-0"))
	callAll := func(wantServed bool) {
		t.Helper()
		for _, proxy := range []string{"proxy-0", "proxy-1", "proxy-2"} {
			d.eventually(5*time.Second, func(ctx context.Context) error {
				if _, err := d.call(ctx, proxy); (err == nil) != wantServed {
					return fmt.Errorf("call through %s: error %w, want it served: %v", proxy, err, wantServed)
				}
				return nil
			})
		}
	}
	callAll(true)
	start := func(zone string) uint64 {
		t.Helper()
		response, err := d.clients["control-1"].StartEvacuation(t.Context(), connect.NewRequest(&schema.StartEvacuationRequest{Zone: zone}))
		if err != nil {
			t.Fatal(err)
		}
		return response.Msg.GetVersion()
	}
	d.awaitInForce("control-2", start("zone-0"))
	callAll(true)
	d.awaitInForce("control-2", start("zone-1"))
	callAll(false)
	if _, err := d.clients["control-2"].EndEvacuation(t.Context(), connect.NewRequest(&schema.EndEvacuationRequest{Zone: "zone-0"})); err != nil {
		t.Fatal(err)
	}
	callAll(true)
}
