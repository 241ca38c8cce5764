package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestMain(m *testing.M) {
	hornbeamwell.PanicOnViolation.Store(true)
	os.Exit(m.Run())
}

// mesh is a set of proxies and fake targets on loopback.
type mesh struct {
	t             testing.TB
	configuration *hornbeamwell.Configuration
	nodes         []*node
}

// node is a target and its proxy.
type node struct {
	proxy      *Proxy
	entry      string
	target     hornbeamwell.Target
	appAddress netip.AddrPort
}

// serve runs the server on a loopback port until the test ends.
func serve(t testing.TB, server *http.Server) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// standardConfiguration returns a configuration with one service of the given
// versions, an idempotent route of each class and an interactive route that is
// not idempotent.
func standardConfiguration(versions ...hornbeamwell.TargetVersion) *hornbeamwell.Configuration {
	r := func(name, prefix string, idempotent bool, class hornbeamwell.Class) hornbeamwell.Route {
		return hornbeamwell.Route{
			Name: name, PathPrefix: prefix, Service: "letters", Idempotent: idempotent, Class: class,
			Timeout: 3 * time.Second, MaxBodyBytes: 8 << 20, MaxAttempts: 3,
		}
	}
	return &hornbeamwell.Configuration{
		Version:  1,
		Services: []hornbeamwell.Service{{Name: "letters", Versions: versions}},
		Routes: []hornbeamwell.Route{
			r("browse", "/profiles", true, hornbeamwell.ClassInteractive),
			r("pack", "/packs", true, hornbeamwell.ClassBulk),
			r("pair", "/pairings", false, hornbeamwell.ClassInteractive),
		},
	}
}

func newMesh(t testing.TB, configuration *hornbeamwell.Configuration) *mesh {
	t.Helper()
	return &mesh{t: t, configuration: configuration}
}

// add starts a target with the handler and its proxy.
func (m *mesh) add(id, version, zone string, app http.Handler) *node {
	m.t.Helper()
	return m.addAt(id, version, zone, 10, serve(m.t, &http.Server{Handler: app, ReadHeaderTimeout: time.Second}))
}

// addAt starts a proxy for the fake target that listens at the address.
func (m *mesh) addAt(id, version, zone string, slots int, appAddress netip.AddrPort) *node {
	m.t.Helper()
	p := New(Options{Instance: "proxy-" + id, Zone: zone, RecordsCompleteSince: time.Now().Add(-time.Hour)})
	n := &node{proxy: p, appAddress: appAddress}
	n.target = hornbeamwell.Target{
		ID: id, Service: "letters", Version: version, Zone: zone, Exit: serve(m.t, p.ExitServer()),
		Slots: slots, Connections: 100, Incarnation: 1, Sequence: 1, State: hornbeamwell.TargetReady,
	}
	n.entry = "http://" + serve(m.t, p.EntryServer()).String()
	p.SetLocalTarget(n.target, n.appAddress)
	m.t.Cleanup(func() { p.peers.retain(nil) })
	m.nodes = append(m.nodes, n)
	return n
}

func newSingleNode(t *testing.T, app http.HandlerFunc) *node {
	t.Helper()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.add("a", "v1", "north", app)
	m.update()
	return n
}

// switchedExit is the exit address of a proxy that can be replaced by another one, as
// by a new process.
type switchedExit struct {
	address netip.AddrPort
	current atomic.Pointer[Proxy]
}

func newSwitchedExit(t testing.TB) *switchedExit {
	t.Helper()
	s := &switchedExit{}
	s.address = serve(t, &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.current.Load().ExitHandler().ServeHTTP(w, r) }),
		ReadHeaderTimeout: time.Second,
	})
	return s
}

// start adds a new proxy for the fake target and makes it the current one. The target
// has 20 slots.
func (s *switchedExit) start(m *mesh, id string, target netip.AddrPort) *node {
	m.t.Helper()
	n := m.addAt(id, "v1", "north", 20, target)
	n.target.Exit = s.address
	n.proxy.SetLocalTarget(n.target, target)
	s.current.Store(n.proxy)
	return n
}

// update puts the configuration and the targets into force at every proxy.
func (m *mesh) update() {
	m.t.Helper()
	targets := make([]hornbeamwell.Target, 0, len(m.nodes))
	for _, n := range m.nodes {
		targets = append(targets, n.target)
	}
	for _, n := range m.nodes {
		if err := n.proxy.Update(time.Now(), m.configuration, targets); err != nil {
			m.t.Fatal(err)
		}
	}
}

// callResult is the result of a call. With an error, there is no response or its
// body is incomplete.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// call sends one call. It has an idempotency key unless the key is empty.
func call(ctx context.Context, method, url, key, body string) callResult {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return do(request)
}

func do(request *http.Request) callResult {
	response, err := callerClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	all, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(all), err: err}
}

// callerResponse is the part of a response that the tests check.
type callerResponse struct {
	status     int
	isClosing  bool
	retryAfter string
	reason     string
}

// callEntry sends a call to an entry server.
func callEntry(t *testing.T, entry string) callerResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var refusal struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	return callerResponse{
		status:     response.StatusCode,
		isClosing:  response.Close,
		retryAfter: response.Header.Get("Retry-After"),
		reason:     refusal.Error,
	}
}
