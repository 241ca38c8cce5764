package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The load of the case: requests that may not be repeated, at upstreams that are half used.
const (
	pairSlots    = 9
	pairWork     = 210 * time.Millisecond
	pairDeadline = 4 * time.Second
	pairHost     = "pairs.example"
	pairPrefix   = "/abbina/"
	pairService  = "abbinamenti"
	// pairInterval is the time between two requests of the clients.
	pairInterval = 20 * time.Millisecond
)

const (
	// nextStartAfter is the time from the crash of the upstream to its next start, nextServes
	// the time for which that serves before it leaves.
	nextStartAfter = 500 * time.Millisecond
	nextServes     = 2500 * time.Millisecond
	// leaveAfterKill is the time from the kill of the sidecar to the first deregistration,
	// restartAfterKill that to the start of the next process.
	leaveAfterKill   = 300 * time.Millisecond
	restartAfterKill = 700 * time.Millisecond
	// deregisterInterval is the time between two deregistrations, until one is acknowledged.
	deregisterInterval = time.Second
	// serveAfterDeregistration is the time for which the upstream serves after the
	// acknowledgement: Drain and a little longer.
	serveAfterDeregistration = drainBound + 4*time.Second
)

func init() { cases["lost-deregistration"] = playLostDeregistration }

// playLostDeregistration lets an upstream crash and start again under its id. It then leaves
// without draining: it deregisters, goes on to serve, and ends. The sidecar beside it is killed
// shortly before, and the first that the next process hears is a heartbeat that was sent before
// the crash. No request may reach the upstream later than Drain after the acknowledgement.
// Without trouble the sidecar isn't killed.
func playLostDeregistration(ctx context.Context, s *site, hasTrouble bool) (verdict, error) {
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
	// From now on all machines are in touch.
	if err := sleep(ctx, connectivityWindow+time.Second); err != nil {
		return verdict{}, err
	}
	stopClients, wait := startPairClients(ctx, s, entry)
	earlier := upstreams[0]
	late, err := earlier.heartbeat("ready")
	if err != nil {
		return verdict{}, err
	}
	s.record.add("upstream %s crashes; its heartbeat %s is on its way", earlier.id, late)
	earlier.end()
	if err := sleep(ctx, nextStartAfter); err != nil {
		return verdict{}, err
	}
	u, err := startUpstream(earlier.node, earlier.id, earlier.version, pairSlots, pairWork)
	if err != nil {
		return verdict{}, err
	}
	defer u.end()
	if err := sleep(ctx, nextServes); err != nil {
		return verdict{}, err
	}
	if hasTrouble {
		s.record.add("%s is killed", u.node.name)
		u.node.kill()
	}
	if err := sleep(ctx, leaveAfterKill); err != nil {
		return verdict{}, err
	}
	left := make(chan error, 1)
	go func() { left <- u.deregister(ctx) }()
	if err := sleep(ctx, restartAfterKill-leaveAfterKill); err != nil {
		return verdict{}, err
	}
	backAt := time.Now()
	if hasTrouble {
		if err := u.node.start(false); err != nil {
			return verdict{}, err
		}
	}
	if err := deliverLate(ctx, u, late); err != nil {
		return verdict{}, err
	}
	if err := <-left; err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, serveAfterDeregistration); err != nil {
		return verdict{}, err
	}
	u.end()
	s.record.add("upstream %s ends", u.id)
	stopClients()
	failed, sent := wait()
	// The sidecar is in touch again ConnectivityWindow after it is back.
	arrivals, unfinished := u.lateArrivals(backAt.Add(connectivityWindow + time.Second))
	if len(arrivals) == 0 {
		return held("no request reached %s later than %s after its deregistration was acknowledged; %d of %d requests failed", u.id, drainBound, failed, sent), nil
	}
	return broken("%d requests reached %s later than %s after its deregistration was acknowledged; it ended while it ran %d of them; %d of %d requests failed",
		len(arrivals), u.id, drainBound, unfinished, failed, sent), nil
}

// deliverLate delivers a heartbeat as soon as the process beside the upstream answers. It may
// refuse the heartbeat.
func deliverLate(ctx context.Context, u *upstream, body []byte) error {
	return eventually(ctx, 5*time.Second, "deliver the late heartbeat", func() error {
		status, err := u.send("heartbeat", body)
		if err == nil {
			u.node.site.record.add("the heartbeat from before the crash arrives at %s: status %d", u.node.name, status)
		}
		return err
	})
}

// deregister ends the heartbeats and deregisters until that is acknowledged.
func (u *upstream) deregister(ctx context.Context) error {
	u.stopOnce.Do(func() { close(u.stop) })
	body := fmt.Appendf(nil, `{"born":%d}`, u.born)
	for {
		err := u.post("deregister", body)
		if err == nil {
			break
		}
		u.node.site.record.add("upstream %s: deregistration: %v", u.id, err)
		if err := sleep(ctx, deregisterInterval); err != nil {
			return err
		}
	}
	u.mu.Lock()
	u.leavingAt = time.Now()
	u.mu.Unlock()
	u.node.site.record.add("upstream %s: deregistration is acknowledged by %s", u.id, u.node.name)
	return nil
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
