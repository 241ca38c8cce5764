package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestBusyLinkRefusesOnlyLongResponses guards against a busy link that delays
// long responses past their objective, and against refusals of short ones.
func TestBusyLinkRefusesOnlyLongResponses(t *testing.T) {
	t.Parallel()
	const longBytes = 100_000
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name          string
		bitsPerSecond float64
		route         string
		objective     time.Duration
		isRefused     bool
	}{
		{"long on a busy link", 12e6, "packs", 500 * time.Millisecond, true},
		{"long with enough time", 12e6, "packs", 10 * time.Second, false},
		{"long after its objective", 12e6, "packs", -time.Second, true},
		{"short on a busy link", 12e6, "look-up", 500 * time.Millisecond, false},
		{"short after its objective", 12e6, "look-up", -time.Second, false},
		{"long on an unlimited link", 0, "packs", 500 * time.Millisecond, false},
		{"long on an unlimited link after its objective", 0, "packs", -time.Second, false},
	} {
		p := New(Options{Instance: "p", Zone: "a", LinkRate: test.bitsPerSecond})
		p.link.RecordSize("packs", longBytes)
		p.link.RecordLatency("packs", 100*time.Millisecond)
		p.link.RecordSize("look-up", 400)
		p.link.RecordLatency("look-up", 10*time.Millisecond)
		for range 10 {
			p.link.Reserve(now, longBytes)
		}
		call := &exitCall{waiter: route.Waiter{Objective: now.Add(test.objective), Deadline: now.Add(time.Minute)}}
		call.route = test.route
		refused := p.refuseForLink(now, call)
		if (refused != nil) != test.isRefused {
			t.Errorf("%s: got refusal %v", test.name, refused)
		}
		if refused != nil && refused.retryAfter < 100*time.Millisecond {
			t.Errorf("%s: retry after %s with a megabyte queued on the link", test.name, refused.retryAfter)
		}
	}
}

// TestBusyLinkKeepsLongResponsesInZone guards against long responses that use
// cross-zone bandwidth. The link of the only target in the caller's zone is
// busy, and a target in another zone has an idle link; the call is refused.
func TestBusyLinkKeepsLongResponsesInZone(t *testing.T) {
	t.Parallel()
	const longBytes = 100_000
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	var runs atomic.Int64
	app := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = w.Write([]byte("pack"))
	})
	near := m.add("near", "v1", "a", app)
	m.add("far", "v1", "b", app)
	m.update()
	near.proxy.link = route.NewLink(12e6)
	status := func() int { return call(t.Context(), http.MethodGet, near.entry+"/packs", "", "").status }
	rule := near.proxy.table.Load().Match("", http.MethodGet, "/packs")
	if rule == nil {
		t.Fatal("no route matches the call")
	}
	near.proxy.link.RecordSize(rule.Name, longBytes)
	if got := status(); got != http.StatusOK || runs.Load() != 1 {
		t.Fatalf("on an idle link the call got status %d after %d runs", got, runs.Load())
	}
	near.proxy.link.RecordSize(rule.Name, 100*longBytes)
	near.proxy.link.Reserve(time.Now(), 1000*longBytes)
	if got := status(); got != http.StatusServiceUnavailable || runs.Load() != 1 {
		t.Errorf("on a busy link the call got status %d after %d runs, want a refusal", got, runs.Load())
	}
}
