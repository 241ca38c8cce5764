package review

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestShadowsAgreeWithRouteTable guards against a route that is reported as shadowed and
// matches, or the other way round: the table of the data path decides for each method of
// a route which route a call to its prefix gets.
func TestShadowsAgreeWithRouteTable(t *testing.T) {
	const otherMethod = "PATCH"
	shadowed := 0
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		routes := randomRoutes(random)
		table, err := route.NewTable(&hornbeamwell.Configuration{
			Services: []hornbeamwell.Service{{Name: "s", Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}}}},
			Routes:   routes,
		})
		if err != nil {
			t.Fatal(err)
		}
		shadows := findShadows(routes)
		for i, r := range routes {
			methods := r.Methods
			if len(methods) == 0 {
				methods = []string{otherMethod}
			}
			lost := 0
			for _, method := range methods {
				if rule := table.Match(r.Host, method, r.PathPrefix); rule == nil || rule.Name != r.Name {
					lost++
				}
			}
			if _, isShadowed := shadows[i]; isShadowed != (lost > 0) {
				t.Errorf("seed %d: route %+v loses %d of the methods %v: %q", seed, r, lost, methods, shadows[i])
			}
			if lost > 0 {
				shadowed++
			}
		}
	}
	if shadowed < 100 {
		t.Errorf("only %d routes were shadowed", shadowed)
	}
}

func randomRoutes(random *rand.Rand) []hornbeamwell.Route {
	routes := make([]hornbeamwell.Route, 0, 6)
	for i := range 6 {
		r := hornbeamwell.Route{
			Name: fmt.Sprintf("r%d", random.IntN(90)*10+i), Service: "s", Class: hornbeamwell.ClassInteractive,
			Timeout: time.Second, MaxBodyBytes: 1, MaxAttempts: 1,
			Host:       []string{"", "shop.example", "Shop.Example"}[random.IntN(3)],
			PathPrefix: []string{"/", "/a", "/a/", "/a/b"}[random.IntN(4)],
		}
		for _, method := range []string{"GET", "POST", "PUT"} {
			if random.IntN(3) == 0 {
				r.Methods = append(r.Methods, method)
			}
		}
		routes = append(routes, r)
	}
	return routes
}
