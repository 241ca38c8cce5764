package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestShedsBesideFreeSlots has a target that sheds all calls but the first. It guards
// against a concurrency limit that decreases while the target states free slots, and
// against any change where the target states no pace.
func TestShedsBesideFreeSlots(t *testing.T) {
	for name, c := range map[string]struct {
		load string
		// isReduced is true where the sheds must reduce the limit.
		isReduced bool
		line      string
	}{
		"no pace":    {load: "3,0,12", isReduced: true, line: "shed_cause=load"},
		"free slots": {load: "3,0,12,100", line: "shed_cause=free_slots"},
		"full":       {load: "12,4,12,100", isReduced: true, line: "shed_cause=load"},
	} {
		m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
		status := http.StatusOK
		n := m.add("a", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()[headerLoad] = []string{c.load}
			w.WriteHeader(status)
		}))
		m.update()
		var lines lineBuffer
		n.proxy.options.Logger = log.NewLogfmtLogger(&lines)
		call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
		status = http.StatusServiceUnavailable
		gate := n.proxy.local.Load().gate
		before := gate.limit()
		for range 3 {
			call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
			time.Sleep(110 * time.Millisecond)
		}
		if after := gate.limit(); c.isReduced != (after < before) {
			t.Errorf("%s: the limit is %d after %d", name, after, before)
		}
		if got := lines.take(); !strings.Contains(got, c.line) {
			t.Errorf("%s: no line with %q among:\n%s", name, c.line, got)
		}
	}
}
