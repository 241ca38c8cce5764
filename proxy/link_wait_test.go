package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestResponseWithoutLengthWaitsOnce guards against responses that are cut at their
// deadline because they have no length: on a busy link each of their pieces waited behind
// all responses that began meanwhile.
func TestResponseWithoutLengthWaitsOnce(t *testing.T) {
	t.Parallel()
	const (
		calls    = 10
		linkRate = 8e6
	)
	// The link is free after 1.5 s.
	body := strings.Repeat("p", 130_000)
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	exit := m.add("exit", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "chunked" {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		_, _ = io.WriteString(w, body)
	}))
	exit.proxy.link = route.NewLink(linkRate)
	entry := m.add("entry", "v1", "north", http.NotFoundHandler())
	entry.target.Service = "none"
	m.update()
	send := func(query string) (time.Duration, callResult) {
		began := time.Now()
		got := call(t.Context(), http.MethodGet, entry.entry+"/packs/1"+query, "", "")
		return time.Since(began), got
	}
	send("?chunked")
	var wait sync.WaitGroup
	for i := range calls {
		query := ""
		if i < 2 {
			query = "?chunked"
		}
		time.Sleep(5 * time.Millisecond)
		wait.Go(func() {
			// The first two calls are the first in the queue of the link.
			if took, got := send(query); got.err != nil || got.body != body || query != "" && took > 700*time.Millisecond {
				t.Errorf("status %d, reason %s, %d bytes, error %v after %s", got.status, got.header.Get(headerReason), len(got.body), got.err, took)
			}
		})
	}
	wait.Wait()
}

// TestSlowStreamHoldsNoLink guards against a link that is kept free for a response of
// unknown length that has sent much and goes on slowly.
func TestSlowStreamHoldsNoLink(t *testing.T) {
	t.Parallel()
	ticked := make(chan struct{})
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	exit := m.add("exit", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_, _ = io.WriteString(w, strings.Repeat("p", 900_000))
		_ = control.Flush()
		time.Sleep(300 * time.Millisecond)
		for range 5 {
			_, _ = io.WriteString(w, "tick\n")
			_ = control.Flush()
			time.Sleep(50 * time.Millisecond)
		}
		close(ticked)
		<-r.Context().Done()
	}))
	entry := m.add("entry", "v1", "north", http.NotFoundHandler())
	entry.target.Service = "none"
	m.update()
	exit.proxy.link = route.NewLink(8e6)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go call(ctx, http.MethodGet, entry.entry+"/packs/1", "", "")
	<-ticked
	time.Sleep(100 * time.Millisecond)
	now := time.Now()
	if wait := exit.proxy.link.Reserve(now, 1).SendTime(0).Sub(now); wait > 200*time.Millisecond {
		t.Errorf("another response waits %s behind a stream that sends 5 bytes in 50 ms", wait)
	}
}

// TestInvalidStatusHoldsNoLink guards against link time that stays reserved for a response
// whose status can't be written, and against a closed connection instead of a refusal.
func TestInvalidStatusHoldsNoLink(t *testing.T) {
	t.Parallel()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	address := serveTCP(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 4096))
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 099 Odd\r\nContent-Length: 9000000\r\n\r\n%s", strings.Repeat("p", 60_000))
		_, _ = connection.Read(make([]byte, 1))
	})
	n := m.addAt("a", "v1", "north", 10, address)
	n.proxy.link = route.NewLink(8e6)
	m.update()
	got := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
	if got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("status %d, reason %s, error %v, want 502", got.status, got.header.Get(headerReason), got.err)
	}
	if wait := time.Until(n.proxy.link.Reserve(time.Now(), 1).SendTime(0)); wait > time.Second {
		t.Errorf("status %d, reason %s, error %v, link busy for %s", got.status, got.header.Get(headerReason), got.err, wait)
	}
}

// TestShortResponseWithoutLengthPassesLongOnes guards against short responses that wait for
// a busy link because they have no length.
func TestShortResponseWithoutLengthPassesLongOnes(t *testing.T) {
	t.Parallel()
	n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			_, _ = io.WriteString(w, strings.Repeat("s", 200))
			_ = http.NewResponseController(w).Flush()
		}
	})
	n.proxy.link = route.NewLink(8e6)
	n.proxy.link.Reserve(time.Now(), 900_000)
	watch := watchPauses(t)
	began := time.Now()
	got := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
	if took := time.Since(began) - watch.paused(); got.err != nil || len(got.body) != 600 || took > 500*time.Millisecond {
		t.Errorf("status %d, %d bytes, error %v after %s, want 600 bytes at once", got.status, len(got.body), got.err, took)
	}
}

// TestResponseThatOutlastsItsDeadlineIsRefused guards against a 200 that is begun although
// its link can't carry it to its end before the deadline, where the connection is closed.
func TestResponseThatOutlastsItsDeadlineIsRefused(t *testing.T) {
	t.Parallel()
	for _, side := range []string{"entry", "exit"} {
		t.Run(side, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
			for _, id := range []string{"a", "b"} {
				m.add(id, "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					w.Header().Set("Content-Length", "500000")
					_, _ = io.WriteString(w, strings.Repeat("p", 500_000))
				}))
			}
			entry := m.add("entry", "v1", "north", http.NotFoundHandler())
			entry.target.Service = "none"
			m.update()
			limited := map[string][]*node{"entry": {entry}, "exit": m.nodes[:2]}[side]
			for _, n := range limited {
				// The response takes 1.1 s.
				n.proxy.link = route.NewLink(4e6)
			}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.entry+"/packs/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(headerTimeout, formatDuration(800*time.Millisecond))
			got := do(request)
			if got.err != nil || got.status != http.StatusGatewayTimeout || got.header.Get(headerOutcome) != "unknown" || runs.Load() != 1 {
				t.Errorf("status %d, reason %s, %d bytes, error %v after %d runs, want 504", got.status, got.header.Get(headerReason), len(got.body), got.err, runs.Load())
			}
			for _, n := range limited {
				if wait := time.Until(n.proxy.link.Reserve(time.Now(), 1).SendTime(0)); wait > 100*time.Millisecond {
					t.Errorf("the link is still reserved for %s", wait)
				}
			}
		})
	}
}

// TestBegunResponseWaitsForNoOther guards against a response without a length that is cut at
// the deadline of its call: where it was longer than expected, its rest waited behind
// responses that had come after it.
func TestBegunResponseWaitsForNoOther(t *testing.T) {
	t.Parallel()
	for name, mean := range map[string]int64{"unknown route": 0, "longer than the mean": 100_000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := strings.Repeat("p", 300_000)
			reserved := make(chan struct{})
			m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
			exit := m.add("exit", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, body[:20_000])
				_ = http.NewResponseController(w).Flush()
				<-reserved
				_, _ = io.WriteString(w, body[20_000:])
			}))
			entry := m.add("entry", "v1", "north", http.NotFoundHandler())
			entry.target.Service = "none"
			m.update()
			// A response of 300 kB takes 0.3 s.
			exit.proxy.link = route.NewLink(9e6)
			if mean > 0 {
				exit.proxy.link.RecordSize("pack", mean)
			}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.entry+"/packs/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := callerClient.Do(request)
			exit.proxy.link.Reserve(time.Now(), 10_000_000)
			close(reserved)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			got, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || string(got) != body {
				t.Errorf("status %d, %d bytes of %d, error %v", response.StatusCode, len(got), len(body), err)
			}
		})
	}
}
