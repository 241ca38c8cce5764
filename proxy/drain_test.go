package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestDrainFinishesCallsInFlight drains a proxy with a call in flight.
func TestDrainFinishesCallsInFlight(t *testing.T) {
	started := make(chan struct{})
	n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(200 * time.Millisecond)
		w.WriteHeader(http.StatusCreated)
	})
	done := make(chan callResult, 1)
	go func() { done <- call(context.Background(), http.MethodPost, n.entry+"/pairings", "", "x") }()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- n.proxy.Drain(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	refused := call(context.Background(), http.MethodPost, n.entry+"/pairings", "", "x")
	if refused.header.Get(headerOutcome) != "not-run" || refused.header.Get("Retry-After") == "" {
		t.Errorf("a new call got status %d, headers %v, want outcome not-run and a Retry-After", refused.status, refused.header)
	}
	if got := <-done; got.status != http.StatusCreated {
		t.Errorf("the call in flight got status %d, error %v", got.status, got.err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func TestDisableKeepAlivesClosesCallerConnections(t *testing.T) {
	p := New(Options{Instance: "p1", Zone: "a"})
	entry := serve(t, p.EntryServer()).String()
	if callEntry(t, entry).isClosing {
		t.Error("the connection was closed while keep-alives were enabled")
	}
	p.DisableKeepAlives()
	if !callEntry(t, entry).isClosing {
		t.Error("the connection stayed open although keep-alives were disabled")
	}
}

// TestResponseDuringAStopClosesItsConnection guards against connections that callers and
// entry proxies keep through a stop because their call began before it. The end of the stop
// closes such a connection, also as a call that may not be repeated is sent on it.
func TestResponseDuringAStopClosesItsConnection(t *testing.T) {
	t.Parallel()
	for _, bodySize := range []int{10, 2 * maxBufferedResponse} {
		started, finish := make(chan struct{}), make(chan struct{})
		m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
		exit := m.add("exit", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-finish
			_, _ = io.WriteString(w, strings.Repeat("x", bodySize))
		}))
		entry := m.add("entry", "v1", "north", http.NotFoundHandler())
		entry.target.Service = "none"
		m.update()
		go func() {
			<-started
			entry.proxy.DisableKeepAlives()
			exit.proxy.DisableKeepAlives()
			close(finish)
		}()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.entry+"/packs/1", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := callerClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != bodySize {
			t.Errorf("%d bytes, error %v, want %d", len(body), err, bodySize)
		}
		_ = response.Body.Close()
		if !response.Close {
			t.Errorf("%d bytes: the caller keeps its connection to the entry proxy", bodySize)
		}
		// The entry proxy may return its connection after the end of the response.
		time.Sleep(50 * time.Millisecond)
		pool := entry.proxy.peers.get(exit.target.Exit).pool
		pool.mu.Lock()
		if len(pool.idle) > 0 {
			t.Errorf("%d bytes: the entry proxy keeps its connection to the exit proxy", bodySize)
		}
		pool.mu.Unlock()
	}
}
