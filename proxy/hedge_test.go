package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestHedgeAwaitsCopyAfterFailure guards against a failure of the first target that reaches
// the caller, or causes a third run, while the copy still runs.
func TestHedgeAwaitsCopyAfterFailure(t *testing.T) {
	var isSlow atomic.Bool
	var runs atomic.Int64
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	for _, id := range []string{"a", "b", "c"} {
		m.add(id, "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !isSlow.Load() || r.URL.Path != "/profiles/slow" {
				return
			}
			if runs.Add(1) == 1 {
				time.Sleep(300 * time.Millisecond)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(600 * time.Millisecond)
		}))
	}
	entry := m.nodes[1]
	entry.proxy.options.HedgeShare = 0.5
	var offset atomic.Int64
	entry.proxy.options.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	m.update()
	for range 60 {
		call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
	}
	offset.Store(int64(11 * time.Second))
	isSlow.Store(true)
	var callers sync.WaitGroup
	callers.Go(func() {
		got := call(t.Context(), http.MethodGet, entry.entry+"/profiles/slow", "", "")
		if n := runs.Load(); got.status != http.StatusOK || n != 2 {
			t.Errorf("%+v after %d runs, want 200 after 2", got, n)
		}
	})
	// Calls that began later and are fast allow the copy.
	for range 20 {
		time.Sleep(2 * time.Millisecond)
		call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
	}
	callers.Wait()
}

// TestHedgeAroundSlowTarget guards against a copy that is not sent, a loser that goes on
// at its target or counts as its failure, and a copy of a call that is not idempotent.
func TestHedgeAroundSlowTarget(t *testing.T) {
	// slowID is the slow target, the first one that is called after it is set to empty.
	var slowID atomic.Pointer[string]
	unset := ""
	var stopped, ended, waited, pairings atomic.Int64
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	for _, id := range []string{"a", "b", "c"} {
		m.add(id, "v1", "north", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				pairings.Add(1)
			}
			if id := &id; slowID.Load() == nil || !slowID.CompareAndSwap(&unset, id) && *slowID.Load() != *id {
				return
			}
			started := time.Now()
			select {
			case <-r.Context().Done():
				if time.Since(started) < time.Second/2 {
					stopped.Add(1)
				}
			case <-time.After(time.Second):
				ended.Add(1)
			}
		}))
	}
	entry := m.nodes[1]
	entry.proxy.options.HedgeShare = 0.5
	var offset atomic.Int64
	entry.proxy.options.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	m.update()
	for range 60 {
		if got := call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", ""); got.status != http.StatusOK {
			t.Fatalf("warm-up call: %+v", got)
		}
	}
	// The delay follows from durations of at least ten seconds before.
	offset.Store(int64(11 * time.Second))
	slowID.Store(&unset)
	won, sent := hedgesWon.Get(), hedgesSent.Get()
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 25 {
				started := time.Now()
				if got := call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", ""); got.status != http.StatusOK {
					t.Errorf("call: %+v", got)
				}
				if time.Since(started) >= time.Second {
					waited.Add(1)
				}
			}
		})
	}
	callers.Wait()
	won, sent = hedgesWon.Get()-won, hedgesSent.Get()-sent
	t.Logf("%d hedges sent, %d won, %d slow runs stopped", sent, won, stopped.Load())
	if won == 0 || stopped.Load() == 0 {
		t.Errorf("%d hedges won, %d slow runs were stopped within half a second, want some", won, stopped.Load())
	}
	time.Sleep(time.Second)
	if ended.Load() > waited.Load() {
		t.Errorf("%d slow runs went on to their end, %d of them for a caller", ended.Load(), waited.Load())
	}
	slow := entry.proxy.upstreams[*slowID.Load()]
	if rate := slow.health.FailureRate(time.Now()); rate != 0 || slow.load.Outstanding() != 0 {
		t.Errorf("slow target: failure rate %v, %d calls outstanding, want none", rate, slow.load.Outstanding())
	}
	sent = hedgesSent.Get()
	for range 6 {
		call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", "", "x")
	}
	if n := pairings.Load(); n != 6 || hedgesSent.Get() != sent {
		t.Errorf("6 calls that are not idempotent ran %d times, %d hedges, want no hedge", n, hedgesSent.Get()-sent)
	}
}

// TestFirstAttemptIsKeptAfterLastSend guards against an attempt that is abandoned in order
// to be sent elsewhere although its copy has used the last send of the call.
func TestFirstAttemptIsKeptAfterLastSend(t *testing.T) {
	configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
	for i := range configuration.Routes {
		configuration.Routes[i].MaxAttempts = 2
	}
	m := newMesh(t, configuration)
	// receivedAt holds the time at which b received each slow call.
	var receivedAt sync.Map
	for _, id := range []string{"a", "b"} {
		m.add(id, "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/profiles/slow/") {
				return
			}
			if id == "b" {
				receivedAt.Store(r.URL.Path, time.Now())
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(w, "whole")
		}))
	}
	entry := m.nodes[1]
	entry.proxy.options.HedgeShare = 0.5
	var offset atomic.Int64
	entry.proxy.options.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	m.update()
	for range 100 {
		call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
	}
	offset.Store(int64(11 * time.Second))
	call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
	sent := hedgesSent.Get()
	type timed struct {
		status int
		after  time.Duration
		// isCopied is true if b received the call long before the first attempt may be given
		// up. A process without processor time sends no copy, and the call has a send left.
		isCopied bool
	}
	results := make(chan timed, 4)
	for i := range 4 {
		go func() {
			path := "/profiles/slow/" + strconv.Itoa(i)
			began := time.Now()
			got := call(t.Context(), http.MethodGet, entry.entry+path, "", "")
			at, isReceived := receivedAt.Load(path)
			results <- timed{got.status, time.Since(began), isReceived && at.(time.Time).Sub(began) < time.Second}
		}()
	}
	time.Sleep(10 * time.Millisecond)
	for _, state := range entry.proxy.table.Load().rules {
		if h := state.hedgeHistory; h != nil {
			now := entry.proxy.options.Now()
			h.End(now, h.Begin(now), time.Millisecond)
		}
	}
	for range 4 {
		got := <-results
		if got.isCopied && got.status != http.StatusOK && got.after > time.Second {
			t.Errorf("a call that had no send left was given up after %s of 3 s with status %d, its target answers after 2 s", got.after, got.status)
		}
	}
	if hedgesSent.Get() == sent {
		t.Error("no call was hedged")
	}
}

// TestEndedAttemptGetsNoCopy guards against a copy of a call whose response is there, in a
// process that gets no processor time until the delay of the copy is over too.
func TestEndedAttemptGetsNoCopy(t *testing.T) {
	t.Parallel()
	copies := 0
	for range 100 {
		h := &hedgedAttempt{ended: make(chan attemptResult, 1)}
		h.ended <- attemptResult{}
		timer := time.NewTimer(0)
		time.Sleep(100 * time.Microsecond)
		if _, hasEnded := h.awaitDelay(timer); !hasEnded {
			copies++
		}
	}
	if copies > 0 {
		t.Errorf("%d of 100 calls whose attempt had ended would have been copied", copies)
	}
}
