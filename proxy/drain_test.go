package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"
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
