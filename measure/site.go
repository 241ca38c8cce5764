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
	zone         = "zone-a"
	service      = "parts"
	version      = "v1"
	stepTimeout  = 30 * time.Second
	pollPeriod   = 20 * time.Millisecond
	processPorts = 5
)

// site is one control instance with what a measurement adds to it.
type site struct {
	settings settings.Settings
	client   *console.Client
	running  sync.WaitGroup
	cancel   context.CancelFunc
	folder   string
	// observe returns what each proxy reports of moves. It may be nil.
	observe func() []hornbeamwell.Observation
}

// startSite starts a control instance and applies a first configuration.
func startSite(ctx context.Context, options Options) (*site, error) {
	folder, err := os.MkdirTemp(options.Folder, "control-")
	if err != nil {
		return nil, fmt.Errorf("make a data folder: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &site{cancel: cancel, folder: folder, observe: options.observe}
	if err := s.startControl(ctx); err != nil {
		s.stop()
		return nil, err
	}
	if _, err := s.apply(ctx, time.Second); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *site) startControl(ctx context.Context) error {
	addresses, err := standin.FreeAddresses(ctx, processPorts)
	if err != nil {
		return err
	}
	s.settings = settings.Settings{
		Instance: "control-a",
		Zone:     zone,
		Proxy:    settings.Proxy{Callers: addresses[0], Exit: addresses[1], Announce: addresses[2]},
		Operator: addresses[3],
		Sources:  []netip.AddrPort{addresses[4]},
		Control: &settings.Control{
			DataFolder: s.folder,
			Listen:     addresses[4],
			Members:    []settings.Member{{ID: "control-a", Zone: zone, Address: addresses[4]}},
			SettleTime: time.Second,
		},
		Move: settings.Move{Prefer: hornbeamwell.PreferSafety, Hold: settings.DefaultHold},
	}
	if s.client, err = console.New([]netip.AddrPort{addresses[3]}); err != nil {
		return fmt.Errorf("connect to the control instance: %w", err)
	}
	return s.start(ctx, s.settings)
}

// start runs a process until the site stops.
func (s *site) start(ctx context.Context, settings settings.Settings) error {
	process, err := instance.New(settings, instance.WithFirstStart())
	if err != nil {
		return fmt.Errorf("start %s: %w", settings.Instance, err)
	}
	s.running.Go(func() { _ = process.Run(ctx) })
	return nil
}

// stop stops everything and removes the data.
func (s *site) stop() {
	s.cancel()
	s.running.Wait()
	_ = os.RemoveAll(s.folder)
}

// apply applies a configuration that differs by the timeout of its routes, and
// returns its version.
func (s *site) apply(ctx context.Context, timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	req := &schema.ApplyRequest{
		RequestId: uuid.NewString(),
		Services:  []*schema.Service{{Name: service, Versions: []*schema.TargetVersion{{Name: version, Share: uint32(hornbeamwell.FullShare)}}}},
		Routes:    siteRoutes(timeout),
	}
	resp, err := console.Call(ctx, s.client, schema.OperatorServiceClient.Apply, req)
	if err != nil {
		return 0, fmt.Errorf("apply a configuration: %w", err)
	}
	return resp.GetVersion(), nil
}

// awaitInForce waits until the version is in force on so many proxies.
func (s *site) awaitInForce(ctx context.Context, version uint64, live int) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		resp, err := console.Call(ctx, s.client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
		if err != nil {
			return fmt.Errorf("ask what is in force: %w", err)
		}
		if resp.GetWatermark() >= version && int(resp.GetLiveProxies()) >= live && resp.GetSilentProxies() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d in force on %d of %d proxies: %w", resp.GetWatermark(), resp.GetLiveProxies(), live, ctx.Err())
		case <-time.After(pollPeriod):
		}
	}
}

// subscribers are the control sessions of proxies without a data path.
type subscribers struct {
	all []*delivery.Subscriber
	// applied counts the proxies that have the wanted version in force.
	applied atomic.Int64
	wanted  atomic.Uint64
	// done holds a token once every proxy has the wanted version in force.
	done chan struct{}
}

// subscribe opens the sessions of so many proxies.
func (s *site) subscribe(ctx context.Context, count int) *subscribers {
	group := &subscribers{done: make(chan struct{}, 1)}
	for i := range count {
		subscriber := delivery.NewSubscriber(delivery.SubscriberOptions{
			ID:      fmt.Sprintf("proxy-%d", i),
			Zone:    zone,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(30_000+i)),
			Sources: s.settings.Sources,
			Apply: func(_ time.Time, update delivery.Update) error {
				group.took(uint64(update.Configuration.Version), count)
				return nil
			},
			Evidence: s.observe,
			Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		})
		group.all = append(group.all, subscriber)
		s.running.Go(func() { _ = subscriber.Run(ctx) })
	}
	return group
}

// want asks for a token in done once every proxy has the version.
func (g *subscribers) want(version uint64) {
	g.applied.Store(0)
	g.wanted.Store(version)
}

func (g *subscribers) took(version uint64, count int) {
	if wanted := g.wanted.Load(); wanted == 0 || version < wanted {
		return
	}
	if g.applied.Add(1) == int64(count) {
		g.done <- struct{}{}
	}
}

// status asks the control instance for its status.
func (s *site) status(ctx context.Context) (*schema.GetStatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	resp, err := console.Call(ctx, s.client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
	if err != nil {
		return nil, fmt.Errorf("ask for the status: %w", err)
	}
	return resp, nil
}
