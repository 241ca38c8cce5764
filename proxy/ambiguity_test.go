package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestAmbiguousRequestsAreRefused guards against request smuggling: it sends
// requests that parsers may interpret differently.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	var runs int
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) { runs++ })
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
			t.Errorf("%q got the response %q, want status 4xx or 5xx", request, got)
		}
	}
	if runs != 0 {
		t.Errorf("%d ambiguous requests reached the target", runs)
	}
}
