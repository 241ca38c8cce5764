package delivery

import (
	"slices"

	"github.com/hornbeamwell/hornbeamwell"
)

// routeIndex tells which services a proxy needs beside those that its callers
// use.
type routeIndex struct {
	// pulls holds, by service, the services with a route that could take a
	// call away from one of its routes.
	pulls map[string]map[string]bool
}

// routePlace is what decides which calls a route matches, without its methods.
type routePlace struct {
	host, prefix string
}

func newRouteIndex(routes []*hornbeamwell.Route) *routeIndex {
	x := &routeIndex{pulls: map[string]map[string]bool{}}
	byPlace := map[routePlace][]*hornbeamwell.Route{}
	hosted := map[string][]*hornbeamwell.Route{}
	for _, r := range routes {
		place := routePlace{r.Host, r.PathPrefix}
		byPlace[place] = append(byPlace[place], r)
		if r.Host != "" {
			hosted[r.PathPrefix] = append(hosted[r.PathPrefix], r)
		}
	}
	for _, r := range routes {
		x.addRoute(r, byPlace, hosted)
		x.addSplit(r)
	}
	return x
}

// addSplit notes that the services of a split go together.
func (x *routeIndex) addSplit(r *hornbeamwell.Route) {
	for _, b := range r.Split {
		x.need(r.Service, b.Service)
		x.need(b.Service, r.Service)
	}
}

// addRoute notes the routes with a prefix of r's path, from which r may take
// calls. Where r matches every host, each of them with a host may also take
// calls from r.
func (x *routeIndex) addRoute(r *hornbeamwell.Route, byPlace map[routePlace][]*hornbeamwell.Route, hosted map[string][]*hornbeamwell.Route) {
	for length := range len(r.PathPrefix) + 1 {
		prefix := r.PathPrefix[:length]
		x.pull(byPlace[routePlace{"", prefix}], r)
		if r.Host != "" {
			x.pull(byPlace[routePlace{r.Host, prefix}], r)
			continue
		}
		x.pull(hosted[prefix], r)
		for _, other := range hosted[prefix] {
			x.pull([]*hornbeamwell.Route{r}, other)
		}
	}
}

// pull notes that the route by may take calls from the routes.
func (x *routeIndex) pull(routes []*hornbeamwell.Route, by *hornbeamwell.Route) {
	for _, r := range routes {
		x.need(r.Service, by.Service)
	}
}

// need notes that a proxy with the service needs the other one too.
func (x *routeIndex) need(service, other string) {
	if service == other {
		return
	}
	if x.pulls[service] == nil {
		x.pulls[service] = map[string]bool{}
	}
	x.pulls[service][other] = true
}

// closure returns the services, sorted, that a proxy needs for calls to the
// interests. Beside the interests these are the services of each route that
// could take a call away from a route of the closure, so that a proxy never
// sends a call to a less specific route for want of the right one.
func (x *routeIndex) closure(interests []string) []string {
	needed := map[string]bool{}
	waiting := slices.Clone(interests)
	for len(waiting) > 0 {
		name := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		if needed[name] {
			continue
		}
		needed[name] = true
		for other := range x.pulls[name] {
			waiting = append(waiting, other)
		}
	}
	services := make([]string, 0, len(needed))
	for name := range needed {
		services = append(services, name)
	}
	slices.Sort(services)
	return services
}
