package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// beatDelay is how late the last heartbeat of the upstream arrives.
	beatDelay = 2 * time.Second
	// servesOn is how long the upstream serves after its deregistration, beyond the drain
	// bound.
	servesOn = 7 * time.Second
)

// playDeregister lets an upstream leave by deregistering. Its last heartbeat before that
// arrives late. The trouble is that the process beside it was killed just before and has
// started again.
func playDeregister(w *world, isTroubled bool) (int, error) {
	upstreams, err := begin(w, map[string]any{"r-orders": safeRoute("shop.example", "/orders/", "orders")})
	if err != nil {
		return 0, err
	}
	caller := newClient(w.machine("sidecar-4"), "a1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	flowed := make(chan struct{})
	go func() {
		defer close(flowed)
		caller.flow(ctx, 20*time.Millisecond, http.MethodGet, "shop.example", "/orders/7", 800*time.Millisecond)
	}()
	time.Sleep(2 * time.Second)
	leaving := upstreams["sidecar-1"]
	if len(leaving.snapshot()) == 0 {
		return 0, errors.New("the upstream got no request before the trouble")
	}
	leaving.stopBeat()
	late, seq := leaving.beatBody()
	delivered := time.Now().Add(beatDelay)
	w.record.say("upstream %s sends heartbeat %d, which will arrive %s later", leaving.id, seq, beatDelay)
	restarted := time.Time{}
	if isTroubled {
		if err := leaving.machine.killAndRestart(); err != nil {
			return 0, err
		}
		restarted = time.Now()
		w.record.say("the process of %s was killed and has started again", leaving.machine.name)
	}
	acknowledged, isAcknowledged := leaving.deregister()
	if !isAcknowledged {
		return 0, errors.New("the deregistration was not acknowledged")
	}
	time.Sleep(time.Until(delivered))
	leaving.deliver(late, seq)
	time.Sleep(time.Until(acknowledged.Add(drainBound + servesOn)))
	leaving.exit()
	cancel()
	<-flowed
	return judgeDeregister(w, leaving, caller, acknowledged, restarted), nil
}

// judgeDeregister counts the requests that reached the upstream later than the drain bound
// after its deregistration was acknowledged, and were sent after both machines had been in
// touch for the connectivity window.
func judgeDeregister(w *world, u *upstream, c *client, acknowledged, restarted time.Time) int {
	broken, early := 0, 0
	for _, r := range u.snapshot() {
		after := r.at.Sub(acknowledged)
		if after <= drainBound {
			continue
		}
		sent, isOurs := c.sentAt(r.id)
		if !isOurs || !restarted.IsZero() && sent.Sub(restarted) <= connectivityWindow {
			early++
			continue
		}
		broken++
		if broken <= 5 {
			w.record.say("request %s reached upstream %s %.3f s after the acknowledgement", r.id, u.id, after.Seconds())
		}
	}
	w.record.say("%d requests broke the rule DRAIN; %d more came while the machine was not in touch", broken, early)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
