package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lostEvery is the number of requests at one of the two upstreams of which the answer to
	// one is lost: just under 3 in 100.
	lostEvery = 34
	// bookingPath begins with the prefix of the unsafe route only: that of the safe one has
	// one more byte, the slash at its end.
	bookingPath = "/bookings/status"
	bookingTime = 40 * time.Second
)

// playTwice sends requests of an unsafe route whose path is the prefix of a safe route
// without its slash. The trouble is that one of the two upstreams loses a few of its answers.
func playTwice(w *world, isTroubled bool) (int, error) {
	routes := map[string]any{
		"r-booking": unsafeRoute("farm.example", "/bookings/", "orders"),
		"r-status":  safeRoute("farm.example", "/bookings/status/", "orders"),
	}
	upstreams, err := begin(w, routes)
	if err != nil {
		return 0, err
	}
	if isTroubled {
		var ran atomic.Int64
		upstreams["sidecar-1"].losesAnswer = func() bool { return ran.Add(1)%lostEvery == 0 }
	}
	caller := newClient(w.machine("sidecar-3"), "a1")
	ctx, cancel := context.WithTimeout(context.Background(), bookingTime)
	defer cancel()
	caller.flow(ctx, 25*time.Millisecond, http.MethodPost, "farm.example", bookingPath, time.Second)
	time.Sleep(time.Second)
	return judgeTwice(w, upstreams, caller), nil
}

// judgeTwice counts the requests that ran more than once.
func judgeTwice(w *world, upstreams map[string]*upstream, c *client) int {
	runs := map[string][]string{}
	for _, u := range upstreams {
		for _, r := range u.snapshot() {
			runs[r.id] = append(runs[r.id], u.id)
		}
	}
	twice := 0
	for id, at := range runs {
		if len(at) < 2 {
			continue
		}
		twice++
		if twice <= 5 {
			w.record.say("unsafe request %s ran %d times, at %v, and was answered %d", id, len(at), at, c.answers[id].status)
		}
	}
	served, asked := c.served(time.Time{})
	w.record.say("%d requests sent, %d served; %d ran more than once: rule TWICE allows none", asked, served, twice)
	if twice > 0 {
		return exitBroken
	}
	return exitHeld
}
