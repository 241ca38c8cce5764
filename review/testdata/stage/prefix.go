package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// shortPath begins with the prefix of the first route only: that of the second one has
	// one more byte, the slash at its end.
	shortPath = "/shop/parts"
	// requestsOfPath is the number of requests that are judged.
	requestsOfPath = 20
)

// playPrefix adds a route with a longer prefix. The requests of one path still belong to
// the first route, since the longer prefix does not begin their path. The trouble is the
// change of the configuration.
func playPrefix(w *world, isTroubled bool) (int, error) {
	routes := map[string]any{"r-shop": safeRoute("shop.example", "/shop/", "orders")}
	upstreams, err := begin(w, routes)
	if err != nil {
		return 0, err
	}
	caller := newClient(w.machine("sidecar-5"), "a1")
	if isTroubled {
		routes["r-parts"] = safeRoute("shop.example", "/shop/parts/", "books")
		services := map[string]any{"orders": service(), "books": service(), "front": service()}
		status := newOperator(w).configure(5, 7, routes, services)
		w.record.say("operator: the configuration with a route for /shop/parts/ was answered %d", status)
		time.Sleep(2 * configApply)
	}
	sent := map[string]bool{}
	for range requestsOfPath {
		id, got := caller.send(http.MethodGet, "shop.example", shortPath, 800*time.Millisecond, nil)
		sent[id] = true
		w.record.line("request %s for %s answered %d", id, shortPath, got.status)
		time.Sleep(50 * time.Millisecond)
	}
	wrong, right := 0, 0
	for _, u := range upstreams {
		for _, r := range u.snapshot() {
			switch {
			case !sent[r.id]:
			case strings.HasPrefix(u.machine.service, "orders"):
				right++
			default:
				wrong++
				w.record.say("request %s for %s ran at upstream %s of the service %s", r.id, shortPath, u.id, u.machine.service)
			}
		}
	}
	w.record.say("%d requests for %s ran at the service of /shop/, %d at another one: rule ROUTE allows none of these", right, shortPath, wrong)
	if wrong > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
