package proxy

import (
	"context"
	"net/http"
	"strings"
	"testing"
)

// TestInternalHeadersAreStripped sends the headers between proxies from the
// caller and from the target.
func TestInternalHeadersAreStripped(t *testing.T) {
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
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
		t.Fatalf("status %d, headers %v, want 200 without an outcome and without X-Secret", got.status, got.header)
	}
}
