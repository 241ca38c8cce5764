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
