package connection

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// serveBounded serves HTTP on a listener of the table and returns its address.
func serveBounded(t *testing.T, table *Table, handler http.HandlerFunc) string {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: time.Minute,
		ConnState: func(conn net.Conn, state http.ConnState) { conn.(*Conn).SetState(state) },
	}
	Serve(server, Refuse)
	// The number of listeners of the table decides on their limits.
	listener := table.Listen(inner, Options{Name: t.Name()})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// get sends a request and returns the status of the response.
func get(t *testing.T, address string) (int, error) {
	t.Helper()
	return send(t, http.DefaultClient, http.MethodGet, address, "")
}

func send(t *testing.T, client *http.Client, method, address, body string) (int, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not within 10 s", what)
}

func (t *Table) open() (inbound, outbound int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inbound, t.outbound
}

// TestEverythingIsReleased guards against a budget that shrinks: what connections, requests,
// writes and retentions have drawn is released once all have ended.
func TestEverythingIsReleased(t *testing.T) {
	t.Parallel()
	table := NewTable(Limits{MemoryBytes: 10 << 20, Connections: 100}, log.NewNopLogger())
	address := serveBounded(t, table, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		release, err := Retain(r.Context(), 1<<20)
		if err != nil {
			t.Error(err)
			return
		}
		defer release()
		_, _ = w.Write(append(body, make([]byte, 100_000)...))
	})
	client := &http.Client{}
	for range 50 {
		if _, err := send(t, client, http.MethodPost, address, strings.Repeat("x", 50_000)); err != nil {
			t.Fatal(err)
		}
	}
	unfinished := dial(t, address, "GET / HTTP/1.1\r\nA: b\r\n")
	if inbound, _ := table.open(); inbound < 1 || table.held.Load() < connectionBytes {
		t.Errorf("%d connections hold %d bytes", inbound, table.held.Load())
	}
	client.CloseIdleConnections()
	_ = unfinished.Close()
	eventually(t, "all is released", func() bool {
		inbound, _ := table.open()
		return inbound == 0 && table.held.Load() == 0 && table.leaving.Load() == 0
	})
}

// TestCrowdOfHeadsStaysWithinTheBudget guards against heads that together hold more than the
// budget, and against a request that is not served meanwhile.
func TestCrowdOfHeadsStaysWithinTheBudget(t *testing.T) {
	t.Parallel()
	limits := Limits{MemoryBytes: 4 << 20, Connections: 200}
	table := NewTable(limits, log.NewNopLogger())
	address := serveBounded(t, table, func(http.ResponseWriter, *http.Request) {})
	for range 40 {
		dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 5000))
	}
	eventually(t, "connections are closed", func() bool {
		inbound, _ := table.open()
		return inbound < 20 && table.held.Load()-table.leaving.Load() <= limits.MemoryBytes
	})
	if status, err := get(t, address); err != nil || status != http.StatusOK {
		t.Errorf("an ordinary request got %d, %v", status, err)
	}
}

// TestRoomIsMadeForNewConnections guards against a crowd that keeps others out, and against
// the close of a connection whose request is served.
func TestRoomIsMadeForNewConnections(t *testing.T) {
	t.Parallel()
	table := NewTable(Limits{MemoryBytes: 100 << 20, Connections: 40}, log.NewNopLogger())
	begun, release := make(chan struct{}), make(chan struct{})
	address := serveBounded(t, table, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-release
		}
	})
	served := dial(t, address, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	for range 100 {
		dial(t, address, "")
		if inbound, _ := table.open(); inbound > 30 {
			t.Fatalf("%d connections are open, 30 are allowed", inbound)
		}
	}
	if _, err := get(t, address); err != nil {
		t.Fatal(err)
	}
	close(release)
	answer := make([]byte, 15)
	if _, err := io.ReadFull(served, answer); err != nil || string(answer) != "HTTP/1.1 200 OK" {
		t.Errorf("the request that was served got %q, %v", answer, err)
	}
}

// TestReserves guards against a crowd at one listener that takes the room of another one.
func TestReserves(t *testing.T) {
	t.Parallel()
	table := NewTable(Limits{MemoryBytes: 100 << 20, Connections: 64}, log.NewNopLogger())
	serving := make(chan struct{}, 1000)
	crowded := serveBounded(t, table, func(_ http.ResponseWriter, r *http.Request) {
		serving <- struct{}{}
		<-r.Context().Done()
	})
	other := serveBounded(t, table, func(http.ResponseWriter, *http.Request) {})
	for range 100 {
		// Requests that are served are not closed to make room.
		dial(t, crowded, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	for range table.connectionLimit() {
		<-serving
	}
	for range 3 {
		if _, err := get(t, other); err != nil {
			t.Errorf("the other listener: %v", err)
		}
	}
}

// TestOpenedConnectionsAreBounded guards against a process that spends all of its descriptors
// on connections of its own.
func TestOpenedConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	table := NewTable(Limits{MemoryBytes: 1 << 20, Connections: 10}, log.NewNopLogger())
	releases := make([]func(), 0, 5)
	for range 5 {
		release, err := table.Open()
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	if _, err := table.Open(); !errors.Is(err, ErrLimit) {
		t.Errorf("the sixth of five: %v", err)
	}
	for _, release := range releases {
		release()
		release()
	}
	if _, outbound := table.open(); outbound != 0 || table.held.Load() != 0 {
		t.Errorf("%d connections and %d bytes are left", outbound, table.held.Load())
	}
}

// TestRetain guards against a document that takes more than there is, and tells one that
// never fits from one that does not fit now.
func TestRetain(t *testing.T) {
	t.Parallel()
	table := NewTable(Limits{MemoryBytes: 1000, Connections: 10}, log.NewNopLogger())
	if _, err := table.Retain(1001); !errors.Is(err, ErrTooLarge) {
		t.Errorf("more than the budget: %v", err)
	}
	release, err := table.Retain(600)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Retain(600); !errors.Is(err, ErrLimit) {
		t.Errorf("more than is left: %v", err)
	}
	release()
	if _, err := table.Retain(1000); err != nil {
		t.Errorf("after the release: %v", err)
	}
}
