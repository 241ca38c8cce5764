package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// keyedMesh returns a mesh of three targets that count their runs and respond
// with the number of the run.
func keyedMesh(t *testing.T, runs *atomic.Int64, delay time.Duration) *mesh {
	t.Helper()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	for _, id := range []string{"a", "b", "c"} {
		m.add(id, "v1", "zone-"+id, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n := runs.Add(1)
			time.Sleep(delay)
			w.WriteHeader(http.StatusCreated)
			_, _ = fmt.Fprintf(w, "pairing %d", n)
		}))
	}
	m.update()
	return m
}

func TestResendReturnsFirstResponse(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 0)
	for i := range 30 {
		key := fmt.Sprintf("key-%d", i)
		first := call(context.Background(), http.MethodPost, m.nodes[i%3].entry+"/pairings", key, "x")
		again := call(context.Background(), http.MethodPost, m.nodes[(i+1)%3].entry+"/pairings", key, "x")
		if first.status != http.StatusCreated || again.status != first.status || again.body != first.body {
			t.Fatalf("first response: status %d, body %q, error %v; resend: status %d, body %q, error %v", first.status, first.body, first.err, again.status, again.body, again.err)
		}
	}
	if runs.Load() != 30 {
		t.Fatalf("30 keys caused %d runs, want 30", runs.Load())
	}
}

func TestConcurrentResendsRunOnce(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 100*time.Millisecond)
	var wait sync.WaitGroup
	bodies := make([]string, 6)
	for i := range bodies {
		wait.Go(func() {
			bodies[i] = call(context.Background(), http.MethodPost, m.nodes[i%3].entry+"/pairings", "one", "x").body
		})
	}
	wait.Wait()
	for _, body := range bodies {
		if body != "pairing 1" {
			t.Fatalf("responses %q, want the first one for each", bodies)
		}
	}
	if runs.Load() != 1 {
		t.Fatalf("one key caused %d runs, want 1", runs.Load())
	}
}

func TestResendAfterCallerDisconnects(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if first := call(ctx, http.MethodPost, m.nodes[0].entry+"/pairings", "one", "x"); first.err == nil {
		t.Fatalf("the abandoned call got status %d", first.status)
	}
	again := call(context.Background(), http.MethodPost, m.nodes[1].entry+"/pairings", "one", "x")
	if again.body != "pairing 1" || runs.Load() != 1 {
		t.Fatalf("response %q after %d runs, want the first one after 1", again.body, runs.Load())
	}
}

func TestKeyWithDifferentBodyIsRefused(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 0)
	call(context.Background(), http.MethodPost, m.nodes[0].entry+"/pairings", "one", "x")
	got := call(context.Background(), http.MethodPost, m.nodes[0].entry+"/pairings", "one", "y")
	if got.status != http.StatusUnprocessableEntity || runs.Load() != 1 {
		t.Fatalf("status %d after %d runs, want 422 after 1", got.status, runs.Load())
	}
}

// TestResendAfterOwnerLostRecords guards against a second run after a proxy
// restarted without its records. It clears the records of one proxy: old keys
// it owned have an unknown outcome, new keys run.
func TestResendAfterOwnerLostRecords(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 0)
	const keys = 20
	send := func(entry int, key string) callResult {
		return call(context.Background(), http.MethodPost, m.nodes[entry].entry+"/pairings", key, "x")
	}
	for i := range keys {
		send(i%3, fmt.Sprintf("old-%d", i))
	}
	lost := m.nodes[0].proxy
	lost.keys.mu.Lock()
	lost.keys.init(time.Now())
	lost.keys.mu.Unlock()
	m.update()
	fresh, unknown := 0, 0
	for i := range keys {
		if got := send(1, fmt.Sprintf("old-%d", i)); got.header.Get(headerOutcome) == "unknown" {
			unknown++
		}
		if got := send(1, fmt.Sprintf("new-%d", i)); got.status == http.StatusCreated {
			fresh++
		}
	}
	if fresh != keys {
		t.Errorf("of %d new keys %d ran, want all", keys, fresh)
	}
	if unknown == 0 || unknown == keys {
		t.Errorf("of %d old keys %d have an unknown outcome, want some but not all", keys, unknown)
	}
	if runs.Load() != int64(keys+fresh) {
		t.Errorf("%d keys caused %d runs, want one each", keys+fresh, runs.Load())
	}
}

// TestResendAfterOwnerDrained guards against a second run of keys whose owner
// is draining.
func TestResendAfterOwnerDrained(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 0)
	const keys = 20
	for i := range keys {
		call(context.Background(), http.MethodPost, m.nodes[0].entry+"/pairings", fmt.Sprintf("key-%d", i), "x")
	}
	m.nodes[2].target.State = hornbeamwell.TargetDraining
	m.nodes[2].target.Sequence++
	m.nodes[2].proxy.SetLocalTarget(m.nodes[2].target, m.nodes[2].appAddress)
	m.update()
	for i := range keys {
		got := call(context.Background(), http.MethodPost, m.nodes[1].entry+"/pairings", fmt.Sprintf("key-%d", i), "x")
		if got.status != http.StatusCreated {
			t.Errorf("key %d: status %d, reason %s", i, got.status, got.header.Get(headerReason))
		}
	}
	if runs.Load() != keys {
		t.Fatalf("%d keys caused %d runs, want one each", keys, runs.Load())
	}
}

// TestRecordsSurviveGracefulRestarts restarts the proxy of each target in turn.
// Resends get the first response and new keys run, because the records are
// handed over.
func TestRecordsSurviveGracefulRestarts(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 0)
	const keys = 12
	bodies := make([]string, keys)
	for i := range keys {
		bodies[i] = call(context.Background(), http.MethodPost, m.nodes[i%3].entry+"/pairings", fmt.Sprint("key", i), "x").body
	}
	for _, n := range m.nodes {
		if err := n.proxy.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		n.proxy = New(Options{Instance: "again", Zone: n.target.Zone})
		n.target.Exit = serve(t, n.proxy.ExitServer())
		n.target.Sequence++
		n.entry = "http://" + serve(t, n.proxy.EntryServer()).String()
		n.proxy.SetLocalTarget(n.target, n.appAddress)
		m.update()
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			n.proxy.keys.mu.Lock()
			isImported := n.proxy.keys.recordsAge(time.Now()) > time.Minute
			n.proxy.keys.mu.Unlock()
			if isImported {
				break
			}
		}
		for i := range keys {
			got := call(context.Background(), http.MethodPost, m.nodes[i%3].entry+"/pairings", fmt.Sprint("key", i), "x")
			if got.status != http.StatusCreated || got.body != bodies[i] {
				t.Errorf("key %d after the restart at %s: status %d, reason %s", i, n.target.ID, got.status, got.header.Get(headerReason))
			}
			got = call(context.Background(), http.MethodPost, m.nodes[i%3].entry+"/pairings", fmt.Sprint(n.target.ID, i), "x")
			if got.status != http.StatusCreated {
				t.Errorf("new key %d after the restart at %s: status %d, reason %s", i, n.target.ID, got.status, got.header.Get(headerReason))
			}
		}
	}
	if runs.Load() != 4*keys {
		t.Errorf("%d keys caused %d runs, want one each", 4*keys, runs.Load())
	}
}

// TestKeyedCallRunsAfterDaysOfUptime lets proxies keep records for longer than
// the headers between them can say.
func TestKeyedCallRunsAfterDaysOfUptime(t *testing.T) {
	var runs atomic.Int64
	m := keyedMesh(t, &runs, 0)
	for _, n := range m.nodes {
		n.proxy.keys.mu.Lock()
		n.proxy.keys.init(time.Now().Add(-maxDuration - time.Hour))
		n.proxy.keys.mu.Unlock()
	}
	m.update()
	got := call(context.Background(), http.MethodPost, m.nodes[0].entry+"/pairings", "one", "x")
	if got.status != http.StatusCreated || runs.Load() != 1 {
		t.Fatalf("status %d, headers %v after %d runs, want 201 after 1", got.status, got.header, runs.Load())
	}
}

// TestDurationBeyondLimitIsReadAsLimit guards against a reply of a proxy of an
// earlier version that is taken for none.
func TestDurationBeyondLimitIsReadAsLimit(t *testing.T) {
	long := 3 * maxDuration
	for _, text := range []string{formatDuration(long), fmt.Sprint(long.Microseconds())} {
		if got, valid := parseDuration(text); !valid || got != maxDuration {
			t.Errorf("%q is read as %v, %v, want %v", text, got, valid, maxDuration)
		}
	}
}
