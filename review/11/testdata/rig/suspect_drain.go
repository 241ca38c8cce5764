package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The load of the case: requests of 940 ms with a deadline of 20 s at upstreams with 18 slots.
const (
	listUpstreams    = 3
	listSlots        = 18
	listWork         = 940 * time.Millisecond
	listDeadline     = 20 * time.Second
	listRequests     = 48
	crashAfter       = 400 * time.Millisecond
	drainAfter       = 300 * time.Millisecond
	leaveAfterDrain  = time.Second
	crashedFor       = 4500 * time.Millisecond
	sidecarHostBase  = 101
	accountsService  = "accounts"
	shopService      = "katalog"
	listHost         = "accounts.example"
	listPathTemplate = "/liste/%d"
)

func init() { cases["suspect-drain"] = playSuspectDrain }

// playSuspectDrain sends idempotent requests to three upstreams. One of them crashes while it runs
// some; they are sent to the others. One of these leaves meanwhile: it reports that it is draining,
// which is acknowledged, serves for Drain and a second longer, and ends. No request may reach it
// later than Drain after the acknowledgement. Without trouble none crashes.
func playSuspectDrain(ctx context.Context, s *site, hasTrouble bool) (verdict, error) {
	cores, err := s.startCores(coreMachines)
	if err != nil {
		return verdict{}, err
	}
	var sidecars []*node
	for i := range listUpstreams {
		sidecars = append(sidecars, s.addSidecar(sidecarHostBase+i, accountsService))
	}
	entry := s.addSidecar(sidecarHostBase+listUpstreams, shopService)
	var upstreams []*upstream
	for i, n := range append(sidecars, entry) {
		if err := n.start(true); err != nil {
			return verdict{}, err
		}
		u, err := startUpstream(n, fmt.Sprintf("i-%02d", i+1), "v1", listSlots, listWork)
		if err != nil {
			return verdict{}, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	if err := configureList(ctx, s, cores, append(sidecars, entry)); err != nil {
		return verdict{}, err
	}
	// From now on all machines are in touch.
	if err := sleep(ctx, connectivityWindow+time.Second); err != nil {
		return verdict{}, err
	}
	outcomes := make([]outcome, listRequests)
	var clients sync.WaitGroup
	for i := range listRequests {
		clients.Go(func() {
			outcomes[i] = ask(entry, "GET", listHost, fmt.Sprintf(listPathTemplate, i), fmt.Sprintf("q-%02d", i), listDeadline, nil)
			s.record.add("client: %s", outcomes[i])
		})
	}
	if err := sleep(ctx, crashAfter); err != nil {
		return verdict{}, err
	}
	if hasTrouble {
		upstreams[0].end()
		s.record.add("upstream %s crashes", upstreams[0].id)
		time.AfterFunc(crashedFor, func() {
			// It is back some seconds later.
			if u, err := startUpstream(sidecars[0], "i-91", "v1", listSlots, listWork); err == nil {
				time.AfterFunc(listDeadline, u.end)
			}
		})
	}
	leaving := upstreams[1:]
	if err := sleep(ctx, drainAfter); err != nil {
		return verdict{}, err
	}
	return leave(ctx, s, leaving[0], &clients, outcomes)
}

func configureList(ctx context.Context, s *site, cores, sidecars []*node) error {
	c := newConfiguration(1, accountsService, shopService)
	c.Routes["r-liste"] = routeDocument{
		Host: listHost, PathPrefix: "/liste/", Kind: "safe", Timeout: "20000ms", TargetLatency: "3000ms",
		Priority: 1, Service: accountsService, MaxAttempts: 3,
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
		last := sidecars[len(sidecars)-1]
		if o := ask(last, "GET", listHost, "/liste/first", "first", listDeadline, nil); o.status != 200 {
			return fmt.Errorf("%s", o)
		}
		return nil
	})
}

// leave makes the upstream leave and judges what reached it.
func leave(ctx context.Context, s *site, u *upstream, clients *sync.WaitGroup, outcomes []outcome) (verdict, error) {
	if err := u.drain(ctx); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, drainBound+leaveAfterDrain); err != nil {
		return verdict{}, err
	}
	_ = u.post("deregister", nil)
	u.end()
	s.record.add("upstream %s has deregistered and ends", u.id)
	clients.Wait()
	failed := 0
	for _, o := range outcomes {
		if o.status != 200 {
			failed++
		}
	}
	late, unfinished := u.lateArrivals(time.Time{})
	if len(late) == 0 {
		return held("no request reached %s later than %s after its draining was acknowledged; %d of %d requests failed", u.id, drainBound, failed, len(outcomes)), nil
	}
	return broken("%d requests reached %s later than %s after its draining was acknowledged, the last %d ms after it; it ended while it ran %d of them; %d of %d requests failed",
		len(late), u.id, drainBound, late[len(late)-1].at.Sub(u.leavingAt).Milliseconds(), unfinished, failed, len(outcomes)), nil
}
