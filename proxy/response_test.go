package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

func TestLargeBodiesAreForwarded(t *testing.T) {
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
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
		n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
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
	n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
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
