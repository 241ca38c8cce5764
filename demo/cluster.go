package demo

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/instance"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

// Size and settings of the cluster.
const (
	controlCount = 3
	region       = "demo"
	settleTime   = time.Second
	hold         = 2 * time.Second
)

// zones are the availability zones, each with one control instance.
var zones = [controlCount]string{"zone-a", "zone-b", "zone-c"}

// cluster holds the processes of the demonstration and starts its targets.
type cluster struct {
	folder  string
	logger  log.Logger
	members []settings.Member
	// runs counts the runs of requests on all targets.
	runs *standin.Runs

	mu sync.Mutex
	// processes holds every process that was started, by its instance id.
	processes map[string]*process
	failures  []error
	running   sync.WaitGroup
}

// process is an instance that runs on goroutines of this process. In a deployment
// it is a process of its own.
type process struct {
	settings settings.Settings
	stop     context.CancelFunc
	ended    chan struct{}
}

// newCluster returns a cluster without processes.
func newCluster(ctx context.Context, folder string, logger log.Logger) (*cluster, error) {
	addresses, err := standin.FreeAddresses(ctx, controlCount)
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, logger: logger, runs: standin.NewRuns(), processes: map[string]*process{}}
	for i, address := range addresses {
		c.members = append(c.members, settings.Member{ID: "control-" + zones[i], Zone: zones[i], Address: address})
	}
	return c, nil
}

// sources returns the addresses of the control instances, those of the zone
// first.
func (c *cluster) sources(zone string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, m := range c.members {
		if m.Zone == zone {
			near = append(near, m.Address)
			continue
		}
		far = append(far, m.Address)
	}
	return append(near, far...)
}

// processSettings returns the settings of a process, with free addresses.
func (c *cluster) processSettings(ctx context.Context, id, zone string) (settings.Settings, error) {
	addresses, err := standin.FreeAddresses(ctx, 4)
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Settings{
		Instance: id,
		Zone:     zone,
		Region:   region,
		Proxy:    settings.Proxy{Callers: addresses[0], Exit: addresses[1], Announce: addresses[2]},
		Operator: addresses[3],
		Sources:  c.sources(zone),
		Move:     settings.Move{Prefer: hornbeamwell.PreferSafety, Hold: hold},
	}, nil
}

// startControl starts the control instances.
func (c *cluster) startControl(ctx context.Context) error {
	for _, member := range c.members {
		s, err := c.processSettings(ctx, member.ID, member.Zone)
		if err != nil {
			return err
		}
		folder := filepath.Join(c.folder, member.ID)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("create the data folder: %w", err)
		}
		s.Control = &settings.Control{DataFolder: folder, Listen: member.Address, Members: c.members, SettleTime: settleTime}
		if err := c.start(ctx, s, instance.WithFirstStart()); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process, which runs until it is stopped or the context ends.
func (c *cluster) start(ctx context.Context, s settings.Settings, options ...instance.Option) error {
	if err := settings.Check(s); err != nil {
		return fmt.Errorf("check the settings of %s: %w", s.Instance, err)
	}
	options = append(options, instance.WithLogger(c.logger))
	built, err := instance.New(s, options...)
	if err != nil {
		return fmt.Errorf("create instance %s: %w", s.Instance, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &process{settings: s, stop: cancel, ended: make(chan struct{})}
	c.mu.Lock()
	c.processes[s.Instance] = p
	c.mu.Unlock()
	c.running.Go(func() {
		defer close(p.ended)
		if err := built.Run(ctx); err != nil {
			c.addFailure(fmt.Errorf("run instance %s: %w", s.Instance, err))
		}
	})
	return nil
}

// stop stops a process, waits until it has ended and returns its settings.
func (c *cluster) stop(id string) settings.Settings {
	c.mu.Lock()
	p := c.processes[id]
	c.mu.Unlock()
	p.stop()
	<-p.ended
	return p.settings
}

// ids returns the ids of all processes that were started, sorted.
func (c *cluster) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.processes))
}

// startTarget starts a process and a stand-in target beside it. When the context
// ends, the target stops first and the process after it.
func (c *cluster) startTarget(ctx context.Context, id, zone string, options standin.Options) error {
	s, err := c.processSettings(ctx, id, zone)
	if err != nil {
		return err
	}
	if err := c.start(context.WithoutCancel(ctx), s, instance.WithFirstStart()); err != nil {
		return err
	}
	options.Announce = s.Proxy.Announce
	options.Runs = c.runs
	target, err := standin.New(ctx, options)
	if err != nil {
		return fmt.Errorf("start the target of %s: %w", id, err)
	}
	c.running.Go(func() {
		if err := target.Run(ctx); err != nil {
			c.addFailure(fmt.Errorf("run the target of %s: %w", id, err))
		}
		c.stop(id)
	})
	return nil
}

// addFailure records an error of a process or target.
func (c *cluster) addFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, err)
}

// operatorAddresses returns the operator addresses of the control instances.
func (c *cluster) operatorAddresses() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(c.members))
	for _, m := range c.members {
		addresses = append(addresses, c.processes[m.ID].settings.Operator)
	}
	return addresses
}

// callerAddress returns the address on which a process accepts calls.
func (c *cluster) callerAddress(id string) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[id].settings.Proxy.Callers
}
