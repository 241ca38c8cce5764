package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

// echo returns a target that counts its calls and responds with its version, the
// method, the path with the query, and the body.
func echo(version string, calls *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Target", version)
		_, _ = fmt.Fprintf(w, "%s %s %s %s", version, r.Method, r.URL.RequestURI(), body)
	})
}

func TestCallsFollowShares(t *testing.T) {
	m := newMesh(t, standardConfiguration(
		hornbeamwell.TargetVersion{Name: "v1", Share: 9_000},
		hornbeamwell.TargetVersion{Name: "v2", Share: 1_000},
	))
	var oldCalls, newCalls atomic.Int64
	entry := m.add("a", "v1", "north", echo("v1", &oldCalls))
	m.add("b", "v2", "south", echo("v2", &newCalls))
	m.update()
	const total = 1_000
	for i := range total {
		body := fmt.Sprintf("hello %d", i)
		got := call(context.Background(), http.MethodPut, entry.entry+"/profiles/7?x=1", "", body)
		if got.err != nil || got.status != http.StatusOK {
			t.Fatalf("call %d: status %d, error %v, body %s", i, got.status, got.err, got.body)
		}
		if want := got.header.Get("X-Target") + " PUT /profiles/7?x=1 " + body; got.body != want {
			t.Fatalf("body %q, want %q", got.body, want)
		}
	}
	if oldCalls.Load()+newCalls.Load() != total {
		t.Fatalf("the targets ran %d and %d calls of %d", oldCalls.Load(), newCalls.Load(), total)
	}
	if n := newCalls.Load(); n < 60 || n > 150 {
		t.Fatalf("the version with a share of 10%% ran %d of %d calls", n, total)
	}
}

func TestUnconfiguredProxySendsRetryAfter(t *testing.T) {
	p := New(Options{Instance: "p1", Zone: "a"})
	got := callEntry(t, serve(t, p.EntryServer()).String())
	if got.status != http.StatusServiceUnavailable || got.reason != "not_configured" || got.retryAfter == "" {
		t.Errorf("response %+v, want status 503, reason not_configured and a Retry-After", got)
	}
}
