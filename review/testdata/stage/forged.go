package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// forgedDelay is the time after the acknowledgement at which the heartbeat of another
// writer arrives.
const forgedDelay = time.Second

// playForged lets an upstream leave by deregistering. The trouble is a heartbeat from
// another writer, which lacks the field born.
func playForged(w *world, isTroubled bool) (int, error) {
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
	acknowledged, isAcknowledged := leaving.deregister()
	if !isAcknowledged {
		return 0, errors.New("the deregistration was not acknowledged")
	}
	time.Sleep(forgedDelay)
	if isTroubled {
		status := leaving.call("heartbeat", withoutBorn(leaving))
		w.record.say("another writer: heartbeat for %s without born answered %d", leaving.id, status)
	}
	time.Sleep(time.Until(acknowledged.Add(drainBound + servesOn)))
	leaving.exit()
	cancel()
	<-flowed
	return judgeDeregister(w, leaving, caller, acknowledged, time.Time{}), nil
}

// withoutBorn returns a heartbeat of the upstream that lacks the field born.
func withoutBorn(u *upstream) []byte {
	whole, _ := u.beatBody()
	var fields map[string]any
	_ = json.Unmarshal(whole, &fields)
	delete(fields, "born")
	body, _ := json.Marshal(fields)
	return body
}
