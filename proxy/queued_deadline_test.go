package proxy

import (
	"net/http"
	"net/netip"
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
// at which its target is at work, because a congested link was silent for a second: it is
// given up only if its exit proxy withdraws it. The same holds for a call that is idempotent
// but can't be sent to another target.
func TestSilenceOfCallsThatRunOnce(t *testing.T) {
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 1, serve(t, &http.Server{ReadHeaderTimeout: time.Second}))
	m.update()
	attempt := func() *sentAttempt {
		a := testAttempt(t, n, n.proxy.nextAttemptID())
		a.notice = &startNotice{}
		return a
	}
	// The exit proxy has had records for longer than the attempts last.
	n.proxy.withdraw(t.Context(), attempt())
	time.Sleep(10 * time.Millisecond)
	queued, started, lost := attempt(), attempt(), attempt()
	started.notice.isStarted.Store(true)
	// Nothing listens on port 1.
	lost.upstream = &upstream{peer: n.proxy.peers.get(netip.MustParseAddrPort("127.0.0.1:1"))}
	reached, unreached := attempt(), attempt()
	reached.policy.isLastTarget, unreached.policy.isLastTarget = true, true
	unreached.upstream = lost.upstream
	for _, c := range []struct {
		name       string
		attempt    *sentAttempt
		idempotent bool
		// hasNoRetry is true if the retry budget is used up.
		hasNoRetry bool
		keeps      bool
	}{
		{name: "withdrawn", attempt: queued},
		{name: "started", attempt: started, keeps: true},
		{name: "unknown", attempt: lost, keeps: true},
		{name: "idempotent", attempt: attempt(), idempotent: true},
		{name: "no retry left", attempt: attempt(), idempotent: true, hasNoRetry: true, keeps: true},
		{name: "last target replies", attempt: reached, idempotent: true},
		{name: "last target is silent", attempt: unreached, idempotent: true, keeps: true},
	} {
		call := &entryCall{rule: &route.Rule{Route: hornbeamwell.Route{Idempotent: c.idempotent, MaxAttempts: 2}}}
		call.state, call.service = &ruleState{routeState: &routeState{}}, &serviceState{budget: route.NewBudget(0, 1)}
		if c.hasNoRetry {
			call.service.budget.Withdraw()
		}
		keepsSilent := n.proxy.keepsSilent(call, c.attempt)
		if got := keepsSilent != nil && keepsSilent(); got != c.keeps {
			t.Errorf("%s: the silent connection is kept: %t, want %t", c.name, got, c.keeps)
		}
	}
}
