package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// playVersionName brings a version into force by a rollout and then sends a valid
// configuration.
func playVersionName(w *world, isTroubled bool) (int, error) {
	w.machines[len(w.machines)-1].isLate, w.machines[len(w.machines)-2].isLate = true, true
	routes := map[string]any{"r-orders": safeRoute("shop.example", "/orders/", "orders")}
	if _, err := begin(w, routes); err != nil {
		return 0, err
	}
	caller := newClient(w.machine("sidecar-4"), "a1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go caller.flow(ctx, 10*time.Millisecond, http.MethodGet, "shop.example", "/orders/7", 800*time.Millisecond)
	o := newOperator(w)
	if isTroubled {
		for i, m := range w.machines[len(w.machines)-2:] {
			if _, err := startUpstream(m, fmt.Sprintf("i-new-%d", i), "2.0.0-RC1", 40*time.Millisecond); err != nil {
				return 0, err
			}
		}
		time.Sleep(2 * time.Second)
		if status := o.startRollout("orders", "2.0.0-RC1", rolloutDuration); status != http.StatusOK {
			return 0, errors.New("the rollout was not acknowledged")
		}
		o.awaitEnd("orders", rolloutDuration+10*time.Second)
	}
	routes["r-more"] = safeRoute("shop.example", "/more/", "orders")
	services := map[string]any{"orders": service(), "front": service()}
	status := 0
	for range 5 {
		status = o.configure(5, 7, routes, services)
		w.record.say("operator: a valid configuration was answered %d", status)
		if status == http.StatusOK {
			return exitHeld, nil
		}
		time.Sleep(time.Second)
	}
	return exitBroken, nil
}
