package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestTimeoutIsIndependentOfTheTimeOfDay guards against calls that end early or late
// because the clock of the proxy differs from that of the runtime.
func TestTimeoutIsIndependentOfTheTimeOfDay(t *testing.T) {
	t.Parallel()
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
	n.proxy.options.Now = func() time.Time { return time.Now().Add(-2500 * time.Millisecond) }
	if got := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", ""); got.status != http.StatusOK {
		t.Errorf("status %d, reason %s, error %v, want 200", got.status, got.header.Get(headerReason), got.err)
	}
}

// TestConnectionDeadlinesAreTimesOfTheRuntime guards against callers that get no response,
// because the deadlines of their connection were times of a proxy's clock that is behind.
func TestConnectionDeadlinesAreTimesOfTheRuntime(t *testing.T) {
	t.Parallel()
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
	n.proxy.options.Now = func() time.Time { return time.Now().Add(-10 * time.Second) }
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		body := strings.Repeat("b", 200_000)
		if got := call(t.Context(), method, n.entry+"/profiles/1", "", body); got.status != http.StatusOK {
			t.Errorf("%s: status %d, reason %s, error %v, want 200", method, got.status, got.header.Get(headerReason), got.err)
		}
	}
}
