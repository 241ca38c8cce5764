package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestInterimResponsesBesideHeldBody sends bodies of unknown length to a target that
// takes longer than the interval of interim responses, before or after it has read the
// body. The bytes that ask for the body and the interim responses share a connection:
// under the race detector this guards against two goroutines that write at once.
func TestInterimResponsesBesideHeldBody(t *testing.T) {
	for _, route := range []string{"/packs/1", "/pairings"} {
		n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(interimInterval + 50*time.Millisecond)
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(interimInterval + 50*time.Millisecond)
			_, _ = w.Write(body)
		})
		for _, key := range []string{"", "key"} {
			reader, writer := io.Pipe()
			go func() {
				_, err := writer.Write([]byte("a body without a length"))
				_ = writer.CloseWithError(err)
			}()
			request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.entry+route, reader)
			if err != nil {
				t.Fatal(err)
			}
			if key != "" {
				request.Header.Set(headerKey, key)
			}
			got := do(request)
			if got.status != http.StatusOK || got.body != "a body without a length" {
				t.Errorf("%s with key %q: status %d, reason %s, body %q, error %v", route, key, got.status, got.header.Get(headerReason), got.body, got.err)
			}
		}
	}
}
