package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestFrozenTargetFailsOver guards against calls that wait until their deadline
// for a target that accepts connections but never responds.
func TestFrozenTargetFailsOver(t *testing.T) {
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	var isFrozen atomic.Bool
	release := make(chan struct{})
	defer close(release)
	entry := m.add("live", "v1", "north", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	m.add("frozen", "v1", "north", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if isFrozen.Load() {
			<-release
		}
	}))
	m.update()
	for range 10 {
		call(context.Background(), http.MethodGet, entry.entry+"/profiles/1", "", "")
	}
	isFrozen.Store(true)
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			started := time.Now()
			got := call(context.Background(), http.MethodGet, entry.entry+"/profiles/1", "", "")
			if got.status != http.StatusOK || time.Since(started) > 2500*time.Millisecond {
				t.Errorf("status %d, reason %s after %v, want 200 within 2.5 s", got.status, got.header.Get(headerReason), time.Since(started))
			}
		})
	}
	wait.Wait()
}

// TestStalledCallThatRunsOnceIsKept guards against a call that is not idempotent and ends with
// 502 after half of its time because its target has stalled, although it can't be sent
// elsewhere and its target responds in time.
func TestStalledCallThatRunsOnceIsKept(t *testing.T) {
	t.Parallel()
	configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
	for i := range configuration.Routes {
		configuration.Routes[i].MaxAttempts = 3
		configuration.Routes[i].Timeout = 6 * time.Second
	}
	m := newMesh(t, configuration)
	var isStalled atomic.Bool
	for _, id := range []string{"a", "b"} {
		m.add(id, "v1", "north", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if isStalled.Load() {
				time.Sleep(4 * time.Second)
			}
		}))
	}
	entry := m.nodes[0]
	m.update()
	for range 10 {
		call(t.Context(), http.MethodPost, entry.entry+"/pairings", "", "")
	}
	isStalled.Store(true)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			if got := call(t.Context(), http.MethodPost, entry.entry+"/pairings", "", ""); got.err != nil || got.status != http.StatusOK {
				t.Errorf("status %d, reason %s, error %v, want 200", got.status, got.header.Get(headerReason), got.err)
			}
		})
	}
	wait.Wait()
}
