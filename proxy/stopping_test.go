package proxy

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// stopGrace is the grace period of the stops in these tests. Its last sixth is 500 ms.
const stopGrace = 3 * time.Second

// stoppedMesh returns an entry proxy without a target and the proxy of a target, both with
// a grace period.
func stoppedMesh(t *testing.T, slots int, target http.HandlerFunc) (entry, exit *node) {
	t.Helper()
	configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
	for i := range configuration.Routes {
		configuration.Routes[i].Timeout = 20 * time.Second
		configuration.Routes[i].MaxAttempts = 1
	}
	m := newMesh(t, configuration)
	exit = m.addAt("a", "v1", "north", slots, serve(t, &http.Server{Handler: target, ReadHeaderTimeout: time.Second}))
	entry = &node{proxy: New(Options{Instance: "proxy-entry", Zone: "north"})}
	entry.entry = "http://" + serve(t, entry.proxy.EntryServer()).String()
	t.Cleanup(func() { entry.proxy.peers.retain(nil) })
	for _, n := range []*node{entry, exit} {
		n.proxy.options.Grace = stopGrace
		if err := n.proxy.Update(time.Now(), configuration, []hornbeamwell.Target{exit.target}); err != nil {
			t.Fatal(err)
		}
	}
	return entry, exit
}

// TestStopAbandonsOnlyCallsThatOutlastIt guards against a process that waits for a long
// call until it is killed, at either side, and against calls that are cut although their
// target responds before the last sixth of the grace period.
func TestStopAbandonsOnlyCallsThatOutlastIt(t *testing.T) {
	t.Parallel()
	for _, stopped := range []string{"entry", "exit"} {
		t.Run(stopped, func(t *testing.T) {
			t.Parallel()
			var running sync.WaitGroup
			running.Add(2)
			entry, exit := stoppedMesh(t, 10, func(w http.ResponseWriter, r *http.Request) {
				running.Done()
				duration := stopGrace*5/6 - 100*time.Millisecond
				if strings.HasSuffix(r.URL.Path, "/long") {
					duration = 2 * stopGrace
				}
				select {
				case <-time.After(duration):
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, "whole")
			})
			p := entry.proxy
			if stopped == "exit" {
				p = exit.proxy
			}
			var calls sync.WaitGroup
			var short, long callResult
			var longTook time.Duration
			began := time.Now()
			calls.Go(func() { short = call(t.Context(), http.MethodPost, entry.entry+"/pairings/short", "", "x") })
			calls.Go(func() {
				long = call(t.Context(), http.MethodPost, entry.entry+"/pairings/long", "", "x")
				longTook = time.Since(began)
			})
			running.Wait()
			began = time.Now()
			p.BeginStop(began)
			ctx, cancel := context.WithDeadline(t.Context(), began.Add(stopGrace))
			defer cancel()
			if err := p.Drain(ctx); err != nil {
				t.Errorf("the stop did not end within the grace period: %v", err)
			}
			calls.Wait()
			if short.status != http.StatusOK || short.body != "whole" {
				t.Errorf("the call that ended in time got %d %q, reason %s, error %v", short.status, short.body, short.header.Get(headerReason), short.err)
			}
			if long.status != http.StatusGatewayTimeout || long.header.Get(headerOutcome) != "unknown" || longTook < stopGrace*5/6 {
				t.Errorf("the call that outlasts the stop got %d, reason %s, error %v after %s; want 504 in the last sixth of %s",
					long.status, long.header.Get(headerReason), long.err, longTook, stopGrace)
			}
		})
	}
}

// TestStoppingExitRefusesWhatItHasNotStarted guards against calls that wait in the queue
// of a stopping exit, or join it after the signal, instead of being refused as not run at
// once.
func TestStoppingExitRefusesWhatItHasNotStarted(t *testing.T) {
	t.Parallel()
	started, finish := make(chan struct{}, 10), make(chan struct{})
	entry, exit := stoppedMesh(t, 1, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-finish
	})
	send := func() callResult {
		return call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", "", "x")
	}
	results := make(chan callResult, 3)
	go func() { results <- send() }()
	<-started
	for range 2 {
		go func() { results <- send() }()
	}
	for end := time.Now().Add(5 * time.Second); ; {
		if load, _ := exit.proxy.local.Load().gate.load(); load == 3 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the calls do not wait at the exit")
		}
		time.Sleep(time.Millisecond)
	}
	exit.proxy.BeginStop(time.Now())
	// A call may have passed all earlier checks before the signal.
	waiter := &route.Waiter{Deadline: time.Now().Add(time.Minute), Decided: make(chan route.Verdict, 1)}
	if got := exit.proxy.local.Load().gate.acquire(t.Context(), time.Now(), waiter); got == nil || got.reason != ReasonDraining {
		t.Errorf("a call that requests a slot after the signal got the refusal %v", got)
	}
	// An announcement from before the signal may arrive late.
	exit.target.Sequence++
	exit.proxy.SetLocalTarget(exit.target, exit.appAddress)
	refused := []callResult{<-results, <-results, send()}
	close(finish)
	for i, got := range refused {
		if got.status != http.StatusServiceUnavailable || got.header.Get(headerOutcome) != "not-run" || got.header.Get("Retry-After") == "" {
			t.Errorf("call %d: status %d, outcome %q, error %v, want 503 not-run with a Retry-After", i, got.status, got.header.Get(headerOutcome), got.err)
		}
	}
	if got := <-results; got.status != http.StatusOK {
		t.Errorf("the running call got %d, reason %s", got.status, got.header.Get(headerReason))
	}
	if len(started) > 0 {
		t.Errorf("%d calls were started after the signal", len(started))
	}
}

// TestStoppingEntryAcceptsCallsForHalfOfTheGracePeriod guards against refusals while
// callers still use their open connections, and against calls that are sent to a target
// too late to end, among them one whose body arrives slowly.
func TestStoppingEntryAcceptsCallsForHalfOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	entry, _ := stoppedMesh(t, 10, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.entry+"/pairings/slow", reader)
	if err != nil {
		t.Fatal(err)
	}
	// Bodies of unknown length are streamed instead of read.
	request.ContentLength = 10
	watch := watchPauses(t)
	began := time.Now()
	entry.proxy.BeginStop(began)
	slow := make(chan callResult, 1)
	go func() { slow <- do(request) }()
	time.Sleep(stopGrace / 4)
	got := call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", "", "x")
	// A pause of the process may have moved the call to the second half.
	wasInFirstHalf, wantRuns := watch.paused() < stopGrace/4, int64(1)
	if wasInFirstHalf && got.status != http.StatusOK {
		t.Errorf("a call in the first half got %d, reason %s", got.status, got.header.Get(headerReason))
	}
	if !wasInFirstHalf && got.status == http.StatusServiceUnavailable && got.header.Get(headerOutcome) == "not-run" {
		wantRuns = 0
	}
	got = <-slow
	if took := time.Since(began) - watch.paused(); got.status != http.StatusServiceUnavailable || got.header.Get(headerOutcome) != "not-run" || took < stopGrace/2-watch.paused() || took > stopGrace*3/4 {
		t.Errorf("the call with a slow body got %d, outcome %q, error %v after %s", got.status, got.header.Get(headerOutcome), got.err, took)
	}
	if got := call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", "", "x"); got.status != http.StatusServiceUnavailable || got.header.Get(headerOutcome) != "not-run" {
		t.Errorf("a call in the second half got %d, outcome %q", got.status, got.header.Get(headerOutcome))
	}
	if runs.Load() != wantRuns {
		t.Errorf("%d calls ran, want %d", runs.Load(), wantRuns)
	}
}

// finalWriter drops interim responses, as a congested link that delivers them late.
type finalWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (f finalWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		f.ResponseWriter.WriteHeader(status)
	}
}

// TestStoppingEntryKeepsSilentCalls guards against a stopping entry that answers 502 to a
// call that its target runs, because the link to the target's proxy is silent. The call
// can't be sent to another target.
func TestStoppingEntryKeepsSilentCalls(t *testing.T) {
	t.Parallel()
	started := make(chan struct{})
	entry, exit := stoppedMesh(t, 10, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(2 * silenceTimeout)
		_, _ = io.WriteString(w, "whole")
	})
	quiet := serve(t, &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			exit.proxy.ExitHandler().ServeHTTP(finalWriter{w}, r)
		}),
		ReadHeaderTimeout: time.Second,
	})
	moveExit(t, entry, exit, quiet)
	result := make(chan callResult, 1)
	go func() { result <- call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "") }()
	<-started
	entry.proxy.BeginStop(time.Now())
	if got := <-result; got.status != http.StatusOK || got.body != "whole" {
		t.Errorf("status %d %q, reason %s, error %v", got.status, got.body, got.header.Get(headerReason), got.err)
	}
}

// TestStoppingEntryKeepsRunningCallWithOtherTarget guards against a stopping entry that gives up
// an idempotent call at which its target is at work, since the link to the target's proxy is
// silent, and answers 502 as another target refuses the call.
func TestStoppingEntryKeepsRunningCallWithOtherTarget(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
	m := newMesh(t, configuration)
	started := make(chan struct{}, 10)
	running := m.add("a", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		started <- struct{}{}
		time.Sleep(2 * silenceTimeout)
		_, _ = io.WriteString(w, "whole")
	}))
	running.target.Exit = serve(t, &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			running.proxy.ExitHandler().ServeHTTP(finalWriter{w}, r)
		}),
		ReadHeaderTimeout: time.Second,
	})
	entry := &node{proxy: New(Options{Instance: "proxy-entry", Zone: "north", Grace: stopGrace})}
	entry.entry = "http://" + serve(t, entry.proxy.EntryServer()).String()
	t.Cleanup(func() { entry.proxy.peers.retain(nil) })
	m.update()
	if err := entry.proxy.Update(time.Now(), configuration, []hornbeamwell.Target{running.target}); err != nil {
		t.Fatal(err)
	}
	result := make(chan callResult, 1)
	go func() { result <- call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "") }()
	<-started
	refusing := m.add("b", "v1", "north", http.NotFoundHandler())
	refusing.proxy.draining.Store(true)
	configuration.Version++
	if err := entry.proxy.Update(time.Now(), configuration, []hornbeamwell.Target{running.target, refusing.target}); err != nil {
		t.Fatal(err)
	}
	entry.proxy.BeginStop(time.Now())
	if got := <-result; got.status != http.StatusOK || got.body != "whole" || runs.Load() != 1 {
		t.Errorf("status %d %q after %d runs, reason %s, error %v", got.status, got.body, runs.Load(), got.header.Get(headerReason), got.err)
	}
}

// moveExit makes the entry send the calls of the exit's target to the address.
func moveExit(t *testing.T, entry, exit *node, address netip.AddrPort) {
	t.Helper()
	moved := exit.target
	moved.Exit = address
	moved.Sequence++
	table := entry.proxy.table.Load()
	configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
	configuration.Version = table.Version + 1
	for i := range configuration.Routes {
		configuration.Routes[i].MaxAttempts = 1
	}
	if err := entry.proxy.Update(time.Now(), configuration, []hornbeamwell.Target{moved}); err != nil {
		t.Fatal(err)
	}
}

// TestStoppingEntryWithdrawsCallsThatWait guards against a call that waits in the queue of
// another proxy until the stop abandons it, although it could be refused as not run after
// half of the grace period.
func TestStoppingEntryWithdrawsCallsThatWait(t *testing.T) {
	t.Parallel()
	started, finish := make(chan struct{}, 10), make(chan struct{})
	entry, exit := stoppedMesh(t, 1, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-finish
	})
	results := make(chan callResult, 2)
	send := func() { results <- call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", "", "x") }
	go send()
	<-started
	go send()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if load, _ := exit.proxy.local.Load().gate.load(); load == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the call does not wait at the exit")
		}
	}
	began := time.Now()
	entry.proxy.BeginStop(began)
	got := <-results
	took := time.Since(began)
	close(finish)
	if got.status != http.StatusServiceUnavailable || got.header.Get(headerOutcome) != "not-run" || got.header.Get("Retry-After") == "" || took < stopGrace/2 || took > stopGrace*5/6 {
		t.Errorf("the waiting call got %d, reason %s, error %v after %s, want 503 not-run after half of %s",
			got.status, got.header.Get(headerReason), got.err, took, stopGrace)
	}
	if got := <-results; got.status != http.StatusOK {
		t.Errorf("the running call got %d, reason %s", got.status, got.header.Get(headerReason))
	}
	if len(started) > 0 {
		t.Error("the call that was withdrawn was started")
	}
}

// logFunc calls a function with the fields of each line.
type logFunc func(fields ...any)

// Log implements log.Logger.
func (f logFunc) Log(fields ...any) error {
	f(fields...)
	return nil
}

// TestResponseAtTheEndOfAStopIsWholeOrRefused guards against a connection that is closed in
// the middle of a response that begins while a stopping proxy, at either side, abandons its
// calls.
func TestResponseAtTheEndOfAStopIsWholeOrRefused(t *testing.T) {
	t.Parallel()
	for _, stopped := range []string{"entry", "exit"} {
		t.Run(stopped, func(t *testing.T) {
			t.Parallel()
			running, release := make(chan struct{}), make(chan struct{})
			entry, exit := stoppedMesh(t, 10, func(w http.ResponseWriter, _ *http.Request) {
				close(running)
				<-release
				w.Header().Set("Content-Length", "100000")
				_, _ = io.WriteString(w, strings.Repeat("p", 50_000))
				time.Sleep(400 * time.Millisecond)
				_, _ = io.WriteString(w, strings.Repeat("p", 50_000))
			})
			n := map[string]*node{"entry": entry, "exit": exit}[stopped]
			n.proxy.options.Logger = logFunc(func(fields ...any) {
				if fields[1] == "calls_abandoned" {
					close(release)
					time.Sleep(200 * time.Millisecond)
				}
			})
			ended := make(chan callResult, 1)
			go func() { ended <- call(t.Context(), http.MethodGet, entry.entry+"/packs/1", "", "") }()
			<-running
			n.proxy.BeginStop(time.Now())
			got := <-ended
			if got.err != nil || got.status != http.StatusOK && got.status != http.StatusGatewayTimeout {
				t.Errorf("status %d, %d bytes, error %v, want a whole response or 504", got.status, len(got.body), got.err)
			}
		})
	}
}

// TestAbandonedCallHasNoResponse guards against a response that is begun although the end of
// its call's context, a moment earlier, keeps the rest from being read.
func TestAbandonedCallHasNoResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		isAbandonedFirst, isComplete, isRefused bool
	}{
		{isAbandonedFirst: true, isRefused: true},
		{isAbandonedFirst: true, isComplete: true},
		{isAbandonedFirst: false},
	} {
		p := New(Options{Instance: "p", Zone: "a"})
		ctx, pending := p.beginPending(t.Context(), time.Now(), entrySide, "browse")
		if c.isAbandonedFirst {
			p.stopping.abandonPending()
		}
		refused := pending.claim(&targetResponse{complete: c.isComplete})
		if (refused != nil) != c.isRefused || refused != nil && refused.reason != ReasonAbandoned {
			t.Errorf("%+v: refused with %v", c, refused)
		}
		p.stopping.abandonPending()
		if !c.isAbandonedFirst && ctx.Err() != nil {
			t.Errorf("%+v: a call with a response was abandoned", c)
		}
	}
}
