package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an upstream ran.
type run struct {
	id, service, caller, tenant, credential, target string
	hasCredential                                   bool
	at                                              time.Time
}

// runs records what all upstreams ran.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(entry run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string][]run{}
	}
	r.byID[entry.id] = append(r.byID[entry.id], entry)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.byID[id]...)
}

// upstream is a stand-in for the upstream beside a sidecar, as PROTOCOL.md describes it.
type upstream struct {
	machine *machine
	id      string
	born    int64
	version string
	runs    *runs
	server  *http.Server
	work    time.Duration
	seq     atomic.Uint64
	stop    context.CancelFunc
	state   atomic.Value
}

const slots = 9

func startUpstream(m *machine, shared *runs, id string, work time.Duration) (*upstream, error) {
	u := &upstream{machine: m, id: id, born: time.Now().UnixMilli(), version: "v1", runs: shared, work: work}
	u.state.Store("ready")
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, m.cluster.ports.app))
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	go u.beat(ctx)
	return u, nil
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, hasCredential := r.Header["Credential"]
	entry := run{
		id: id, service: u.machine.service, caller: r.Header.Get("Caller-Service"), tenant: r.Header.Get("Tenant"),
		credential: r.Header.Get("Credential"), hasCredential: hasCredential, target: u.id, at: time.Now(),
	}
	u.runs.add(entry)
	u.machine.cluster.record.printf("run     %s at %s of %s: %s %s Tenant=%q Credential=%q Caller-Service=%q", id, u.id, u.machine.service, r.Method, r.URL.RequestURI(), entry.tenant, entry.credential, entry.caller)
	if u.work > 0 {
		time.Sleep(u.work)
	}
	w.Header().Set("Server-Signature", "s."+u.id+"."+id)
	_, _ = io.WriteString(w, "body of "+id)
}

// beat sends a heartbeat each 1.5 s.
func (u *upstream) beat(ctx context.Context) {
	for {
		u.beatOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (u *upstream) beatOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	m := u.machine
	body := fmt.Sprintf(`{"Address":"%s:%d","Info":{"Service":%q,"Version":%q,"Zone":%q,"Slots":%d},"Status":{"State":%q,"Seq":%d,"ColdRemaining":"0ms"},"born":%d}`,
		m.ip, m.cluster.ports.app, m.service, u.version, m.zone, slots, u.state.Load(), u.seq.Add(1), u.born)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", m.ip, m.cluster.ports.control, u.id), strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := platformClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// platformClient follows no redirects and keeps no connections.
var platformClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// answer is what a client or an operator got.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call is a client's request to the Outbound address of a sidecar.
type call struct {
	method, host, path, id string
	deadline               time.Duration
	header                 map[string]string
}

// send sends a request on a new connection.
func (c *cluster) send(m *machine, q call) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", m.ip, c.ports.outbound, q.path), nil)
	if err != nil {
		return answer{}, err
	}
	request.Host = q.host
	request.Header.Set("Request-Id", q.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	for name, value := range q.header {
		request.Header.Set(name, value)
	}
	c.record.printf("sent    %s to %s: %s %s%s %v", q.id, m.name, q.method, q.host, q.path, q.header)
	response, err := platformClient.Do(request)
	if err != nil {
		c.record.printf("answer  %s none: %v", q.id, err)
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.record.printf("answer  %s %d signature=%q bytes=%d err=%v", q.id, response.StatusCode, response.Header.Get("Server-Signature"), len(body), err)
	return answer{status: response.StatusCode, header: response.Header, body: body}, err
}

// isReady asks the readiness address of a sidecar.
func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", m.ip, m.cluster.ports.ready), nil)
	if err != nil {
		return false
	}
	response, err := platformClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// order sends an operator's order to the control machines, one after the other, until one gives
// a clear response or the time is over.
func (c *cluster) order(within time.Duration, method, path string, header map[string]string, document []byte) (answer, error) {
	end := time.Now().Add(within)
	wait := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		m := c.cores[i%len(c.cores)]
		a, err := c.orderOnce(fmt.Sprintf("http://%s:%d%s", m.ip, c.ports.control, path), method, header, document)
		if err == nil && a.status < 500 && a.status != 408 && a.status != 429 {
			c.record.printf("order   %s %s %v: %d", method, path, header, a.status)
			return a, nil
		}
		time.Sleep(wait)
		wait = min(2*wait, 500*time.Millisecond)
	}
	c.record.printf("order   %s %s %v: no clear response within %s", method, path, header, within)
	return answer{}, errNoResponse
}

var errNoResponse = errors.New("no clear response")

func (c *cluster) orderOnce(url, method string, header map[string]string, document []byte) (answer, error) {
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(document))
		if err != nil {
			cancel()
			return answer{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		for name, value := range header {
			request.Header.Set(name, value)
		}
		response, err := platformClient.Do(request)
		if err != nil {
			cancel()
			return answer{}, err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		cancel()
		if err != nil {
			return answer{}, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return answer{status: response.StatusCode, header: response.Header, body: body}, nil
		}
		url = response.Header.Get("Location")
	}
	return answer{}, errNoResponse
}

// routeConfig is a route of a configuration.
type routeConfig struct {
	Host, PathPrefix, Kind, Timeout, TargetLatency, Service string
	Priority, MaxAttempts                                   int
	Public                                                  bool `json:",omitempty"`
}

type serviceConfig struct {
	HealthPath     string
	MaxConnections int
	Protocol       string
	Tls            bool
}

type tenantConfig struct {
	ApiKeys  []string
	Priority int
	RatePerS float64
	Burst    float64
}

type limitsConfig struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   string
}

// config is a configuration of the operator.
type config struct {
	Version  int
	Routes   map[string]routeConfig
	Services map[string]serviceConfig
	Tenants  map[string]tenantConfig `json:",omitempty"`
	Limits   limitsConfig
}

func newConfig(version int, services ...string) config {
	c := config{Version: version, Routes: map[string]routeConfig{}, Services: map[string]serviceConfig{}, Limits: limitsConfig{16384, 67108864, "3000ms", "15000ms"}}
	for _, s := range services {
		c.Services[s] = serviceConfig{HealthPath: "/health", MaxConnections: 120, Protocol: "h1"}
	}
	return c
}

// replace sends a configuration that builds on base.
func (c *cluster) replace(within time.Duration, base int, document config) error {
	encoded, err := json.Marshal(document)
	if err != nil {
		return err
	}
	a, err := c.order(within, http.MethodPost, "/config/replace", map[string]string{"Base-Version": strconv.Itoa(base)}, encoded)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("configuration %d: status %d: %s", document.Version, a.status, a.body)
	}
	return nil
}

// await waits until the condition holds.
func await(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
