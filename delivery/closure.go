package delivery

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// closure returns the services, sorted, that a proxy needs for calls to the
// interests. Beside the interests these are the services of each route that
// could take a call away from a route of the closure, so that a proxy never
// sends a call to a less specific route for want of the right one.
func closure(c *hornbeamwell.Configuration, interests []string) []string {
	needed := map[string]bool{}
	for _, name := range interests {
		needed[name] = true
	}
	for grew := true; grew; {
		grew = false
		for _, r := range c.Routes {
			if !needed[r.Service] && shadowsAny(c, needed, r) {
				needed[r.Service] = true
				grew = true
			}
		}
	}
	services := make([]string, 0, len(needed))
	for name := range needed {
		services = append(services, name)
	}
	slices.Sort(services)
	return services
}

func shadowsAny(c *hornbeamwell.Configuration, needed map[string]bool, r hornbeamwell.Route) bool {
	for _, other := range c.Routes {
		if needed[other.Service] && shadows(r, other) {
			return true
		}
	}
	return false
}

// shadows reports whether some call that matches the route other could belong
// to the route r.
func shadows(r, other hornbeamwell.Route) bool {
	if r.Host != "" && other.Host != "" && r.Host != other.Host {
		return false
	}
	if strings.HasPrefix(r.PathPrefix, other.PathPrefix) {
		return true
	}
	isHostMoreSpecific := r.Host != "" && other.Host == ""
	return isHostMoreSpecific && strings.HasPrefix(other.PathPrefix, r.PathPrefix)
}
