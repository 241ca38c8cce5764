package proxy

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestCallThatEndsInQueueIsNotRun guards against an answer that says "unknown" to a
// call whose timeout passes while the target's proxy still has it in its queue. Its
// caller could not send it again although it has not run.
func TestCallThatEndsInQueueIsNotRun(t *testing.T) {
	configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
	for i := range configuration.Routes {
		configuration.Routes[i].Timeout = 300 * time.Millisecond
	}
	release := make(chan struct{})
	m := newMesh(t, configuration)
	n := m.addAt("a", "v1", "north", 1, serve(t, &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}),
		ReadHeaderTimeout: time.Second,
	}))
	m.update()
	defer close(release)
	const calls = 8
	results := make([]callResult, calls)
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() { results[i] = call(t.Context(), http.MethodPost, n.entry+"/pairings/1", "", "") })
	}
	wait.Wait()
	unknown := 0
	for i, result := range results {
		switch {
		case result.err != nil:
			t.Errorf("call %d: %v", i, result.err)
		case result.status == http.StatusGatewayTimeout || result.status == http.StatusBadGateway:
			unknown++
		case result.status != http.StatusServiceUnavailable || result.header.Get(headerOutcome) != "not-run":
			t.Errorf("call %d: status %d with outcome %q, want 503 not-run", i, result.status, result.header.Get(headerOutcome))
		}
	}
	// Only the call that has the slot may have run.
	if unknown > 1 {
		t.Errorf("%d of %d calls were answered as unknown, want at most the one that the target has", unknown, calls)
	}
}

// TestSilenceOfCallsThatRunOnce guards against giving up a call that is not idempotent,
// at which its target is at work, because a congested link was silent for a second.
func TestSilenceOfCallsThatRunOnce(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		remaining  time.Duration
		want       time.Duration
	}{
		{idempotent: false, remaining: 6 * time.Second, want: 6 * time.Second},
		{idempotent: false, remaining: time.Second, want: time.Second},
		{idempotent: true, remaining: 6 * time.Second, want: silenceTimeout},
	} {
		call := &entryCall{
			rule:  &route.Rule{Route: hornbeamwell.Route{Idempotent: c.idempotent, MaxAttempts: 1}},
			state: &ruleState{routeState: &routeState{}},
		}
		w := &watchdog{policy: abandonPolicyFor(call, &upstream{}, c.remaining)}
		if got := w.silence(); got != c.want {
			t.Errorf("idempotent %t with %s left: %s of silence allowed, want %s", c.idempotent, c.remaining, got, c.want)
		}
	}
}
