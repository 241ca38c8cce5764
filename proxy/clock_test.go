package proxy

import (
	"net/http"
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
