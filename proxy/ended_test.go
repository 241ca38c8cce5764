package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// endedCall is a call that got a slot before its process was delayed.
type endedCall struct {
	name string
	// delay is the time between the admission of the call and its sending.
	delay time.Duration
	// hasLeft is true if the caller has gone by then.
	hasLeft bool
	want    Reason
}

// TestEndedCallIsNotSentToTarget delays the process between admitting a call and
// sending it. A target must not run a call whose caller has gone or whose deadline
// has passed, and the connections must stay usable.
func TestEndedCallIsNotSentToTarget(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for _, ended := range []endedCall{
		{name: "deadline passed", delay: timeout, want: ReasonDeadline},
		{name: "caller gone", hasLeft: true, want: ReasonCallerGone},
	} {
		var runs atomic.Int64
		n := newSingleNode(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		admitted := time.Now()
		ctx, leave := context.WithCancel(t.Context())
		if ended.hasLeft {
			leave()
		}
		var delay atomic.Int64
		n.proxy.options.Now = func() time.Time { return admitted.Add(time.Duration(delay.Load())) }
		send := func(ctx context.Context) *exitRun {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://x/profiles/1", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			call := &exitCall{
				envelope: envelope{id: "1", target: n.target.ID, idempotent: true},
				local:    n.proxy.local.Load(), waiter: route.Waiter{Deadline: admitted.Add(timeout)},
			}
			return n.proxy.forward(ctx, request, call, admitted)
		}
		delay.Store(int64(ended.delay))
		run := send(ctx)
		if run.refused == nil || run.refused.outcome != route.OutcomeNotRun || run.refused.reason != ended.want || runs.Load() != 0 {
			t.Errorf("%s: refused %+v after %d runs, want %q as not run", ended.name, run.refused, runs.Load(), ended.want)
		}
		delay.Store(0)
		if run := send(t.Context()); run.refused != nil || runs.Load() != 1 {
			t.Errorf("%s: the next call is refused: %+v, after %d runs", ended.name, run.refused, runs.Load())
		}
		leave()
	}
}

// TestEndedCallIsNotSentToPeer lets a caller leave before its call is sent to
// another proxy. The target's proxy must not be called, and must not count as
// unreachable.
func TestEndedCallIsNotSentToPeer(t *testing.T) {
	var requests atomic.Int64
	address := serve(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
	})})
	p := &peer{address: address, pool: newPool(address, peerDialTimeout, maxPeerHeaderBytes)}
	connection, err := p.pool.get(t.Context(), time.Now(), poolIdleTimeout, false)
	if err != nil {
		t.Fatal(err)
	}
	connection.putBack()
	ctx, leave := context.WithCancel(t.Context())
	leave()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := p.roundTrip(ctx, time.Now, request, abandonPolicy{})
	if err == nil {
		_ = response.Body.Close()
	}
	refused := lostExchange(ctx, err)
	if requests.Load() != 0 || refused.outcome != route.OutcomeNotRun || refused.reason != ReasonCallerGone {
		t.Fatalf("%d requests, refusal %+v (%v), want none and %q as not run", requests.Load(), refused, err, ReasonCallerGone)
	}
	if got := len(p.pool.idle); got != 1 {
		t.Errorf("%d idle connections after the call that was not sent, want 1", got)
	}
}

// TestSecondFinishKeepsConnection guards against a connection that is lost when
// its call is finished twice before it is available again.
func TestSecondFinishKeepsConnection(t *testing.T) {
	address := serve(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("response"))
	})})
	pool := newPool(address, peerDialTimeout, maxPeerHeaderBytes)
	c, err := pool.get(t.Context(), time.Now(), poolIdleTimeout, false)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.client.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	// The connection is not available before its response has been read.
	c.finish(time.Now())
	c.finish(time.Now())
	buffered, err := newTargetResponse(response)
	if err != nil {
		t.Fatal(err)
	}
	buffered.release()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		idle := len(pool.idle)
		pool.mu.Unlock()
		if idle == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d idle connections after a second finish, want 1", idle)
		}
	}
}
