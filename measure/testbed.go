package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/instance"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

const (
	zone            = "zone-a"
	service         = "parts"
	version         = "v1"
	stepTimeout     = 30 * time.Second
	pollInterval    = 20 * time.Millisecond
	portsPerProcess = 5
)

// testbed is a control instance with the other instances, targets and sessions of
// a measurement. All of them run in this process.
type testbed struct {
	settings settings.Settings
	client   *console.Client
	running  sync.WaitGroup
	cancel   context.CancelFunc
	folder   string
	// observe returns the observations of moves that each proxy reports. It may
	// be nil.
	observe func() []hornbeamwell.Observation
}

// startTestbed starts a control instance and applies a first configuration.
func startTestbed(ctx context.Context, options Options) (*testbed, error) {
	folder, err := os.MkdirTemp(options.Folder, "control-")
	if err != nil {
		return nil, fmt.Errorf("create a data folder: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	b := &testbed{cancel: cancel, folder: folder, observe: options.observe}
	if err := b.startControl(ctx); err != nil {
		b.stop()
		return nil, err
	}
	if _, err := b.apply(ctx, time.Second); err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

func (b *testbed) startControl(ctx context.Context) error {
	addresses, err := standin.FreeAddresses(ctx, portsPerProcess)
	if err != nil {
		return err
	}
	b.settings = settings.Settings{
		Instance: "control-a",
		Zone:     zone,
		Proxy:    settings.Proxy{Callers: addresses[0], Exit: addresses[1], Announce: addresses[2]},
		Operator: addresses[3],
		Sources:  []netip.AddrPort{addresses[4]},
		Control: &settings.Control{
			DataFolder: b.folder,
			Listen:     addresses[4],
			Members:    []settings.Member{{ID: "control-a", Zone: zone, Address: addresses[4]}},
			SettleTime: time.Second,
		},
		Move: settings.Move{Prefer: hornbeamwell.PreferSafety, Hold: settings.DefaultHold},
	}
	if b.client, err = console.New([]netip.AddrPort{addresses[3]}); err != nil {
		return fmt.Errorf("connect to the control instance: %w", err)
	}
	return b.start(ctx, b.settings)
}

// start starts an instance, which runs until the context ends. An error of a
// running instance is ignored: it shows as a timeout of the measurement.
func (b *testbed) start(ctx context.Context, settings settings.Settings) error {
	process, err := instance.New(settings, instance.WithFirstStart())
	if err != nil {
		return fmt.Errorf("create instance %s: %w", settings.Instance, err)
	}
	b.running.Go(func() { _ = process.Run(ctx) })
	return nil
}

// stop stops the control instance, waits for the end of all instances, targets
// and sessions, and removes the data folder. The contexts of the others must have
// ended before.
func (b *testbed) stop() {
	b.cancel()
	b.running.Wait()
	_ = os.RemoveAll(b.folder)
}

// apply applies the configuration with the timeout for its routes and returns
// its version.
func (b *testbed) apply(ctx context.Context, timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	req := &schema.ApplyRequest{
		RequestId: uuid.NewString(),
		Services:  []*schema.Service{{Name: service, Versions: []*schema.TargetVersion{{Name: version, Share: uint32(hornbeamwell.FullShare)}}}},
		Routes:    testRoutes(timeout),
	}
	resp, err := console.Call(ctx, b.client, schema.OperatorServiceClient.Apply, req)
	if err != nil {
		return 0, fmt.Errorf("apply a configuration: %w", err)
	}
	return resp.GetVersion(), nil
}

// awaitInForce waits until the version is in force on all live proxies, there are
// at least the given number of them and no proxy is silent.
func (b *testbed) awaitInForce(ctx context.Context, version uint64, live int) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		resp, err := console.Call(ctx, b.client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
		if err != nil {
			return fmt.Errorf("get the version in force: %w", err)
		}
		if resp.GetWatermark() >= version && int(resp.GetLiveProxies()) >= live && resp.GetSilentProxies() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the configuration: version %d is in force on %d of %d proxies: %w", resp.GetWatermark(), resp.GetLiveProxies(), live, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// subscribers are the control sessions of proxies without a data path.
type subscribers struct {
	all []*delivery.Subscriber
	// applied counts the updates, of all proxies together, that had at least the
	// expected version. Nothing is counted while expected is 0.
	applied  atomic.Int64
	expected atomic.Uint64
	// done receives a value when applied reaches the number of proxies.
	done chan struct{}
}

// subscribe opens the control sessions of count proxies.
func (b *testbed) subscribe(ctx context.Context, count int) *subscribers {
	group := &subscribers{done: make(chan struct{}, 1)}
	for i := range count {
		subscriber := delivery.NewSubscriber(delivery.SubscriberOptions{
			ID:      fmt.Sprintf("proxy-%d", i),
			Zone:    zone,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(30_000+i)),
			Sources: b.settings.Sources,
			Apply: func(_ time.Time, update delivery.Update) error {
				group.recordApplied(uint64(update.Configuration.Version), count)
				return nil
			},
			Evidence: b.observe,
			Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		})
		group.all = append(group.all, subscriber)
		b.running.Go(func() { _ = subscriber.Run(ctx) })
	}
	return group
}

// expect sets the expected version and starts to count from 0.
func (g *subscribers) expect(version uint64) {
	g.applied.Store(0)
	g.expected.Store(version)
}

func (g *subscribers) recordApplied(version uint64, count int) {
	if expected := g.expected.Load(); expected == 0 || version < expected {
		return
	}
	if g.applied.Add(1) == int64(count) {
		g.done <- struct{}{}
	}
}

func (b *testbed) status(ctx context.Context) (*schema.GetStatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	resp, err := console.Call(ctx, b.client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
	if err != nil {
		return nil, fmt.Errorf("get the status: %w", err)
	}
	return resp, nil
}
