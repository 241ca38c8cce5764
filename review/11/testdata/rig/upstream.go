package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is the interval of heartbeats.
	heartbeatInterval = 870 * time.Millisecond
	// heartbeatRetry is the time after a heartbeat that is not acknowledged.
	heartbeatRetry = 20 * time.Millisecond
	// heartbeatTimeout is the time in which a heartbeat is acknowledged.
	heartbeatTimeout = time.Second
)

// arrival is a request that has reached an upstream.
type arrival struct {
	id, path   string
	at         time.Time
	isFinished bool
}

// upstream is a stand-in upstream beside a sidecar. It runs slots requests at a time and queues
// others.
type upstream struct {
	node    *node
	id      string
	version string
	work    time.Duration
	slots   chan struct{}
	born    int64
	seq     atomic.Int64
	server  *http.Server
	signed  atomic.Int64

	mu sync.Mutex
	// isDraining is true from the first heartbeat that says so. leavingAt is the time of the
	// acknowledgement that it drains or has deregistered.
	isDraining bool
	leavingAt  time.Time
	arrivals   []*arrival
	stop       chan struct{}
	stopOnce   sync.Once
	running    atomic.Int64
}

// startUpstream starts an upstream that listens and sends heartbeats.
func startUpstream(n *node, id, version string, slots int, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", n.address(portUpstream))
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s: %w", id, err)
	}
	u := &upstream{
		node: n, id: id, version: version, work: work, slots: make(chan struct{}, slots),
		born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	go u.beat()
	n.site.record.add("upstream %s of %s starts beside %s", id, n.service, n.name)
	return u, nil
}

// end closes all connections and stops the heartbeats, as the end of its process does.
func (u *upstream) end() {
	u.stopOnce.Do(func() { close(u.stop) })
	_ = u.server.Close()
}

// serve answers a request as a sound upstream does.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", u.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	u.setLoad(h)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		h.Set("Not-Executed", "instance")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a := u.arrive(id, r.URL.Path)
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	u.running.Add(1)
	defer u.running.Add(-1)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		u.node.site.record.add("upstream %s: the connection of request %s ends while it runs", u.id, id)
		return
	}
	u.finish(a)
	body := []byte("answer to " + id)
	h.Set("Server-Signature", fmt.Sprintf("%s.%d", u.id, u.signed.Add(1)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	u.setLoad(h)
	_, _ = w.Write(body)
}

func (u *upstream) setLoad(h http.Header) {
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", u.running.Load(), cap(u.slots)))
}

func (u *upstream) arrive(id, path string) *arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := &arrival{id: id, path: path, at: time.Now()}
	u.arrivals = append(u.arrivals, a)
	since := ""
	if !u.leavingAt.IsZero() {
		since = fmt.Sprintf(", %d ms after its leaving was acknowledged", a.at.Sub(u.leavingAt).Milliseconds())
	}
	u.node.site.record.add("upstream %s: request %s %s arrives%s", u.id, id, path, since)
	return a
}

func (u *upstream) finish(a *arrival) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a.isFinished = true
}

// beat sends heartbeats until the upstream ends.
func (u *upstream) beat() {
	for {
		wait := heartbeatInterval
		if err := u.sendHeartbeat(); err != nil {
			wait = heartbeatRetry
		}
		select {
		case <-u.stop:
			return
		case <-time.After(wait):
		}
	}
}

// sendHeartbeat sends one heartbeat and returns an error unless it is acknowledged.
func (u *upstream) sendHeartbeat() error {
	u.mu.Lock()
	state := "ready"
	if u.isDraining {
		state = "draining"
	}
	u.mu.Unlock()
	body, err := u.heartbeat(state)
	if err != nil {
		return err
	}
	return u.post("heartbeat", body)
}

// heartbeat returns the body of the next heartbeat.
func (u *upstream) heartbeat(state string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"Address": u.node.address(portUpstream),
		"Info":    map[string]any{"Service": u.node.service, "Version": u.version, "Zone": u.node.zone, "Slots": cap(u.slots)},
		"Status":  map[string]any{"State": state, "Seq": u.seq.Add(1), "ColdRemaining": "0ms"},
		"born":    u.born,
	})
}

// post makes a call and returns an error unless it is acknowledged.
func (u *upstream) post(call string, body []byte) error {
	status, err := u.send(call, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s of %s: status %d", call, u.id, status)
	}
	return err
}

// send makes a call and returns the status of the response.
func (u *upstream) send(call string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	url := "http://" + u.node.address(portControl) + "/instances/" + u.id + "/" + call
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = r.Body.Close()
	return r.StatusCode, nil
}

// drain reports that the upstream is draining until that is acknowledged.
func (u *upstream) drain(ctx context.Context) error {
	u.mu.Lock()
	u.isDraining = true
	u.mu.Unlock()
	if err := eventually(ctx, ackBound, "acknowledge draining", u.sendHeartbeat); err != nil {
		return err
	}
	u.mu.Lock()
	u.leavingAt = time.Now()
	u.mu.Unlock()
	u.node.site.record.add("upstream %s: draining is acknowledged by %s", u.id, u.node.name)
	return nil
}

// lateArrivals returns the requests that arrived later than Drain after the acknowledgement and
// not before the given time, and how many of them the upstream did not finish.
func (u *upstream) lateArrivals(from time.Time) (late []*arrival, unfinished int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.arrivals {
		if u.leavingAt.IsZero() || a.at.Sub(u.leavingAt) <= drainBound || a.at.Before(from) {
			continue
		}
		late = append(late, a)
		if !a.isFinished {
			unfinished++
		}
	}
	return late, unfinished
}

// runsOf returns the number of arrivals of each request.
func (u *upstream) runsOf() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := map[string]int{}
	for _, a := range u.arrivals {
		runs[a.id]++
	}
	return runs
}
