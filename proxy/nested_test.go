package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestParentsOfRefusedNestedCalls has a target that calls a service without targets for
// each call. It guards against parent calls that run in vain where the target states its
// pace, and against any change where it states none or does without the nested response.
func TestParentsOfRefusedNestedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		load          string
		status        int
		isRefusedMost bool
	}{
		"no pace":             {load: "3,1,12", status: http.StatusInternalServerError},
		"pace":                {load: "3,1,12,100", status: http.StatusInternalServerError, isRefusedMost: true},
		"response not needed": {load: "3,1,12,100", status: http.StatusOK},
	} {
		configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
		configuration.Services = append(configuration.Services, hornbeamwell.Service{
			Name: "stock", Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}},
		})
		nested := configuration.Routes[0]
		nested.Name, nested.PathPrefix, nested.Service = "check", "/checks", "stock"
		configuration.Routes = append(configuration.Routes, nested)
		m := newMesh(t, configuration)
		var n *node
		var runs atomic.Int32
		n = m.add("a", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			call(r.Context(), http.MethodGet, n.entry+"/checks/1", "", "")
			w.Header()[headerLoad] = []string{c.load}
			w.WriteHeader(c.status)
		}))
		m.update()
		const calls = 60
		refused := 0
		for range calls {
			if got := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", ""); got.status == http.StatusServiceUnavailable {
				refused++
			}
		}
		if int(runs.Load()) != calls-refused {
			t.Errorf("%s: %d of %d calls ran, %d were refused as not run", name, runs.Load(), calls, refused)
		}
		if c.isRefusedMost != (refused > calls/2) || !c.isRefusedMost && refused > 0 {
			t.Errorf("%s: %d of %d calls were refused", name, refused, calls)
		}
	}
}
