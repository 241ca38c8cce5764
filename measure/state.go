package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/proxy"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// targetsPerService corresponds to 20,000 targets in 1,500 services.
	targetsPerService = 13
	// routesPerService is the number of routes of each service.
	routesPerService = 2
	// timedUpdates is the number of timed updates, each with a change of one target.
	timedUpdates = 10
)

// state returns the measurement of the configuration and targets that a proxy
// holds: their memory and encoded size, and the cost of a change of one target.
func state() Measurement {
	return Measurement{
		Name:     "state",
		Usage:    "memory, processor time and encoded size of the state of one proxy with all targets",
		points:   []int{1250, 2500, 5000, 10_000, 20_000},
		limit:    50_000,
		duration: time.Second,
		varied:   "targets",
		series: []Series{
			{Name: "heap of the data path", Unit: "bytes"},
			{Name: "processor time of a change of one target", Unit: "ms"},
			{Name: "encoded configuration", Unit: "bytes"},
			{Name: "encoded targets", Unit: "bytes"},
		},
		run: measureState,
	}
}

func measureState(_ context.Context, _ Options, x int) ([]float64, error) {
	configuration, targets := largeState(x)
	encoded, err := wire.EncodeConfiguration(configuration)
	if err != nil {
		return nil, err
	}
	encodedTargets, err := json.Marshal(wire.FromTargets(targets))
	if err != nil {
		return nil, fmt.Errorf("encode targets: %w", err)
	}
	before := liveHeap()
	p := proxy.New(proxy.Options{Instance: "measured", Zone: zone})
	if err := p.Update(time.Now(), configuration, targets); err != nil {
		return nil, fmt.Errorf("apply the state to the proxy: %w", err)
	}
	heap := float64(liveHeap()) - float64(before)
	changeTime, err := timeChanges(p, configuration, targets)
	if err != nil {
		return nil, err
	}
	runtime.KeepAlive(p)
	return []float64{heap, changeTime, float64(len(encoded)), float64(len(encodedTargets))}, nil
}

// timeChanges returns the mean processor time, in ms, of a change of one target.
func timeChanges(p *proxy.Proxy, configuration *hornbeamwell.Configuration, targets []hornbeamwell.Target) (float64, error) {
	before, err := currentUsage()
	if err != nil {
		return 0, err
	}
	for i := range timedUpdates {
		targets[i].Slots++
		targets[i].Sequence++
		if err := p.Update(time.Now(), configuration, targets); err != nil {
			return 0, fmt.Errorf("change target %s: %w", targets[i].ID, err)
		}
	}
	after, err := currentUsage()
	if err != nil {
		return 0, err
	}
	return float64(after.cpu-before.cpu) / float64(time.Millisecond) / timedUpdates, nil
}

// largeState returns a configuration and count targets, sorted by id.
func largeState(count int) (*hornbeamwell.Configuration, []hornbeamwell.Target) {
	configuration := &hornbeamwell.Configuration{Version: 1}
	services := (count + targetsPerService - 1) / targetsPerService
	for i := range services {
		name := fmt.Sprintf("service-%05d", i)
		configuration.Services = append(configuration.Services, hornbeamwell.Service{
			Name:     name,
			Versions: []hornbeamwell.TargetVersion{{Name: version, Share: hornbeamwell.FullShare}, {Name: "v2"}},
		})
		for j := range routesPerService {
			configuration.Routes = append(configuration.Routes, hornbeamwell.Route{
				Name: fmt.Sprintf("%s-%d", name, j), Host: name, PathPrefix: fmt.Sprintf("/%d", j), Service: name,
				Class: hornbeamwell.ClassInteractive, Timeout: time.Second, MaxBodyBytes: 1 << 20, MaxAttempts: 2,
			})
		}
	}
	targets := make([]hornbeamwell.Target, 0, count)
	for i := range count {
		targets = append(targets, hornbeamwell.Target{
			ID: fmt.Sprintf("target-%05d", i), Service: configuration.Services[i%services].Name, Version: version,
			Zone: fmt.Sprintf("zone-%02d", i%15), Exit: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7401),
			Slots: 10, Connections: 120, Incarnation: 1, Sequence: 1, State: hornbeamwell.TargetReady, ReadyAt: time.Unix(1_700_000_000, 0),
		})
	}
	return configuration, targets
}
