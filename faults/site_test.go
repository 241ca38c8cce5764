package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

const (
	controlCount = 3
	targetCount  = 4
	entryCount   = 2
	// stopTimeout bounds a graceful stop.
	stopTimeout = 45 * time.Second
)

// object is a JSON object of a settings file.
type object map[string]any

// site is a deployment of separate processes. The targets run in the test's
// own process, so that their counts of runs outlive a crash.
type site struct {
	t        *testing.T
	folder   string
	runs     *standin.Runs
	members  []object
	sources  []string
	controls []*process
	exits    []*process
	entries  []*process
	targets  []*target
	// newVersionFailures is the part of the calls that the version v2 fails.
	newVersionFailures float64
}

// process is one process of the program.
type process struct {
	site      *site
	id        string
	callers   netip.AddrPort
	announce  netip.AddrPort
	operator  netip.AddrPort
	settings  string
	isStarted bool

	mu    sync.Mutex
	ended chan struct{}
	// command is nil while the process does not run.
	command *exec.Cmd
}

// target is a stand-in target beside an exit proxy.
type target struct {
	beside  *process
	version string
	running *standin.Target
	stop    context.CancelFunc
	ended   chan struct{}
}

func newSite(t *testing.T) *site {
	s := &site{t: t, folder: t.TempDir(), runs: standin.NewRuns()}
	for i := range controlCount {
		address := s.free().String()
		s.members = append(s.members, object{"id": controlID(i), "zone": zone(i), "address": address})
		s.sources = append(s.sources, address)
	}
	for i := range controlCount {
		folder := filepath.Join(s.folder, controlID(i))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		s.controls = append(s.controls, s.describe(controlID(i), zone(i), object{
			"data_folder": folder, "listen": s.sources[i], "members": s.members, "settle_time": "1s",
		}))
	}
	for i := range targetCount {
		s.exits = append(s.exits, s.describe(fmt.Sprintf("exit-%d", i), zone(i), nil))
	}
	for i := range entryCount {
		s.entries = append(s.entries, s.describe(fmt.Sprintf("entry-%d", i), zone(i), nil))
	}
	t.Cleanup(s.stop)
	return s
}

func controlID(i int) string { return fmt.Sprintf("control-%d", i) }

func zone(i int) string { return fmt.Sprintf("zone-%d", i%controlCount) }

func (s *site) free() netip.AddrPort {
	addresses, err := standin.FreeAddresses(s.t.Context(), 1)
	if err != nil {
		s.t.Fatal(err)
	}
	return addresses[0]
}

func (s *site) describe(id, zone string, control object) *process {
	p := &process{site: s, id: id, callers: s.free(), announce: s.free(), operator: s.free()}
	settings := object{
		"instance": id, "zone": zone, "sources": s.sources, "operator": p.operator.String(),
		"proxy": object{"callers": p.callers.String(), "exit": s.free().String(), "announce": p.announce.String()},
	}
	if control != nil {
		settings["control"] = control
	}
	data, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	p.settings = filepath.Join(s.folder, id+".json")
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return p
}

// start starts every process and target and brings a configuration into force.
func (s *site) start() {
	for _, group := range [][]*process{s.controls, s.exits, s.entries} {
		for _, p := range group {
			p.start()
		}
	}
	for i := range s.exits {
		s.targets = append(s.targets, &target{beside: s.exits[i], version: "v1"})
		s.targets[i].start()
	}
	s.apply()
	s.awaitTargets()
}

func (s *site) stop() {
	if s.t.Failed() {
		s.keepLogs()
	}
	for _, target := range s.targets {
		target.drain()
	}
	for _, group := range [][]*process{s.entries, s.exits, s.controls} {
		for _, p := range group {
			p.kill()
		}
	}
}

// keepLogs prints what the control instances logged.
func (s *site) keepLogs() {
	for _, p := range s.controls {
		if data, err := os.ReadFile(filepath.Join(s.folder, p.id+".log")); err == nil {
			s.t.Logf("log of %s:\n%s", p.id, data)
		}
	}
}

func (p *process) start() {
	arguments := []string{"serve", "--settings", p.settings}
	if !p.isStarted {
		arguments = append(arguments, "--first-start")
	}
	p.isStarted = true
	command := exec.CommandContext(context.Background(), os.Args[0], arguments...)
	command.Env = append(os.Environ(), asProgram+"=1")
	log, err := os.OpenFile(filepath.Join(p.site.folder, p.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.site.t.Fatal(err)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.site.t.Fatal(err)
	}
	_ = log.Close()
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended = command, ended
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// kill ends the process at once.
func (p *process) kill() { p.end(syscall.SIGKILL) }

// terminate stops the process gracefully.
func (p *process) terminate() { p.end(syscall.SIGTERM) }

func (p *process) end(signal syscall.Signal) {
	p.signal(signal)
	p.mu.Lock()
	ended := p.ended
	p.command = nil
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		p.site.t.Errorf("%s did not end within %s of %s", p.id, stopTimeout, signal)
	}
}

func (t *target) start() {
	ctx, cancel := context.WithCancel(context.Background())
	var failures float64
	if t.version == "v2" {
		failures = t.beside.site.newVersionFailures
	}
	running, err := standin.New(ctx, standin.Options{
		Service: "credit", Version: t.version, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Announce: t.beside.announce, Slots: 20, Connections: 120,
		Delay: 3 * time.Millisecond, Jitter: 4 * time.Millisecond, Runs: t.beside.site.runs,
		FailureShare: failures,
	})
	if err != nil {
		t.beside.site.t.Fatal(err)
	}
	t.running, t.stop, t.ended = running, cancel, make(chan struct{})
	go func() {
		defer close(t.ended)
		_ = running.Run(ctx)
	}()
}

// drain lets the target leave and finish its calls.
func (t *target) drain() {
	t.stop()
	<-t.ended
}

// crash cuts the target's calls.
func (t *target) crash() {
	t.running.Crash()
	<-t.ended
	t.stop()
}

// operators returns a client of the control instance with the index.
func (s *site) operators(i int) schema.OperatorServiceClient {
	return schema.NewOperatorServiceClient(http.DefaultClient, "http://"+s.controls[i%controlCount].operator.String())
}

func (s *site) apply() {
	request := &schema.ApplyRequest{
		RequestId: uuid.NewString(),
		Services:  []*schema.Service{{Name: "credit", Versions: []*schema.TargetVersion{{Name: "v1", Share: 10_000}, {Name: "v2"}}}},
		Routes: []*schema.Route{
			{Name: "post", PathPrefix: "/credits", Methods: []string{"POST"}, Service: "credit", Timeout: durationpb.New(3 * time.Second)},
			{Name: "read", PathPrefix: "/", Service: "credit", Idempotent: true, Timeout: durationpb.New(3 * time.Second)},
		},
	}
	var version uint64
	s.eventually(30*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.operators(attempt).Apply(ctx, connect.NewRequest(request))
		if err == nil {
			version = response.Msg.GetVersion()
		}
		return err
	})
	s.awaitInForce(version, 30*time.Second)
}

// awaitInForce waits until a version is in force everywhere.
func (s *site) awaitInForce(version uint64, within time.Duration) {
	s.eventually(within, func(ctx context.Context, attempt int) error {
		response, err := s.operators(attempt).GetStatus(ctx, connect.NewRequest(&schema.GetStatusRequest{}))
		if err != nil {
			return err
		}
		status := response.Msg
		if !status.GetInForceEverywhere() || status.GetVersion() < version || status.GetLiveProxies() < controlCount+targetCount+entryCount {
			return fmt.Errorf("version %d is not in force: %v", version, status)
		}
		return nil
	})
}

func (s *site) awaitTargets() {
	s.eventually(20*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.operators(attempt).ListTargets(ctx, connect.NewRequest(&schema.ListTargetsRequest{}))
		if err != nil {
			return err
		}
		if n := len(response.Msg.GetTargets()); n != targetCount {
			return fmt.Errorf("%d of %d targets", n, targetCount)
		}
		return nil
	})
}

// eventually tries until the check returns nil or the time is over.
func (s *site) eventually(within time.Duration, check func(ctx context.Context, attempt int) error) {
	s.t.Helper()
	giveUp := time.Now().Add(within)
	for attempt := 0; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := check(ctx, attempt)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(giveUp) {
			s.t.Fatalf("after %s: %v", within, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// violations returns the counters of violated invariants of every process.
func (s *site) violations() string {
	var found bytes.Buffer
	for _, group := range [][]*process{s.controls, s.exits, s.entries} {
		for _, p := range group {
			for _, line := range bytes.Split(p.metrics(), []byte("\n")) {
				if bytes.HasPrefix(line, []byte("hornbeamwell_invariant_violations_total")) {
					fmt.Fprintf(&found, "%s: %s\n", p.id, line)
				}
			}
		}
	}
	return found.String()
}

func (p *process) metrics() []byte {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operator.String()+"/metrics", http.NoBody)
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
