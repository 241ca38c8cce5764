package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func streamMesh(t *testing.T, app http.HandlerFunc) *node {
	t.Helper()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.add("a", "v1", "north", app)
	m.update()
	return n
}

func TestLargeBodiesAreForwarded(t *testing.T) {
	n := streamMesh(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "X-Length")
		_, _ = w.Write(body)
		w.Header().Set("X-Length", strconv.Itoa(len(body)))
	})
	for _, size := range []int{0, 1, maxBufferedResponse, maxBufferedBody + 1, 4 << 20} {
		body := strings.Repeat("0123456789abcde\n", size/16+1)[:size]
		got := call(context.Background(), http.MethodPost, n.entry+"/packs/1", "", body)
		if got.err != nil || got.status != http.StatusOK || got.body != body {
			t.Fatalf("size %d: status %d, error %v, %d bytes back", size, got.status, got.err, len(got.body))
		}
	}
}

func TestTruncatedLargeResponseIsAnError(t *testing.T) {
	for _, isChunked := range []bool{true, false} {
		n := streamMesh(t, func(w http.ResponseWriter, _ *http.Request) {
			if !isChunked {
				w.Header().Set("Content-Length", "1000000")
			}
			_, _ = w.Write(make([]byte, 500_000))
			panic(http.ErrAbortHandler)
		})
		if got := call(context.Background(), http.MethodGet, n.entry+"/packs/1", "", ""); got.err == nil {
			t.Errorf("chunked %v: truncated response looks complete: status %d, %d bytes", isChunked, got.status, len(got.body))
		}
	}
}

func TestCloseDelimitedResponseIsRefused(t *testing.T) {
	n := streamMesh(t, func(w http.ResponseWriter, _ *http.Request) {
		connection, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = buffered.WriteString("HTTP/1.0 200 OK\r\n\r\nhalf")
		_ = buffered.Flush()
		_ = connection.Close()
	})
	got := call(context.Background(), http.MethodPost, n.entry+"/pairings", "", "")
	if got.status != http.StatusBadGateway || got.header.Get(headerOutcome) != "unknown" {
		t.Fatalf("status %d, outcome %s, want 502 and unknown", got.status, got.header.Get(headerOutcome))
	}
}

func TestOversizedBodyIsRefused(t *testing.T) {
	n := streamMesh(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusCreated)
	})
	large := make([]byte, 9<<20)
	for name, body := range map[string]io.Reader{
		"with a length":    bytes.NewReader(large),
		"without a length": struct{ io.Reader }{bytes.NewReader(large)},
	} {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.entry+"/pairings", body)
		if err != nil {
			t.Fatal(err)
		}
		got := do(request)
		if got.err == nil && got.status != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: status %d, want 413", name, got.status)
		}
	}
}

// TestAmbiguousRequestsAreRefused guards against request smuggling: it sends
// requests that parsers may interpret differently.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	var runs int
	n := streamMesh(t, func(http.ResponseWriter, *http.Request) { runs++ })
	address := strings.TrimPrefix(n.entry, "http://")
	for _, request := range []string{
		"GET /profiles/../pairings HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /profiles/%2e%2e/pairings HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /profiles%2fx HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /profiles/1 HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"GET /profiles/1 HTTP/1.1\r\n\r\n",
		"POST /pairings HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"POST /pairings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
		"POST /pairings HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
		"POST /pairings HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nConnection: Idempotency-Key\r\n\r\n",
		"CONNECT x:80 HTTP/1.1\r\nHost: x:80\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = connection.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(connection, request)
		response := make([]byte, 64)
		k, _ := io.ReadAtLeast(connection, response, 12)
		_ = connection.Close()
		if got := string(response[:k]); !strings.HasPrefix(got, "HTTP/1.1 4") && !strings.HasPrefix(got, "HTTP/1.1 5") {
			t.Errorf("%q got the response %q", request, got)
		}
	}
	if runs != 0 {
		t.Errorf("%d ambiguous requests reached the target", runs)
	}
}

// TestSlowCallerTimesOut sends half of a body and then nothing.
func TestSlowCallerTimesOut(t *testing.T) {
	n := streamMesh(t, func(http.ResponseWriter, *http.Request) { t.Error("an incomplete body reached the target") })
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", strings.TrimPrefix(n.entry, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "POST /pairings HTTP/1.1\r\nHost: x\r\nHornbeamwell-Timeout: 200000\r\nContent-Length: 10\r\n\r\nhalf")
	_ = connection.SetDeadline(time.Now().Add(2 * time.Second))
	response, err := io.ReadAll(connection)
	if err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 408") {
		t.Fatalf("error %v, response %q, want status 408", err, response)
	}
}

// TestInternalHeadersAreStripped sends the headers between proxies from the
// caller and from the target.
func TestInternalHeadersAreStripped(t *testing.T) {
	n := streamMesh(t, func(w http.ResponseWriter, r *http.Request) {
		for name := range r.Header {
			if strings.HasPrefix(name, headerPrefix) && name != headerTimeout {
				t.Errorf("the target received header %s", name)
			}
		}
		w.Header().Set("Hornbeamwell-Outcome", "not-run")
		w.Header().Set("Hornbeamwell-Reason", "draining")
		w.Header().Set("Connection", "X-Secret")
		w.Header().Set("X-Secret", "hop")
	})
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, n.entry+"/profiles/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Hornbeamwell-Hold", "x")
	request.Header.Set("Hornbeamwell-Call", "x")
	got := do(request)
	if got.status != http.StatusOK || got.header.Get(headerOutcome) != "" || got.header.Get("X-Secret") != "" {
		t.Fatalf("status %d, headers %v", got.status, got.header)
	}
}

// TestHTTP2Caller sends calls over HTTP/2 without TLS.
func TestHTTP2Caller(t *testing.T) {
	n := streamMesh(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
		if r.URL.Path == "/packs/cut" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	body := strings.Repeat("x", 200_000)
	for path, isComplete := range map[string]bool{"/packs/1": true, "/packs/cut": false} {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.entry+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if isComplete != (err == nil && string(got) == body) {
			t.Errorf("%s: status %d, %d bytes, error %v", path, response.StatusCode, len(got), err)
		}
	}
}

// TestDrainFinishesCallsInFlight drains a proxy with a call in flight.
func TestDrainFinishesCallsInFlight(t *testing.T) {
	started := make(chan struct{})
	n := streamMesh(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(200 * time.Millisecond)
		w.WriteHeader(http.StatusCreated)
	})
	done := make(chan callResult, 1)
	go func() { done <- call(context.Background(), http.MethodPost, n.entry+"/pairings", "", "x") }()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- n.proxy.Drain(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	refused := call(context.Background(), http.MethodPost, n.entry+"/pairings", "", "x")
	if refused.header.Get(headerOutcome) != "not-run" || refused.header.Get("Retry-After") == "" {
		t.Errorf("a new call got status %d, headers %v", refused.status, refused.header)
	}
	if got := <-done; got.status != http.StatusCreated {
		t.Errorf("the call in flight got status %d, error %v", got.status, got.err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
