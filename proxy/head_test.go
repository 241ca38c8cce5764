package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
)

// TestHeadHasNoBody guards against calls with HEAD that are run again, or refused, because
// the length of their responses is that of a body which does not follow.
func TestHeadHasNoBody(t *testing.T) {
	t.Parallel()
	for _, length := range []int{-1, 0, 100, 100_000} {
		var runs atomic.Int64
		n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			if length >= 0 {
				w.Header().Set("Content-Length", strconv.Itoa(length))
			}
		})
		for range 2 {
			got := call(t.Context(), http.MethodHead, n.entry+"/profiles/1", "", "")
			if got.err != nil || got.status != http.StatusOK {
				t.Errorf("length %d: status %d, reason %s, error %v", length, got.status, got.header.Get(headerReason), got.err)
			}
			if length >= 0 && got.header.Get("Content-Length") != strconv.Itoa(length) {
				t.Errorf("length %d: the caller got %q", length, got.header.Get("Content-Length"))
			}
		}
		if runs.Load() != 2 {
			t.Errorf("length %d: %d runs of 2 calls", length, runs.Load())
		}
	}
}
