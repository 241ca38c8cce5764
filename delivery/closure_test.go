package delivery

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestClosureNeverChangesTheMatch checks that a proxy with interests sends a
// call to the same route as a proxy with every route, or to none.
func TestClosureNeverChangesTheMatch(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"", "a", "b", "B"})
	paths := rapid.SampledFrom([]string{"/", "/x", "/x/y", "/x/y/z", "/w"})
	services := rapid.SampledFrom([]string{"s1", "s2", "s3", "s4", "s5"})
	rapid.Check(t, func(t *rapid.T) {
		var routes []*hornbeamwell.Route
		taken := map[matchKey]bool{}
		for range rapid.IntRange(1, 8).Draw(t, "routes") {
			r := &hornbeamwell.Route{Host: hosts.Draw(t, "host"), PathPrefix: paths.Draw(t, "prefix"), Service: services.Draw(t, "service")}
			if key := (matchKey{strings.ToLower(r.Host), r.PathPrefix}); !taken[key] {
				taken[key] = true
				routes = append(routes, r)
			}
		}
		closure := newRouteIndex(routes).closure([]string{services.Draw(t, "interest")})
		host, path := hosts.Draw(t, "called host"), paths.Draw(t, "called path")
		for _, hostFirst := range []bool{true, false} {
			all := match(routes, host, path, hostFirst, nil)
			restricted := match(routes, host, path, hostFirst, closure)
			if restricted != nil && restricted != all {
				t.Fatalf("%s%s is routed to %v with the closure %v, to %v with every route", host, path, restricted, closure, all)
			}
		}
	})
}

// TestClosureComparesHostsInAnyCase guards against a proxy that lacks the more specific
// route of a host, because the configuration has the host in two spellings.
func TestClosureComparesHostsInAnyCase(t *testing.T) {
	routes := []*hornbeamwell.Route{
		{Host: "shop.example", PathPrefix: "/", Service: "pages"},
		{Host: "Shop.Example", PathPrefix: "/orders", Service: "orders"},
	}
	if got := newRouteIndex(routes).closure([]string{"pages"}); !slices.Equal(got, []string{"orders", "pages"}) {
		t.Errorf("a proxy that calls pages gets the routes of %v, want those of orders too", got)
	}
}

// match returns the most specific route, by host or by path first, among those
// of the services. If services is nil, it considers every route.
func match(routes []*hornbeamwell.Route, host, path string, hostFirst bool, services []string) *hornbeamwell.Route {
	rank := func(r *hornbeamwell.Route) int {
		specific := 0
		if r.Host != "" {
			specific = 1
		}
		if hostFirst {
			return specific*1000 + len(r.PathPrefix)
		}
		return len(r.PathPrefix)*10 + specific
	}
	var best *hornbeamwell.Route
	for _, r := range routes {
		matches := (r.Host == "" || strings.EqualFold(r.Host, host)) && strings.HasPrefix(path, r.PathPrefix)
		isIncluded := services == nil || slices.Contains(services, r.Service)
		if matches && isIncluded && (best == nil || rank(r) > rank(best)) {
			best = r
		}
	}
	return best
}
