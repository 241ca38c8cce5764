package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// rolloutState is the operator's view of a rollout.
type rolloutState struct {
	State         string
	TargetVersion string
}

func (o *operator) startRollout(service, version string, duration time.Duration) int {
	body, _ := json.Marshal(map[string]any{"Service": service, "TargetVersion": version, "Duration": fmt.Sprintf("%ds", int(duration.Seconds()))})
	status, reply := o.order(http.MethodPost, "/rollouts/start", nil, body)
	o.world.record.say("operator: rollout of %s to %s answered %d %s", service, version, status, shorten(reply))
	return status
}

func (o *operator) rollout(service string) rolloutState {
	_, reply := o.order(http.MethodGet, "/rollouts/"+service+"/get", nil, nil)
	var state rolloutState
	_ = json.Unmarshal(reply, &state)
	return state
}

// awaitEnd waits until the rollout has ended.
func (o *operator) awaitEnd(service string, timeout time.Duration) rolloutState {
	state := rolloutState{}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if state = o.rollout(service); state.State == "completed" || state.State == "rolled_back" {
			break
		}
	}
	o.world.record.say("operator: the rollout of %s to %s is %s", service, state.TargetVersion, state.State)
	return state
}

const (
	rolloutDuration = 16 * time.Second
	// badShare is the share of the requests that fail at the bad version.
	badShare = 0.5
	// watchAfter is how long the operator looks for the second rollout after the final fault.
	watchAfter = 25 * time.Second
)

// playRolloutAgain orders a rollout, and orders it again after it was rolled back. All
// processes are killed once the second order is acknowledged. The trouble is that the
// version is bad when it is ordered first.
func playRolloutAgain(w *world, isTroubled bool) (int, error) {
	// The last two machines get the upstreams of the new version.
	w.machines[len(w.machines)-1].isLate, w.machines[len(w.machines)-2].isLate = true, true
	if _, err := begin(w, map[string]any{"r-orders": safeRoute("shop.example", "/orders/", "orders")}); err != nil {
		return 0, err
	}
	caller := newClient(w.machine("sidecar-4"), "a1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go caller.flow(ctx, 10*time.Millisecond, http.MethodGet, "shop.example", "/orders/7", 800*time.Millisecond)
	canaries, err := startCanaries(w, "first", isTroubled)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	o := newOperator(w)
	if status := o.startRollout("orders", "v2", rolloutDuration); status != http.StatusOK {
		return 0, errors.New("the first rollout was not acknowledged")
	}
	first := o.awaitEnd("orders", rolloutDuration+10*time.Second)
	if isTroubled != (first.State == "rolled_back") {
		return 0, fmt.Errorf("the first rollout is %s", first.State)
	}
	if isTroubled {
		// The operator mends the version: its upstreams leave and others start.
		time.Sleep(2 * time.Second)
		for _, u := range canaries {
			u.drain()
		}
		time.Sleep(drainBound + time.Second)
		for _, u := range canaries {
			u.deregister()
			u.exit()
		}
		time.Sleep(time.Second)
		if canaries, err = startCanaries(w, "second", false); err != nil {
			return 0, err
		}
		time.Sleep(2 * time.Second)
	}
	if status := o.startRollout("orders", "v2", rolloutDuration); status != http.StatusOK {
		return 0, errors.New("the second rollout was not acknowledged")
	}
	acknowledged := time.Now()
	w.killAll()
	time.Sleep(time.Second)
	for _, m := range w.machines {
		if err := m.start(false); err != nil {
			return 0, err
		}
	}
	return judgeRolloutAgain(w, o, canaries, acknowledged), nil
}

// startCanaries starts the upstreams of the new version.
func startCanaries(w *world, name string, isBad bool) ([]*upstream, error) {
	var canaries []*upstream
	failShare := 0.0
	if isBad {
		failShare = badShare
	}
	for i, m := range w.machines[len(w.machines)-2:] {
		u, err := startFailingUpstream(m, fmt.Sprintf("i-%s-%d", name, i), "v2", 40*time.Millisecond, failShare)
		if err != nil {
			return nil, err
		}
		canaries = append(canaries, u)
	}
	return canaries, nil
}

// killAll kills all processes at the same moment.
func (w *world) killAll() {
	for _, m := range w.machines {
		m.kill()
	}
	for _, m := range w.machines {
		m.await()
	}
	w.record.say("platform: all processes were killed")
}

// judgeRolloutAgain reads the rollout back after the final fault.
func judgeRolloutAgain(w *world, o *operator, canaries []*upstream, acknowledged time.Time) int {
	state := rolloutState{}
	for end := time.Now().Add(watchAfter); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		state = o.rollout("orders")
	}
	runs := 0
	for _, u := range canaries {
		for _, r := range u.snapshot() {
			if r.at.After(acknowledged) {
				runs++
			}
		}
	}
	w.record.say("read back: rollout to %s is %s; the upstreams of the new version got %d requests since the acknowledgement", state.TargetVersion, state.State, runs)
	if state.TargetVersion == "v2" && state.State == "rolled_back" && runs == 0 {
		w.record.say("the acknowledged second rollout is gone: rule LOST")
		return exitBroken
	}
	return exitHeld
}
