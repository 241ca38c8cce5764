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
	zones = 3
	// askTimeout bounds one question to a control instance.
	askTimeout = 3 * time.Second
	// askPause is the time between two tries of a question.
	askPause = 50 * time.Millisecond
	// startTimeout bounds the start of a whole site.
	startTimeout = time.Minute
	// routeTimeout is the time of a call of the site.
	routeTimeout = 3 * time.Second
)

// object is a JSON object of a settings file.
type object map[string]any

// SiteOptions describe a deployment.
type SiteOptions struct {
	Program Program
	// Folder holds settings, data folders and logs. It exists.
	Folder string
	// Controls, Exits and Entries are the numbers of processes: control
	// instances, proxies with a target beside them, and proxies for callers.
	Controls, Exits, Entries int
	// IsRelayed puts a relay before each address that other processes use.
	IsRelayed bool
	// Pace is that of the settings, empty for the program's default.
	Pace string
}

// Site is a deployment of separate processes on loopback addresses. The targets
// run in this process, so that their counts of runs outlive a crash.
type Site struct {
	Options  SiteOptions
	Controls []*Process
	Exits    []*Process
	Entries  []*Process
	Targets  []*Target
	// Sources are the addresses at which the control instances are reached.
	Sources []netip.AddrPort
	Runs    *standin.Runs
}

// NewSite writes the settings of every process and starts none.
func NewSite(ctx context.Context, options SiteOptions) (*Site, error) {
	s := &Site{Options: options, Runs: standin.NewRuns()}
	addresses, err := standin.FreeAddresses(ctx, 2*options.Controls)
	if err != nil {
		return nil, fmt.Errorf("find addresses of the control instances: %w", err)
	}
	listens, reached := addresses[:options.Controls], addresses[options.Controls:]
	if !options.IsRelayed {
		reached = listens
	}
	s.Sources = reached
	var members []object
	for i, address := range reached {
		members = append(members, object{"id": ControlID(i), "zone": Zone(i), "address": address.String()})
	}
	for i := range options.Controls {
		control := object{"listen": listens[i].String(), "members": members, "settle_time": "1s"}
		p, err := s.describe(ctx, ControlID(i), Zone(i), control, reached)
		if err != nil {
			return nil, err
		}
		if options.IsRelayed {
			if p.Relay, err = NewRelay(ctx, reached[i], listens[i]); err != nil {
				return nil, err
			}
		}
		s.Controls = append(s.Controls, p)
	}
	if s.Exits, err = s.describeAll(ctx, "exit", options.Exits, reached); err != nil {
		return nil, err
	}
	s.Entries, err = s.describeAll(ctx, "entry", options.Entries, reached)
	return s, err
}

// ControlID returns the id of a control instance.
func ControlID(i int) string { return fmt.Sprintf("control-%d", i) }

// Zone returns the availability zone of the processes with a number.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

func (s *Site) describeAll(ctx context.Context, kind string, count int, sources []netip.AddrPort) ([]*Process, error) {
	var all []*Process
	for i := range count {
		p, err := s.describe(ctx, fmt.Sprintf("%s-%d", kind, i), Zone(i), nil, sources)
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// describe writes the settings of one process.
func (s *Site) describe(ctx context.Context, id, zone string, control object, sources []netip.AddrPort) (*Process, error) {
	addresses, err := standin.FreeAddresses(ctx, 4)
	if err != nil {
		return nil, fmt.Errorf("find addresses of %s: %w", id, err)
	}
	p := &Process{
		ID: id, Zone: zone, Callers: addresses[0], Announce: addresses[1], Operator: addresses[2],
		Settings: filepath.Join(s.Options.Folder, id+".json"),
		logPath:  filepath.Join(s.Options.Folder, id+".log"),
		program:  s.Options.Program,
	}
	proxy := object{"callers": p.Callers.String(), "exit": addresses[3].String(), "announce": p.Announce.String()}
	settings := object{"instance": id, "zone": zone, "sources": texts(sources), "operator": p.Operator.String(), "proxy": proxy}
	if s.Options.Pace != "" {
		settings["pace"] = s.Options.Pace
	}
	if control != nil {
		p.DataFolder = filepath.Join(s.Options.Folder, id)
		control["data_folder"] = p.DataFolder
		settings["control"] = control
		if s.Options.IsRelayed {
			control["advertised"] = sources[len(s.Controls)].String()
		}
		if err := p.ClearDataFolder(); err != nil {
			return nil, err
		}
	} else if s.Options.IsRelayed {
		if p.Relay, err = NewRelay(ctx, netip.MustParseAddrPort("127.0.0.1:0"), addresses[3]); err != nil {
			return nil, err
		}
		proxy["advertised_exit"] = p.Relay.Address().String()
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

func texts(addresses []netip.AddrPort) []string {
	all := make([]string, 0, len(addresses))
	for _, address := range addresses {
		all = append(all, address.String())
	}
	return all
}

// Processes returns every process.
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

// Close ends every target, process and relay.
func (s *Site) Close() {
	for _, t := range s.Targets {
		t.Crash()
	}
	for _, p := range s.Processes() {
		p.Resume()
		_ = p.Kill()
		if p.Relay != nil {
			p.Relay.Close()
		}
	}
	for _, t := range s.Targets {
		if t.Relay != nil {
			t.Relay.Close()
		}
	}
}

// OperatorClient returns a client of the control instance with the number.
func (s *Site) OperatorClient(i int) schema.OperatorServiceClient {
	return schema.NewOperatorServiceClient(http.DefaultClient, "http://"+s.Controls[i%len(s.Controls)].Operator.String())
}

// Eventually tries until the check returns nil or the time is over.
func (s *Site) Eventually(within time.Duration, check func(ctx context.Context, attempt int) error) error {
	giveUp := time.Now().Add(within)
	for attempt := 0; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		err := check(ctx, attempt)
		cancel()
		if err == nil {
			return nil
		}
		if time.Now().After(giveUp) {
			return fmt.Errorf("after %s: %w", within, err)
		}
		time.Sleep(askPause)
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
		return fmt.Errorf("apply a configuration: %w", err)
	}
	return s.AwaitInForce(version, startTimeout)
}

// AwaitInForce waits until a version is in force everywhere.
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

// AwaitTargets waits until the control instances know every target.
func (s *Site) AwaitTargets(within time.Duration) error {
	return s.Eventually(within, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).ListTargets(ctx, connect.NewRequest(&schema.ListTargetsRequest{}))
		if err != nil {
			return err
		}
		if n := len(response.Msg.GetTargets()); n != len(s.Targets) {
			return fmt.Errorf("%d of %d targets", n, len(s.Targets))
		}
		return nil
	})
}

// Violations returns the counters of violated invariants of every process.
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

// Metrics returns the metrics of the process, nothing if it does not answer.
func (p *Process) Metrics() []byte {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
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

// NewRoute returns a route of the site.
func NewRoute(name, prefix, service string, isIdempotent bool, methods ...string) *schema.Route {
	return &schema.Route{
		Name: name, PathPrefix: prefix, Methods: methods, Service: service,
		Idempotent: isIdempotent, Timeout: durationpb.New(routeTimeout),
	}
}
