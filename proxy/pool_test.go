package proxy

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestConnectionCarriesOneCallAtATime guards against a connection that is
// returned to the pool twice and then shared by two calls. It sends many calls
// with empty responses, whose bodies are closed more than once, and some whose
// deadline passes.
func TestConnectionCarriesOneCallAtATime(t *testing.T) {
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "slow" {
			time.Sleep(30 * time.Millisecond)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	var wait sync.WaitGroup
	for caller := range 8 {
		wait.Go(func() {
			for i := range 40 {
				url := n.entry + "/profiles/1"
				if (caller+i)%8 == 0 {
					ctx, cancel := context.WithTimeout(context.Background(), 15*time.Millisecond)
					call(ctx, http.MethodGet, url+"?slow", "", "")
					cancel()
					continue
				}
				if got := call(context.Background(), http.MethodPost, n.entry+"/pairings", "", "x"); got.status != http.StatusNoContent {
					t.Errorf("status %d, reason %s, error %v, want 204", got.status, got.header.Get(headerReason), got.err)
				}
			}
		})
	}
	wait.Wait()
	pool := n.proxy.peers.get(n.target.Exit).pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	seen := make(map[*pooledConnection]bool)
	for _, c := range pool.idle {
		if seen[c] {
			t.Error("a connection is in the pool twice")
		}
		seen[c] = true
	}
}
