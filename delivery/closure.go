package delivery

import (
	"maps"
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// routeIndex computes the services that a proxy needs in addition to those that
// its callers use.
type routeIndex struct {
	// required maps each service to the services that a proxy needs with it:
	// those with a route that can override one of its routes, and those that
	// share a split with it.
	required map[string]map[string]bool
}

// matchKey identifies the calls that a route matches, regardless of its
// methods. The host is in lower case, as hosts match in any case.
type matchKey struct {
	host, prefix string
}

func newMatchKey(host, prefix string) matchKey { return matchKey{strings.ToLower(host), prefix} }

func newRouteIndex(routes []*hornbeamwell.Route) *routeIndex {
	x := &routeIndex{required: map[string]map[string]bool{}}
	byKey := map[matchKey][]*hornbeamwell.Route{}
	hosted := map[string][]*hornbeamwell.Route{}
	for _, r := range routes {
		key := newMatchKey(r.Host, r.PathPrefix)
		byKey[key] = append(byKey[key], r)
		if r.Host != "" {
			hosted[r.PathPrefix] = append(hosted[r.PathPrefix], r)
		}
	}
	for _, r := range routes {
		x.addRoute(r, byKey, hosted)
		x.addSplit(r)
	}
	return x
}

// addSplit records that the services of a split require each other.
func (x *routeIndex) addSplit(r *hornbeamwell.Route) {
	for _, b := range r.Split {
		x.require(r.Service, b.Service)
		x.require(b.Service, r.Service)
	}
}

// addRoute records that r can override each route whose path prefix is a prefix
// of r's and whose host is r's or empty. If r has no host, r and each route with
// a host and such a prefix can override each other.
func (x *routeIndex) addRoute(r *hornbeamwell.Route, byKey map[matchKey][]*hornbeamwell.Route, hosted map[string][]*hornbeamwell.Route) {
	for length := range len(r.PathPrefix) + 1 {
		prefix := r.PathPrefix[:length]
		x.addOverride(byKey[newMatchKey("", prefix)], r)
		if r.Host != "" {
			x.addOverride(byKey[newMatchKey(r.Host, prefix)], r)
			continue
		}
		x.addOverride(hosted[prefix], r)
		for _, other := range hosted[prefix] {
			x.addOverride([]*hornbeamwell.Route{r}, other)
		}
	}
}

// addOverride records that the overriding route can override the routes.
func (x *routeIndex) addOverride(routes []*hornbeamwell.Route, overriding *hornbeamwell.Route) {
	for _, r := range routes {
		x.require(r.Service, overriding.Service)
	}
}

// require records that a proxy with the service also requires the other one.
func (x *routeIndex) require(service, other string) {
	if service == other {
		return
	}
	if x.required[service] == nil {
		x.required[service] = map[string]bool{}
	}
	x.required[service][other] = true
}

// equal reports whether the indexes, which may be nil, give the same closures.
func (x *routeIndex) equal(other *routeIndex) bool {
	if x == nil || other == nil {
		return x == other
	}
	return maps.EqualFunc(x.required, other.required, maps.Equal[map[string]bool, map[string]bool])
}

// bytes returns about the memory of the index, which may be nil.
func (x *routeIndex) bytes() int {
	if x == nil {
		return 0
	}
	const mapBytes, entryBytes = 200, 40
	bytes := mapBytes
	for _, others := range x.required {
		bytes += mapBytes + entryBytes*len(others)
	}
	return bytes
}

// closure returns the sorted services that a proxy needs for calls to the
// interests. These are the interests, the services of each route that can
// override a route of the closure, and the services that share a split with one
// of the closure. Without the overriding routes a proxy would send a call to a
// less specific route because it lacks the right one.
func (x *routeIndex) closure(interests []string) []string {
	needed := map[string]bool{}
	queue := slices.Clone(interests)
	for len(queue) > 0 {
		name := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if needed[name] {
			continue
		}
		needed[name] = true
		for other := range x.required[name] {
			queue = append(queue, other)
		}
	}
	services := make([]string, 0, len(needed))
	for name := range needed {
		services = append(services, name)
	}
	slices.Sort(services)
	return services
}
