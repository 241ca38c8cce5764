// Package demo runs the whole system in one process on loopback addresses:
// control instances, proxies, stand-in targets and callers. It brings about
// what the system is for, and checks every promise on the way.
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

// The size of the demonstration.
const (
	controlCount = 3
	region       = "demo"
	settleTime   = time.Second
	hold         = 2 * time.Second
)

// zones are the availability zones; each has a control instance.
var zones = [controlCount]string{"zone-a", "zone-b", "zone-c"}

// fleet holds everything that runs.
type fleet struct {
	folder  string
	logger  log.Logger
	members []settings.Member
	// runs counts the runs of all targets, also of those that crashed.
	runs *standin.Runs

	mu sync.Mutex
	// processes holds every process by instance id.
	processes map[string]*process
	failures  []error
	ended     sync.WaitGroup
}

// process is one running process of the system.
type process struct {
	settings settings.Settings
	stop     context.CancelFunc
	ended    chan struct{}
}

// newFleet returns a fleet that runs nothing yet.
func newFleet(ctx context.Context, folder string, logger log.Logger) (*fleet, error) {
	addresses, err := standin.FreeAddresses(ctx, controlCount)
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, logger: logger, runs: standin.NewRuns(), processes: map[string]*process{}}
	for i, address := range addresses {
		f.members = append(f.members, settings.Member{ID: "control-" + zones[i], Zone: zones[i], Address: address})
	}
	return f, nil
}

// sources returns the control instances, that of the zone first.
func (f *fleet) sources(zone string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, m := range f.members {
		if m.Zone == zone {
			near = append(near, m.Address)
			continue
		}
		far = append(far, m.Address)
	}
	return append(near, far...)
}

// processSettings returns the settings of a process with addresses of its own.
func (f *fleet) processSettings(ctx context.Context, id, zone string) (settings.Settings, error) {
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
		Sources:  f.sources(zone),
		Move:     settings.Move{Prefer: hornbeamwell.PreferSafety, Hold: hold},
	}, nil
}

// startControl starts the control instances.
func (f *fleet) startControl(ctx context.Context) error {
	for _, member := range f.members {
		s, err := f.processSettings(ctx, member.ID, member.Zone)
		if err != nil {
			return err
		}
		folder := filepath.Join(f.folder, member.ID)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("make the data folder: %w", err)
		}
		s.Control = &settings.Control{DataFolder: folder, Listen: member.Address, Members: f.members, SettleTime: settleTime}
		if err := f.start(ctx, s, instance.WithFirstStart()); err != nil {
			return err
		}
	}
	return nil
}

// start runs a process until it is stopped or the context ends.
func (f *fleet) start(ctx context.Context, s settings.Settings, options ...instance.Option) error {
	if err := settings.Check(s); err != nil {
		return fmt.Errorf("check the settings of %s: %w", s.Instance, err)
	}
	options = append(options, instance.WithLogger(f.logger))
	built, err := instance.New(s, options...)
	if err != nil {
		return fmt.Errorf("assemble %s: %w", s.Instance, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &process{settings: s, stop: cancel, ended: make(chan struct{})}
	f.mu.Lock()
	f.processes[s.Instance] = p
	f.mu.Unlock()
	f.ended.Go(func() {
		defer close(p.ended)
		if err := built.Run(ctx); err != nil {
			f.fail(fmt.Errorf("run %s: %w", s.Instance, err))
		}
	})
	return nil
}

// stop stops a process and waits until it has ended.
func (f *fleet) stop(id string) settings.Settings {
	f.mu.Lock()
	p := f.processes[id]
	f.mu.Unlock()
	p.stop()
	<-p.ended
	return p.settings
}

// ids returns the ids of every process that was started.
func (f *fleet) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.processes))
}

// startTarget starts a process and a stand-in target beside it. Both run until
// the context ends, the target first.
func (f *fleet) startTarget(ctx context.Context, id, zone string, options standin.Options) error {
	s, err := f.processSettings(ctx, id, zone)
	if err != nil {
		return err
	}
	if err := f.start(context.WithoutCancel(ctx), s, instance.WithFirstStart()); err != nil {
		return err
	}
	options.Announce = s.Proxy.Announce
	options.Runs = f.runs
	target, err := standin.New(ctx, options)
	if err != nil {
		return fmt.Errorf("start the target of %s: %w", id, err)
	}
	f.ended.Go(func() {
		if err := target.Run(ctx); err != nil {
			f.fail(fmt.Errorf("target of %s: %w", id, err))
		}
		f.stop(id)
	})
	return nil
}

// fail keeps what went wrong beside the story.
func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err)
}

// operators returns the operator addresses of the control instances.
func (f *fleet) operators() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(f.members))
	for _, m := range f.members {
		addresses = append(addresses, f.processes[m.ID].settings.Operator)
	}
	return addresses
}

// callers returns the caller address of a process.
func (f *fleet) callers(id string) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[id].settings.Proxy.Callers
}
