package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	pairSlots    = 9
	pairWork     = 210 * time.Millisecond
	pairDeadline = 4 * time.Second
	pairHost     = "pairs.example"
	pairPrefix   = "/abbina/"
	pairService  = "abbinamenti"
	// pairInterval is the time between two requests of the clients.
	pairInterval = 20 * time.Millisecond
	// foreignAfter is the time from the acknowledgement of the draining to the heartbeat of
	// another writer.
	foreignAfter = 2700 * time.Millisecond
	// serveAfterDrain is the time for which the upstream serves after Drain.
	serveAfterDrain = time.Second
)

func init() { cases["foreign-heartbeat"] = playForeignHeartbeat }

// playForeignHeartbeat lets one of three upstreams report that it is draining. After the
// acknowledgement another writer sends a heartbeat for it that lacks a field, which names no
// upstream to use. No request may reach the upstream later than Drain after the acknowledgement.
func playForeignHeartbeat(ctx context.Context, s *site, hasTrouble bool) (verdict, error) {
	cores, err := s.startCores(coreMachines)
	if err != nil {
		return verdict{}, err
	}
	var sidecars []*node
	for i := range 3 {
		sidecars = append(sidecars, s.addSidecar(sidecarHostBase+i, pairService))
	}
	entry := s.addSidecar(sidecarHostBase+3, shopService)
	var upstreams []*upstream
	for i, n := range append(sidecars, entry) {
		if err := n.start(true); err != nil {
			return verdict{}, err
		}
		u, err := startUpstream(n, fmt.Sprintf("i-%02d", i+1), "v1", pairSlots, pairWork)
		if err != nil {
			return verdict{}, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	if err := configurePairs(ctx, s, cores, append(sidecars, entry), entry); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, connectivityWindow+time.Second); err != nil {
		return verdict{}, err
	}
	ask, wait := startPairClients(ctx, s, entry)
	if err := sleep(ctx, time.Second); err != nil {
		return verdict{}, err
	}
	u := upstreams[0]
	if err := u.drain(ctx); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, foreignAfter); err != nil {
		return verdict{}, err
	}
	if hasTrouble {
		if err := u.sendForeignHeartbeat(); err != nil {
			s.record.add("the heartbeat of another writer is refused: %v", err)
		}
	}
	if err := sleep(ctx, drainBound+serveAfterDrain-foreignAfter); err != nil {
		return verdict{}, err
	}
	_ = u.post("deregister", nil)
	u.end()
	s.record.add("upstream %s has deregistered and ends", u.id)
	ask()
	failed, sent := wait()
	late, unfinished := u.lateArrivals()
	if len(late) == 0 {
		return held("no request reached %s later than %s after its draining was acknowledged; %d of %d requests failed", u.id, drainBound, failed, sent), nil
	}
	return broken("%d requests reached %s later than %s after its draining was acknowledged; it ended while it ran %d of them; %d of %d requests failed",
		len(late), u.id, drainBound, unfinished, failed, sent), nil
}

// sendForeignHeartbeat sends a heartbeat of another writer: Seq is missing, and it has another
// number of slots.
func (u *upstream) sendForeignHeartbeat() error {
	body, err := json.Marshal(map[string]any{
		"Address": u.node.address(portUpstream),
		"Info":    map[string]any{"Service": u.node.service, "Version": u.version, "Zone": u.node.zone, "Slots": cap(u.slots) + 1},
		"Status":  map[string]any{"State": "ready", "ColdRemaining": "0ms"},
		"born":    u.born,
	})
	if err != nil {
		return err
	}
	u.node.site.record.add("another writer sends %s", body)
	return u.post("heartbeat", body)
}

func configurePairs(ctx context.Context, s *site, cores, sidecars []*node, entry *node) error {
	c := newConfiguration(1, pairService, shopService)
	c.Routes["r-abbina"] = routeDocument{
		Host: pairHost, PathPrefix: pairPrefix, Kind: "unsafe", Timeout: "4000ms", TargetLatency: "600ms",
		Priority: 1, Service: pairService, MaxAttempts: 2,
	}
	if _, err := newOperator(s.record).replace(ctx, cores, c, 0, 20*time.Second); err != nil {
		return err
	}
	for _, n := range sidecars {
		if err := eventually(ctx, 20*time.Second, "ready", func() error { return isReady(n) }); err != nil {
			return err
		}
	}
	return eventually(ctx, 20*time.Second, "first answer", func() error {
		if o := ask(entry, "POST", pairHost, pairPrefix+"first", "first", pairDeadline, []byte("pair")); o.status != 200 {
			return fmt.Errorf("%s", o)
		}
		return nil
	})
}

// startPairClients sends requests until stop is called. The function wait returns the number of
// failed requests and of all.
func startPairClients(ctx context.Context, s *site, entry *node) (stop func(), wait func() (failed, sent int)) {
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	var mu sync.Mutex
	failed, sent := 0, 0
	clients.Go(func() {
		for i := 0; sleep(ctx, pairInterval) == nil; i++ {
			clients.Go(func() {
				o := ask(entry, "POST", pairHost, fmt.Sprintf("%s%d", pairPrefix, i), fmt.Sprintf("q-%04d", i), pairDeadline, []byte("pair"))
				mu.Lock()
				defer mu.Unlock()
				sent++
				if o.status != 200 {
					failed++
					s.record.add("client: %s", o)
				}
			})
		}
	})
	return cancel, func() (int, int) {
		clients.Wait()
		mu.Lock()
		defer mu.Unlock()
		return failed, sent
	}
}
