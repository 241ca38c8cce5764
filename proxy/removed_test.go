package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestRemovedRoutesAreForgotten guards against states and metrics of routes and services that
// stay for as long as the process runs: each of 100 configurations names all of them anew.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	const routes = 50
	p := New(Options{})
	var first *routeState
	for version := range 100 {
		c := &hornbeamwell.Configuration{Version: hornbeamwell.ConfigVersion(version + 1)}
		for i := range routes {
			name := fmt.Sprintf("renamed-%d-%d", version, i)
			c.Services = append(c.Services, hornbeamwell.Service{Name: name, Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}}})
			c.Routes = append(c.Routes, hornbeamwell.Route{Name: name, PathPrefix: "/" + name, Service: name, Timeout: time.Second, MaxAttempts: 1, MaxBodyBytes: 1, Class: hornbeamwell.ClassInteractive})
		}
		// A route that is always configured keeps its state.
		c.Routes = append(c.Routes, hornbeamwell.Route{Name: "kept-route", PathPrefix: "/kept", Service: c.Services[0].Name, Timeout: time.Second, MaxAttempts: 1, MaxBodyBytes: 1, Class: hornbeamwell.ClassInteractive})
		if err := p.Update(time.Now(), c, nil); err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = p.routes["kept-route"]
		}
	}
	const most = 2*(routes+1) + maxRemoved
	for what, count := range map[string]int{"routes": len(p.routes), "budgets": len(p.budgets), "healths": len(p.healths)} {
		if count > most {
			t.Errorf("the states of %d %s are kept, want at most %d", count, what, most)
		}
	}
	if p.routes["kept-route"] != first {
		t.Error("the state of a configured route was dropped")
	}
	named := 0
	for _, name := range metrics.ListMetricNames() {
		var version, index int
		if n, _ := fmt.Sscanf(name, `hornbeamwell_calls_total{route="renamed-%d-%d"`, &version, &index); n == 2 {
			named++
		}
	}
	if callMetrics := 4; named > callMetrics*most {
		t.Errorf("%d metrics of calls are registered for past routes", named)
	}
}
