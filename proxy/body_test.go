package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestOversizedBodyIsRefused(t *testing.T) {
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
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

// TestSlowCallerTimesOut sends half of a body and then nothing.
func TestSlowCallerTimesOut(t *testing.T) {
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) { t.Error("an incomplete body reached the target") })
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
