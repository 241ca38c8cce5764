package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	stopLinkRate = 8e6
	// stopLinkSize is the size of a response that takes 67 ms on the link.
	stopLinkSize = 60_000
)

// linkedMesh returns a stoppedMesh whose exit has a bounded link. The target calls meanwhile
// between the header and the body of each response after the first three.
func linkedMesh(t *testing.T, size int, meanwhile func(entry, exit *Proxy)) (entry, exit *node, runs *atomic.Int64) {
	t.Helper()
	runs = &atomic.Int64{}
	entry, exit = stoppedMesh(t, 10, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		if runs.Add(1) > 3 {
			meanwhile(entry.proxy, exit.proxy)
		}
		_, _ = io.WriteString(w, strings.Repeat("p", size))
	})
	exit.proxy.link = route.NewLink(stopLinkRate)
	for range 3 {
		if got := call(t.Context(), http.MethodGet, entry.entry+"/packs/1", "", ""); got.err != nil || len(got.body) != size {
			t.Fatalf("before the stop: status %d, %d bytes, error %v", got.status, len(got.body), got.err)
		}
	}
	return entry, exit, runs
}

// TestStoppingEntrySendsNoCallThatMissesTheLink guards against a call that a stopping entry
// accepts and abandons although its target has responded, because the response waits for a
// link that is not free before the entry abandons its calls.
func TestStoppingEntrySendsNoCallThatMissesTheLink(t *testing.T) {
	t.Parallel()
	// busyBytes keep the link busy beyond the end of the stop.
	const busyBytes = stopLinkRate / 8 * 4
	entry, exit, runs := linkedMesh(t, stopLinkSize, func(*Proxy, *Proxy) {})
	exit.proxy.link.Reserve(time.Now(), busyBytes)
	runs.Store(0)
	entry.proxy.BeginStop(time.Now())
	got := call(t.Context(), http.MethodGet, entry.entry+"/packs/1", "", "")
	isWhole := got.err == nil && got.status == http.StatusOK && len(got.body) == stopLinkSize
	isNotRun := got.header.Get(headerOutcome) == "not-run" && runs.Load() == 0
	if !isWhole && !isNotRun {
		t.Errorf("status %d, outcome %q, reason %s, %d bytes, error %v after %d runs, want the response or a refusal of a call that did not run",
			got.status, got.header.Get(headerOutcome), got.header.Get(headerReason), len(got.body), got.err, runs.Load())
	}
}

// TestResponsesToAStoppingEntryGoFirst guards against a call that a stopping entry abandons
// although its target has responded, because other responses began before its body came and
// wait for the link in front of it. The call comes before or after the signal.
func TestResponsesToAStoppingEntryGoFirst(t *testing.T) {
	t.Parallel()
	for _, isSentBefore := range []bool{false, true} {
		entry, _, _ := linkedMesh(t, stopLinkSize, func(entry, exit *Proxy) {
			now := time.Now()
			for range 100 {
				exit.link.ReserveBy(now, stopLinkSize, now.Add(time.Minute))
			}
			// Without effect if the stop began before.
			entry.BeginStop(now)
		})
		if !isSentBefore {
			entry.proxy.BeginStop(time.Now())
		}
		got := call(t.Context(), http.MethodGet, entry.entry+"/packs/1", "", "")
		if got.err != nil || got.status != http.StatusOK || len(got.body) != stopLinkSize {
			t.Errorf("sent before the signal: %v: status %d, reason %s, %d bytes, error %v",
				isSentBefore, got.status, got.header.Get(headerReason), len(got.body), got.err)
		}
	}
}

// TestResponseThatMissesTheEndOfAStopIsNotBegun guards against a 200 that begins before the
// entry abandons its calls and is cut at the end of the stop, because the rest takes longer
// on the link.
func TestResponseThatMissesTheEndOfAStopIsNotBegun(t *testing.T) {
	t.Parallel()
	// The response may begin 2.2 s after the signal and takes 0.67 s, of 2.75 s.
	const size = 10 * stopLinkSize
	entry, _, _ := linkedMesh(t, size, func(_, exit *Proxy) {
		now := time.Now()
		exit.link.ReserveBy(now, stopLinkRate/8*0.9*2.2, now.Add(2300*time.Millisecond))
	})
	entry.proxy.BeginStop(time.Now())
	got := call(t.Context(), http.MethodGet, entry.entry+"/packs/1", "", "")
	if got.status != http.StatusGatewayTimeout || got.header.Get(headerOutcome) != "unknown" || got.header.Get(headerReason) != string(ReasonAbandoned) {
		t.Errorf("status %d, outcome %q, reason %s, %d bytes, error %v, want 504 unknown abandoned",
			got.status, got.header.Get(headerOutcome), got.header.Get(headerReason), len(got.body), got.err)
	}
}

// TestResponseGoesOnWhenItsEntryAbandonsCalls guards against a response that is cut because
// its exit took the time at which the entry abandons calls for the deadline of the call.
func TestResponseGoesOnWhenItsEntryAbandonsCalls(t *testing.T) {
	t.Parallel()
	var began atomic.Pointer[time.Time]
	entry, _ := stoppedMesh(t, 10, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(2*stopLinkSize))
		_, _ = io.WriteString(w, strings.Repeat("p", stopLinkSize))
		_ = http.NewResponseController(w).Flush()
		schedule := route.Stop{Began: *began.Load(), Grace: stopGrace}
		time.Sleep(time.Until(schedule.AbandonAt()) + 50*time.Millisecond)
		_, _ = io.WriteString(w, strings.Repeat("p", stopLinkSize))
	})
	now := time.Now()
	began.Store(&now)
	entry.proxy.BeginStop(now)
	got := call(t.Context(), http.MethodGet, entry.entry+"/packs/1", "", "")
	// A machine under load may be so late that the call is refused or abandoned.
	if got.err != nil || got.status == http.StatusOK && len(got.body) != 2*stopLinkSize {
		t.Errorf("status %d, reason %s, %d bytes, error %v, want a whole response", got.status, got.header.Get(headerReason), len(got.body), got.err)
	}
}

// TestExitStartsNoCallThatOutlastsTheStopOfItsEntry guards against a run whose response a
// stopping entry does not await, although the call could be refused as not run.
func TestExitStartsNoCallThatOutlastsTheStopOfItsEntry(t *testing.T) {
	t.Parallel()
	now := time.Now()
	p := New(Options{Instance: "p", Zone: "a"})
	gate := newGate(time.Now, 1)
	waiter := &route.Waiter{Route: "pack", Deadline: now.Add(time.Minute), Decided: make(chan route.Verdict, 1)}
	if refused := gate.acquire(t.Context(), now, waiter); refused != nil {
		t.Fatal(refused.reason)
	}
	gate.release(now, waiter, 2*time.Second, false)
	for _, left := range []time.Duration{0, time.Second, 3 * time.Second} {
		call := &exitCall{envelope: envelope{route: "pack"}, local: &localTarget{gate: gate}}
		if left > 0 {
			call.setSendBy(now.Add(left))
		}
		refused := p.refuseToStart(now, call)
		if isRefused := refused != nil && refused.outcome == route.OutcomeNotRun; isRefused != (left == time.Second) {
			t.Errorf("a call that takes 2 s with %s left, 0 for any: refused %v", left, refused)
		}
	}
}

// TestKeyedRunOutlastsItsEntry guards against a run with a key that ends when a stopping entry
// abandons its calls: the key would have no result for the resend of the caller.
func TestKeyedRunOutlastsItsEntry(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	entry, exit := stoppedMesh(t, 10, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		select {
		case <-time.After(stopGrace):
			_, _ = io.WriteString(w, "paired")
		case <-r.Context().Done():
		}
	})
	entry.proxy.BeginStop(time.Now())
	if first := call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", "key", "x"); first.status != http.StatusGatewayTimeout {
		t.Errorf("the abandoned call got %d, reason %s, error %v", first.status, first.header.Get(headerReason), first.err)
	}
	again := call(t.Context(), http.MethodPost, exit.entry+"/pairings/1", "key", "x")
	if again.status != http.StatusOK || again.body != "paired" || runs.Load() != 1 {
		t.Errorf("the resend got %d, reason %s, body %q, error %v after %d runs", again.status, again.header.Get(headerReason), again.body, again.err, runs.Load())
	}
}

// TestStopEndsWaitForLink guards against a connection that is closed without a response at the
// end of a stop, at either side, because a response waits for the link until then, and against
// the refusal of a response that the link carries before the end.
func TestStopEndsWaitForLink(t *testing.T) {
	t.Parallel()
	const (
		linkRate = 8e6
		size     = 40_000
	)
	for _, c := range []struct {
		side string
		// busyFor is the fraction of the grace period for which the link is busy. Responses
		// have to be sent by 0.896 of it.
		busyFor float64
		status  int
	}{
		{side: "entry", busyFor: 4, status: http.StatusGatewayTimeout},
		{side: "exit", busyFor: 4, status: http.StatusGatewayTimeout},
		{side: "entry", busyFor: 0.85, status: http.StatusOK},
		{side: "exit", busyFor: 0.85, status: http.StatusOK},
	} {
		t.Run(c.side+" "+strconv.Itoa(c.status), func(t *testing.T) {
			t.Parallel()
			ran := make(chan struct{})
			entry, exit := stoppedMesh(t, 10, func(w http.ResponseWriter, _ *http.Request) {
				close(ran)
				w.Header().Set("Content-Length", strconv.Itoa(size))
				_, _ = io.WriteString(w, strings.Repeat("p", size))
			})
			p := map[string]*node{"entry": entry, "exit": exit}[c.side].proxy
			p.link = route.NewLink(linkRate)
			now := time.Now()
			p.link.Reserve(now, int64(c.busyFor*stopGrace.Seconds()*linkRate/8*0.9))
			result := make(chan callResult, 1)
			go func() { result <- call(t.Context(), http.MethodGet, entry.entry+"/packs/1", "", "") }()
			<-ran
			p.BeginStop(now)
			ctx, cancel := context.WithDeadline(t.Context(), now.Add(stopGrace))
			defer cancel()
			if err := p.Drain(ctx); err != nil {
				t.Errorf("the stop did not end within the grace period: %v", err)
			}
			if got := <-result; got.err != nil || got.status != c.status || got.status == http.StatusOK && len(got.body) != size {
				t.Errorf("status %d, reason %s, %d bytes, error %v, want %d", got.status, got.header.Get(headerReason), len(got.body), got.err, c.status)
			}
		})
	}
}

// TestResponseThatIsBegunLateIsJudgedByThePresentTime guards against a response that is cut at
// the end of a stop because its proxy got the processor after its time on the link.
func TestResponseThatIsBegunLateIsJudgedByThePresentTime(t *testing.T) {
	t.Parallel()
	began := time.Now()
	link := route.NewLink(stopLinkRate)
	link.ReserveBy(began, stopLinkSize, began.Add(time.Second))
	for left, want := range map[time.Duration]error{10 * time.Millisecond: errStopEnds, 100 * time.Millisecond: nil} {
		calls := 0
		now := func() time.Time {
			if calls++; calls == 1 {
				return began
			}
			return began.Add(time.Second)
		}
		end := func() (time.Time, bool) { return began.Add(time.Second + left), true }
		response := &targetResponse{Response: &http.Response{ContentLength: stopLinkSize}, buffered: 1}
		if err := response.waitForLink(t.Context(), link, "pack", now, end); !errors.Is(err, want) {
			t.Errorf("a response that takes 67 ms and has %s left: %v, want %v", left, err, want)
		}
	}
}
