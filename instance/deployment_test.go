package instance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

func TestMain(m *testing.M) {
	hornbeamwell.PanicOnViolation.Store(true)
	os.Exit(m.Run())
}

// controlCount is the number of control instances of a site.
const controlCount = 3

// site is a small deployment in one process.
type site struct {
	t *testing.T
	// settings of the processes by their id.
	settings map[string]settings.Settings
	stops    map[string]func()
	clients  map[string]schema.OperatorServiceClient
}

// newSite describes three control instances and a proxy for each further id.
func newSite(t *testing.T, proxies ...string) *site {
	s := &site{t: t, settings: map[string]settings.Settings{}, stops: map[string]func(){}, clients: map[string]schema.OperatorServiceClient{}}
	members := make([]settings.Member, 0, controlCount)
	sources := make([]netip.AddrPort, 0, controlCount)
	for i := range controlCount {
		m := settings.Member{ID: fmt.Sprintf("control-%d", i), Zone: fmt.Sprintf("zone-%d", i), Address: freeAddress(t)}
		members = append(members, m)
		sources = append(sources, m.Address)
	}
	for _, m := range members {
		process := s.describe(m.ID, m.Zone, sources)
		process.Control = &settings.Control{DataFolder: t.TempDir(), Listen: m.Address, Members: members, SettleTime: time.Second}
		process.Operator = freeAddress(t)
		s.settings[m.ID] = process
		s.clients[m.ID] = schema.NewOperatorServiceClient(http.DefaultClient, "http://"+process.Operator.String())
	}
	for i, id := range proxies {
		s.settings[id] = s.describe(id, fmt.Sprintf("zone-%d", i%controlCount), sources)
	}
	t.Cleanup(s.stopAll)
	return s
}

func (s *site) describe(id, zone string, sources []netip.AddrPort) settings.Settings {
	return settings.Settings{
		Instance: id,
		Zone:     zone,
		Proxy:    settings.Proxy{Callers: freeAddress(s.t), Exit: freeAddress(s.t), Announce: freeAddress(s.t)},
		Sources:  sources,
		Move:     settings.Move{Prefer: hornbeamwell.PreferSafety, Hold: time.Second},
	}
}

// freeAddress returns a loopback address that no other call returned.
func freeAddress(t *testing.T) netip.AddrPort {
	free, err := standin.FreeAddresses(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return free[0]
}

func (s *site) startAll() {
	for id := range s.settings {
		s.start(id)
	}
}

// start runs a process until stop is called for it.
func (s *site) start(id string) {
	var options []Option
	if os.Getenv("HORNBEAMWELL_TEST_LOG") != "" {
		options = append(options, WithLogger(log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "instance", id)))
	}
	process, err := New(s.settings[id], options...)
	if err != nil {
		s.t.Fatalf("start %s: %v", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := process.Run(ctx); err != nil {
			s.t.Errorf("%s ended: %v", id, err)
		}
	}()
	s.stops[id] = func() {
		cancel()
		<-ended
	}
}

func (s *site) stop(id string) {
	if stop, running := s.stops[id]; running {
		delete(s.stops, id)
		stop()
	}
}

func (s *site) stopAll() {
	for id := range s.settings {
		s.stop(id)
	}
}

// startTarget runs a stand-in target of the service beside a proxy.
func (s *site) startTarget(proxy, version string) {
	ctx, cancel := context.WithCancel(context.Background())
	target, err := standin.New(ctx, standin.Options{
		Service: "credit", Version: version, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Announce: s.settings[proxy].Proxy.Announce, Slots: 10, Connections: 100, Delay: time.Millisecond,
	})
	if err != nil {
		s.t.Fatalf("start target: %v", err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = target.Run(ctx)
	}()
	s.t.Cleanup(func() { cancel(); <-ended })
}

// eventually tries until the check returns nil or the time is over.
func (s *site) eventually(within time.Duration, check func(ctx context.Context) error) {
	s.t.Helper()
	giveUp := time.Now().Add(within)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := check(ctx)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(giveUp) {
			s.t.Fatalf("after %s: %v", within, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// apply applies one service with two versions and one route, through a control
// instance.
func (s *site) apply(at string) uint64 {
	s.t.Helper()
	request := &schema.ApplyRequest{
		RequestId: uuid.NewString(),
		Services: []*schema.Service{{Name: "credit", Versions: []*schema.TargetVersion{
			{Name: "v1", Share: uint32(hornbeamwell.FullShare)}, {Name: "v2"},
		}}},
		Routes: []*schema.Route{{
			Name: "post", PathPrefix: "/credits", Service: "credit", Timeout: durationpb.New(2 * time.Second),
		}},
	}
	var version uint64
	s.eventually(10*time.Second, func(ctx context.Context) error {
		response, err := s.clients[at].Apply(ctx, connect.NewRequest(request))
		if err == nil {
			version = response.Msg.GetVersion()
		}
		return err
	})
	return version
}

// awaitInForce waits until a version is in force everywhere.
func (s *site) awaitInForce(at string, version uint64) {
	s.t.Helper()
	s.eventually(20*time.Second, func(ctx context.Context) error {
		response, err := s.clients[at].GetStatus(ctx, connect.NewRequest(&schema.GetStatusRequest{}))
		if err != nil {
			return err
		}
		if status := response.Msg; !status.GetInForceEverywhere() || status.GetVersion() < version {
			return fmt.Errorf("version %d is not in force: %v", version, status)
		}
		return nil
	})
}

// call sends one call through a proxy and returns the version that answered.
func (s *site) call(ctx context.Context, proxy string) (string, error) {
	url := "http://" + s.settings[proxy].Proxy.Callers.String() + "/credits/1"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return "", fmt.Errorf("answered %s: %s", response.Status, body)
	}
	return response.Header.Get(standin.HeaderVersion), nil
}
