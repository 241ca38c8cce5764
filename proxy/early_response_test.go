package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestResponseBeforeTheBodyIsWhole guards against a response that is cut, or replaced by 502,
// because the target does not read the long body of the call. Without proxies it is whole.
func TestResponseBeforeTheBodyIsWhole(t *testing.T) {
	t.Parallel()
	const size = 200_000
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	exit := m.add("exit", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("p", size))
	}))
	entry := m.add("entry", "v1", "north", http.NotFoundHandler())
	entry.target.Service = "none"
	m.update()
	exit.proxy.local.Load().pool.transport.ExpectContinueTimeout = time.Minute
	var calls sync.WaitGroup
	for i := range 64 {
		key := ""
		if i%2 == 1 {
			key = "key-" + strconv.Itoa(i)
		}
		if i%8 == 0 {
			calls.Wait()
		}
		calls.Go(func() {
			got := call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", key, strings.Repeat("u", size))
			if got.err != nil || got.status != http.StatusOK || len(got.body) != size {
				t.Errorf("key %q: status %d, reason %s, %d bytes of %d, error %v", key, got.status, got.header.Get(headerReason), len(got.body), size, got.err)
			}
		})
	}
	calls.Wait()
}
