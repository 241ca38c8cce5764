package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["early"] = earlyScenario }

const (
	// longBody is the length of a request body, earlyRead what an upstream reads of it before
	// it answers with longAnswer bytes. It reads on after readPause.
	longBody   = 400_000
	earlyRead  = 100_000
	longAnswer = 200_000
	readPause  = 20 * time.Millisecond
	// earlyClients is the number of clients, earlyTime the time for which they send.
	earlyClients = 30
	earlyTime    = 60 * time.Second
	// allowedLost is the number of connections that the rule allows to end without an answer.
	allowedLost = 3
)

// serveConnection serves the requests on a connection. With isEarly it answers a long request
// before it has read it, keeps the connection and reads on.
func serveConnection(connection net.Conn, u *upstream, isEarly bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") != "" {
			_, _ = io.WriteString(connection, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		if isEarly {
			_, _ = io.CopyN(io.Discard, r.Body, earlyRead)
		} else {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		id := r.Header.Get("Request-Id")
		u.runs.add(run{id: id, service: u.machine.service, target: u.id, at: time.Now()})
		size := 10
		if r.Method == http.MethodPost {
			size = longAnswer
		}
		if _, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, u.id, id, size, strings.Repeat("p", size)); err != nil {
			return
		}
		time.Sleep(readPause)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// startPlainUpstream starts an upstream that serves connections by serveConnection.
func startPlainUpstream(m *machine, shared *runs, id string, isEarly bool) error {
	u := &upstream{machine: m, id: id, born: time.Now().UnixMilli(), version: "v1", runs: shared}
	u.state.Store("ready")
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, m.cluster.ports.app))
	if err != nil {
		return err
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(connection, u, isEarly)
		}
	}()
	go u.beat(context.Background())
	return nil
}

// earlyCounts are the results of the long requests.
type earlyCounts struct {
	sent, lost, otherwise atomic.Int64
}

// earlyScenario sends long requests on kept connections to upstreams that answer before they
// have read them.
func earlyScenario(record *recorder, program string, trouble bool) error {
	c, err := newCluster(record, program, 5, []string{"profiles", "pairing", "pairing"})
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return err
	}
	shared := &runs{}
	for i, m := range c.sidecars {
		if err := startPlainUpstream(m, shared, fmt.Sprintf("i-%d", i+1), trouble); err != nil {
			return err
		}
	}
	document := newConfig(3, "profiles", "pairing")
	document.Routes["confirm"] = routeConfig{Host: "pairs.example", PathPrefix: "/confirm/", Kind: "unsafe", Timeout: "2000ms", TargetLatency: "600ms", Service: "pairing", Priority: 1, MaxAttempts: 2}
	if err := c.replace(20*time.Second, 0, document); err != nil {
		return err
	}
	entry := c.sidecars[0]
	tries := 0
	isServed := func() bool {
		tries++
		a, _ := c.send(entry, call{method: "GET", host: "pairs.example", path: "/confirm/7", id: fmt.Sprintf("first%d", tries), deadline: 4 * time.Second})
		return a.status == http.StatusOK && entry.isReady()
	}
	if !await(20*time.Second, isServed) {
		return fmt.Errorf("the deployment serves nothing")
	}
	time.Sleep(4 * time.Second)
	var counts earlyCounts
	var clients sync.WaitGroup
	end := time.Now().Add(earlyTime)
	for i := range earlyClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: 5 * time.Second}
			for n := 0; time.Now().Before(end); n++ {
				// The short request makes the connection a kept one.
				_, _, _ = c.exchange(client, entry, http.MethodGet, fmt.Sprintf("s%d-%d", i, n), nil)
				c.sendLong(client, entry, shared, fmt.Sprintf("r%d-%d", i, n), &counts)
			}
		})
	}
	clients.Wait()
	lost := counts.lost.Load()
	record.printf("sent %d long requests; ran and ended without a whole answer on a kept connection: %d; answered otherwise or not run: %d", counts.sent.Load(), lost, counts.otherwise.Load())
	if lost > allowedLost {
		return fmt.Errorf("%w: LOST: %d of %d requests on kept connections ran and got no whole answer", errBroken, lost, counts.sent.Load())
	}
	return nil
}

// sendLong sends a long request and counts its result.
func (c *cluster) sendLong(client *http.Client, entry *machine, shared *runs, id string, counts *earlyCounts) {
	counts.sent.Add(1)
	isKept, got, err := c.exchange(client, entry, http.MethodPost, id, bytes.Repeat([]byte("u"), longBody))
	switch {
	case err == nil && got.status == http.StatusOK && len(got.body) == longAnswer:
	case err != nil && isKept && len(shared.of(id)) > 0:
		counts.lost.Add(1)
		c.record.printf("lost    %s ran, status %d and %d of %d bytes on a kept connection: %v", id, got.status, len(got.body), longAnswer, err)
	default:
		counts.otherwise.Add(1)
		c.record.printf("other   %s runs %d, status %d, %d bytes, kept %v: %v", id, len(shared.of(id)), got.status, len(got.body), isKept, err)
	}
}

// exchange sends a request on the client's connection. It reports whether that was kept from an
// earlier request.
func (c *cluster) exchange(client *http.Client, m *machine, method, id string, body []byte) (isKept bool, a answer, err error) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isKept = info.Reused }})
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/confirm/7", m.ip, c.ports.outbound), bytes.NewReader(body))
	if err != nil {
		return false, answer{}, err
	}
	// The client sends nothing again by itself.
	request.GetBody = nil
	request.Host = "pairs.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "4000")
	response, err := client.Do(request)
	if err != nil {
		return isKept, answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a = answer{status: response.StatusCode, header: response.Header}
	a.body, err = io.ReadAll(response.Body)
	return isKept, a, err
}
