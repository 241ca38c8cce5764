package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is a stand-in for the application on a sidecar machine.
type upstream struct {
	machine *machine
	id      string
	version string
	slots   int
	work    time.Duration
	born    int64
	seq     atomic.Uint64
	// failShare is the share of the requests that run and end with status 500.
	failShare float64
	// losesAnswer decides whether the answer of a request that has run is lost. It may be nil.
	losesAnswer func() bool

	server   *http.Server
	listener net.Listener
	stopBeat context.CancelFunc
	state    atomic.Value

	mu   sync.Mutex
	runs []run
}

// run is a request that an upstream began to run.
type run struct {
	at   time.Time
	id   string
	host string
}

const slots = 12

// startUpstream starts an upstream and its heartbeats.
func startUpstream(m *machine, id, version string, work time.Duration) (*upstream, error) {
	return startFailingUpstream(m, id, version, work, 0)
}

// startFailingUpstream starts an upstream at which the share of the requests fails.
func startFailingUpstream(m *machine, id, version string, work time.Duration, failShare float64) (*upstream, error) {
	u := &upstream{machine: m, id: id, version: version, slots: slots, work: work, born: time.Now().UnixMilli(), failShare: failShare}
	u.state.Store("ready")
	listener, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return nil, err
	}
	u.listener = listener
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.stopBeat = cancel
	go u.beat(ctx)
	m.world.record.line("upstream %s of %s %s starts on %s", id, m.service, version, m.name)
	return u, nil
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		u.machine.world.record.line("upstream %s: request %s expects %s, answers 421", u.id, id, expected)
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, run{at: time.Now(), id: id, host: r.Host})
	u.mu.Unlock()
	u.machine.world.record.line("upstream %s: runs %s", u.id, id)
	body, _ := io.ReadAll(r.Body)
	time.Sleep(u.work)
	if u.losesAnswer != nil && u.losesAnswer() {
		u.machine.world.record.line("upstream %s: the answer to %s is lost", u.id, id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Signature", "signed."+u.id+"."+id)
	if rand.Float64() < u.failShare {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes\n", u.id, id, len(body))
}

// beatBody returns the body of the next heartbeat.
func (u *upstream) beatBody() (body []byte, seq uint64) {
	seq = u.seq.Add(1)
	body, _ = json.Marshal(map[string]any{
		"Address": u.machine.address(portApp),
		"Info":    map[string]any{"Service": u.machine.service, "Version": u.version, "Zone": "zone-a", "Slots": u.slots},
		"Status":  map[string]any{"State": u.state.Load(), "Seq": seq, "ColdRemaining": "0ms"},
		"born":    u.born,
	})
	return body, seq
}

// deliver sends the body of a heartbeat to the control address of the machine.
func (u *upstream) deliver(body []byte, seq uint64) int {
	status := u.call("heartbeat", body)
	u.machine.world.record.line("upstream %s: heartbeat %d %s answered %d", u.id, seq, u.state.Load(), status)
	return status
}

// call calls the control address of the machine. It returns 0 without an answer within a
// second.
func (u *upstream) call(name string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.machine.address(portControl)+"/instances/"+u.id+"/"+name, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// beat sends a heartbeat at the usual interval.
func (u *upstream) beat(ctx context.Context) {
	for {
		body, seq := u.beatBody()
		u.deliver(body, seq)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// drain reports that the upstream is draining, and returns whether that was acknowledged.
func (u *upstream) drain() bool {
	u.state.Store("draining")
	body, seq := u.beatBody()
	return u.deliver(body, seq) == http.StatusOK
}

// deregister deregisters the upstream until that is acknowledged.
func (u *upstream) deregister() (acknowledged time.Time, isAcknowledged bool) {
	for range 20 {
		status := u.call("deregister", []byte("{}"))
		u.machine.world.record.say("upstream %s: deregister answered %d", u.id, status)
		if status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

// exit ends the upstream.
func (u *upstream) exit() {
	u.stopBeat()
	_ = u.server.Close()
	u.machine.world.record.line("upstream %s exits", u.id)
}

func (u *upstream) snapshot() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}

// client sends requests to the outbound address of a machine.
type client struct {
	machine *machine
	http    *http.Client
	prefix  string

	mu      sync.Mutex
	sent    map[string]time.Time
	answers map[string]answer
	next    int
	pending sync.WaitGroup
}

// answer is the answer to a request, status 0 for none.
type answer struct {
	status int
	at     time.Time
}

func newClient(m *machine, prefix string) *client {
	return &client{
		machine: m, prefix: prefix, sent: map[string]time.Time{}, answers: map[string]answer{},
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 20}},
	}
}

// send sends one request and waits for its answer.
func (c *client) send(method, host, path string, deadline time.Duration, body []byte) (id string, got answer) {
	c.mu.Lock()
	c.next++
	id = fmt.Sprintf("%s%08x", c.prefix, c.next)
	c.sent[id] = time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+c.machine.address(portOutbound)+path, bytes.NewReader(body))
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	reason := ""
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		got.status = response.StatusCode
		reason = response.Header.Get("Hornbeamwell-Reason")
	}
	if err != nil {
		got.status = 0
	}
	got.at = time.Now()
	c.mu.Lock()
	c.answers[id] = got
	c.mu.Unlock()
	c.machine.world.record.line("client on %s: %s %s%s id %s answered %d %s %v", c.machine.name, method, host, path, id, got.status, reason, err)
	return id, got
}

// sentAt returns when the request with the id was sent by this client.
func (c *client) sentAt(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, found := c.sent[id]
	return at, found
}

// flow sends requests at a steady rate until the context ends, and waits for the answers.
func (c *client) flow(ctx context.Context, interval time.Duration, method, host, path string, deadline time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pending.Wait()
			return
		case <-ticker.C:
			c.pending.Add(1)
			go func() {
				defer c.pending.Done()
				c.send(method, host, path, deadline, nil)
			}()
		}
	}
}

// served returns how many requests that were sent from the time on got a success.
func (c *client) served(from time.Time) (served, asked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.sent {
		if at.Before(from) {
			continue
		}
		asked++
		if c.answers[id].status == http.StatusOK {
			served++
		}
	}
	return served, asked
}

// operator is a stand-in for the operator.
type operator struct {
	world *world
	http  *http.Client
}

func newOperator(w *world) *operator {
	return &operator{world: w, http: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// order sends an order to the core machines in turn until one gives a clear answer.
func (o *operator) order(method, path string, header map[string]string, body []byte) (status int, reply []byte) {
	for attempt := range 60 {
		m := o.world.core()[attempt%coreMachines]
		status, reply = o.send(m, method, path, header, body)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return status, reply
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, reply
}

// send sends one order to one machine. It returns 0 without an answer.
func (o *operator) send(m *machine, method, path string, header map[string]string, body []byte) (status int, reply []byte) {
	request, _ := http.NewRequest(method, "http://"+m.address(portControl)+path, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := o.http.Do(request)
	if err != nil {
		o.world.record.line("operator: %s %s at %s: %v", method, path, m.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	reply, _ = io.ReadAll(response.Body)
	o.world.record.line("operator: %s %s at %s answered %d %s", method, path, m.name, response.StatusCode, shorten(reply))
	return response.StatusCode, reply
}

func shorten(b []byte) string {
	const most = 200
	if len(b) > most {
		return string(b[:most]) + "..."
	}
	return string(bytes.TrimSpace(b))
}

// configure sends a configuration.
func (o *operator) configure(base, version int, routes, services map[string]any) (status int) {
	document, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	status, _ = o.order(http.MethodPost, "/config/replace", map[string]string{"Base-Version": strconv.Itoa(base)}, document)
	return status
}

func service() map[string]any {
	return map[string]any{"HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}
}

func safeRoute(host, prefix, service string) map[string]any {
	return map[string]any{
		"Host": host, "PathPrefix": prefix, "Kind": "safe", "Timeout": "800ms", "TargetLatency": "300ms", "Priority": 2,
		"Service": service, "MaxAttempts": 2,
	}
}

func unsafeRoute(host, prefix, service string) map[string]any {
	r := safeRoute(host, prefix, service)
	r["Kind"], r["Timeout"], r["TargetLatency"], r["Priority"] = "unsafe", "1000ms", "400ms", 1
	return r
}

// awaitReady waits until the sidecar is ready.
func (m *machine) awaitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + m.address(portReady) + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
