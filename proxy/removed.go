package proxy

import "github.com/VictoriaMetrics/metrics"

// maxRemoved is the number of routes or services that are no longer configured whose state is
// kept, besides as many as are configured. One that comes back soon goes on with its state.
const maxRemoved = 1000

// forgetRemoved drops the states of routes and services that are no longer configured once there
// are too many of them. The caller holds updateMu.
func (p *Proxy) forgetRemoved(configured *table) {
	routes := make(map[string]bool, len(configured.rules))
	for rule := range configured.rules {
		routes[rule.Name] = true
	}
	dropRemoved(p.routes, routes, (*routeState).unregister)
	services := make(map[string]bool, len(configured.services))
	for name := range configured.services {
		services[name] = true
	}
	dropRemoved(p.budgets, services, nil)
	dropRemoved(p.healths, services, nil)
	dropRemoved(p.hedges, services, nil)
}

// dropRemoved drops the states whose names are not configured if there are more than maxRemoved
// of them and more than are configured. It calls onDrop, which may be nil, with each.
func dropRemoved[T any](states map[string]T, configured map[string]bool, onDrop func(T)) {
	if len(states) <= len(configured)+max(len(configured), maxRemoved) {
		return
	}
	for name, state := range states {
		if configured[name] {
			continue
		}
		delete(states, name)
		if onDrop != nil {
			onDrop(state)
		}
	}
}

// unregister removes the counters of the route from the metrics. Calls that are under way still
// count in them.
func (s *routeState) unregister() {
	for _, name := range s.metricNames {
		metrics.UnregisterMetric(name)
	}
}
