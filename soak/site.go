package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

const (
	zoneCount = 3
	// requestTimeout bounds one request to a process.
	requestTimeout = 3 * time.Second
	// retryPause is the time between two attempts of a request.
	retryPause = 50 * time.Millisecond
	// startTimeout bounds each wait during the start of a site.
	startTimeout = time.Minute
	// routeTimeout is the timeout of the site's routes.
	routeTimeout = 3 * time.Second
)

// object is a JSON object of a settings file.
type object map[string]any

// SiteOptions configures a site.
type SiteOptions struct {
	Program Program
	// Folder holds settings, data folders and logs. It must exist.
	Folder string
	// Controls, Exits and Entries are the numbers of processes: control instances,
	// proxies that have a target, and proxies for callers.
	Controls, Exits, Entries int
	// UsesForwarders puts a forwarder before each address to which other processes
	// of the site connect.
	UsesForwarders bool
	// ExitLinkMbps returns the link capacity of the exit proxy with a number in Mbit/s, 0 if
	// it has no bound. It may be nil.
	ExitLinkMbps func(exit int) float64
	// Graces are the grace periods of processes by their ids. It may be nil.
	Graces map[string]time.Duration
	// Pace is the value of pace in the settings files, empty for the program's
	// default.
	Pace string
}

// Site is a set of hornbeamwell processes on loopback addresses. The targets
// run in the process that uses the Site, so that their counts of runs survive the
// crash of a target.
type Site struct {
	Options  SiteOptions
	Controls []*Process
	Exits    []*Process
	Entries  []*Process
	Targets  []*Target
	// Sources are the addresses of the control instances for other processes.
	Sources []netip.AddrPort
	Runs    *standin.Runs
}

// NewSite writes the settings of every process and opens the forwarders of the
// processes, but starts no process.
func NewSite(ctx context.Context, options SiteOptions) (*Site, error) {
	s := &Site{Options: options, Runs: standin.NewRuns()}
	addresses, err := standin.FreeAddresses(ctx, 2*options.Controls)
	if err != nil {
		return nil, fmt.Errorf("find free addresses for the control instances: %w", err)
	}
	listens, advertised := addresses[:options.Controls], addresses[options.Controls:]
	if !options.UsesForwarders {
		advertised = listens
	}
	s.Sources = advertised
	var members []object
	for i, address := range advertised {
		members = append(members, object{"id": ControlID(i), "zone": Zone(i), "address": address.String()})
	}
	for i := range options.Controls {
		control := object{"listen": listens[i].String(), "members": members, "settle_time": "1s"}
		p, err := s.newProcess(ctx, processOptions{id: ControlID(i), zone: Zone(i), control: control, sources: advertised})
		if err != nil {
			return nil, err
		}
		if options.UsesForwarders {
			if p.Forwarder, err = NewForwarder(ctx, advertised[i], listens[i]); err != nil {
				return nil, err
			}
		}
		s.Controls = append(s.Controls, p)
	}
	if s.Exits, err = s.newProcesses(ctx, "exit", options.Exits, advertised, options.ExitLinkMbps); err != nil {
		return nil, err
	}
	s.Entries, err = s.newProcesses(ctx, "entry", options.Entries, advertised, nil)
	return s, err
}

// ControlID returns the id of a control instance.
func ControlID(i int) string { return fmt.Sprintf("control-%d", i) }

// Zone returns the availability zone of the process with the number i of its kind.
// Successive processes are in different zones.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

func (s *Site) newProcesses(ctx context.Context, kind string, count int, sources []netip.AddrPort, linkMbps func(int) float64) ([]*Process, error) {
	var all []*Process
	for i := range count {
		options := processOptions{id: fmt.Sprintf("%s-%d", kind, i), zone: Zone(i), sources: sources}
		if linkMbps != nil {
			options.linkMbps = linkMbps(i)
		}
		p, err := s.newProcess(ctx, options)
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// processOptions are the settings of a process that its site does not choose.
type processOptions struct {
	id, zone string
	// control holds the settings of a control instance, nil for a proxy alone.
	control object
	sources []netip.AddrPort
	// linkMbps is the link capacity in Mbit/s, 0 if it has no bound.
	linkMbps float64
}

// newProcess writes the settings of one process and returns it.
func (s *Site) newProcess(ctx context.Context, options processOptions) (*Process, error) {
	id, zone, control, sources := options.id, options.zone, options.control, options.sources
	addresses, err := standin.FreeAddresses(ctx, 4)
	if err != nil {
		return nil, fmt.Errorf("find free addresses for %s: %w", id, err)
	}
	p := &Process{
		ID: id, Zone: zone, Callers: addresses[0], Announce: addresses[1], Operator: addresses[2],
		Settings: filepath.Join(s.Options.Folder, id+".json"),
		logPath:  filepath.Join(s.Options.Folder, id+".log"),
		program:  s.Options.Program,
		Grace:    s.Options.Graces[id],
	}
	proxy := object{"callers": p.Callers.String(), "exit": addresses[3].String(), "announce": p.Announce.String()}
	if options.linkMbps > 0 {
		proxy["link_mbps"] = options.linkMbps
	}
	settings := object{"instance": id, "zone": zone, "sources": addressStrings(sources), "operator": p.Operator.String(), "proxy": proxy}
	if s.Options.Pace != "" {
		settings["pace"] = s.Options.Pace
	}
	if p.Grace > 0 {
		settings["stop"] = object{"grace": p.Grace.String()}
	}
	if control != nil {
		p.DataFolder = filepath.Join(s.Options.Folder, id)
		control["data_folder"] = p.DataFolder
		settings["control"] = control
		if s.Options.UsesForwarders {
			control["advertised"] = sources[len(s.Controls)].String()
		}
		if err := p.ClearDataFolder(); err != nil {
			return nil, err
		}
	} else if s.Options.UsesForwarders {
		if p.Forwarder, err = NewForwarder(ctx, netip.MustParseAddrPort("127.0.0.1:0"), addresses[3]); err != nil {
			return nil, err
		}
		proxy["advertised_exit"] = p.Forwarder.Address().String()
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", id, err)
	}
	if err := os.WriteFile(p.Settings, data, 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", id, err)
	}
	return p, nil
}

func addressStrings(addresses []netip.AddrPort) []string {
	all := make([]string, 0, len(addresses))
	for _, address := range addresses {
		all = append(all, address.String())
	}
	return all
}

// Processes returns the control instances, exit proxies and entry proxies.
func (s *Site) Processes() []*Process {
	all := append([]*Process{}, s.Controls...)
	all = append(all, s.Exits...)
	return append(all, s.Entries...)
}

// StartProcesses starts every process.
func (s *Site) StartProcesses() error {
	for _, p := range s.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends every target, process and forwarder.
func (s *Site) Close() {
	for _, t := range s.Targets {
		t.Crash()
	}
	for _, p := range s.Processes() {
		p.Resume()
		_ = p.Kill()
		if p.Forwarder != nil {
			p.Forwarder.Close()
		}
	}
	for _, t := range s.Targets {
		if t.Forwarder != nil {
			t.Forwarder.Close()
		}
	}
}

// OperatorClient returns a client of a control instance. Numbers beyond the
// last instance start again at the first.
func (s *Site) OperatorClient(i int) schema.OperatorServiceClient {
	return schema.NewOperatorServiceClient(http.DefaultClient, "http://"+s.Controls[i%len(s.Controls)].Operator.String())
}

// Eventually calls check until it returns nil or the time has passed, and then
// returns the error of the last attempt.
func (s *Site) Eventually(within time.Duration, check func(ctx context.Context, attempt int) error) error {
	deadline := time.Now().Add(within)
	for attempt := 0; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		err := check(ctx, attempt)
		cancel()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s: %w", within, err)
		}
		time.Sleep(retryPause)
	}
}

// Apply applies a configuration and waits until it is in force everywhere.
func (s *Site) Apply(services []*schema.Service, routes []*schema.Route) error {
	request := &schema.ApplyRequest{RequestId: uuid.NewString(), Services: services, Routes: routes}
	var version uint64
	err := s.Eventually(startTimeout, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).Apply(ctx, connect.NewRequest(request))
		if err == nil {
			version = response.Msg.GetVersion()
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	return s.AwaitInForce(version, startTimeout)
}

// AwaitInForce waits until a version, or a later one, is in force everywhere and
// the proxy of every process is live.
func (s *Site) AwaitInForce(version uint64, within time.Duration) error {
	return s.Eventually(within, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).GetStatus(ctx, connect.NewRequest(&schema.GetStatusRequest{}))
		if err != nil {
			return err
		}
		status := response.Msg
		if !status.GetInForceEverywhere() || status.GetVersion() < version || int(status.GetLiveProxies()) < len(s.Processes()) {
			return fmt.Errorf("version %d is not in force: %v", version, status)
		}
		return nil
	})
}

// AwaitTargets waits until a control instance lists every target.
func (s *Site) AwaitTargets(within time.Duration) error {
	return s.Eventually(within, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).ListTargets(ctx, connect.NewRequest(&schema.ListTargetsRequest{}))
		if err != nil {
			return err
		}
		if n := len(response.Msg.GetTargets()); n != len(s.Targets) {
			return fmt.Errorf("%d of %d targets are listed", n, len(s.Targets))
		}
		return nil
	})
}

// Violations returns the metrics of violated invariants of every process that
// responds, empty if there are none.
func (s *Site) Violations() string {
	var found bytes.Buffer
	for _, p := range s.Processes() {
		for line := range bytes.Lines(p.Metrics()) {
			if bytes.HasPrefix(line, []byte("hornbeamwell_invariant_violations_total")) {
				fmt.Fprintf(&found, "%s: %s", p.ID, line)
			}
		}
	}
	return found.String()
}

// Metrics returns the metrics of the process, empty if it does not respond.
func (p *Process) Metrics() []byte {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Operator.String()+"/metrics", http.NoBody)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, _ = body.ReadFrom(response.Body)
	return body.Bytes()
}

// NewRoute returns a route with the timeout of a site.
func NewRoute(name, prefix, service string, isIdempotent bool, methods ...string) *schema.Route {
	return &schema.Route{
		Name: name, PathPrefix: prefix, Methods: methods, Service: service,
		Idempotent: isIdempotent, Timeout: durationpb.New(routeTimeout),
	}
}
