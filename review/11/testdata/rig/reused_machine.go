package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	orderMachines = 3
	orderService  = "lager"
	orderHost     = "orders.example"
	orderPrefix   = "/order/"
	orderWork     = 120 * time.Millisecond
	orderDeadline = 4 * time.Second
	orderSlots    = 12
	orders        = 24
	// freezeFor is the time for which the machine of the clients stands still.
	freezeFor = 3500 * time.Millisecond
	// reuseAfter is the time after the end of an upstream from which on its address may be used
	// by another service, with a margin.
	reuseAfter = 2300 * time.Millisecond
	// askBeforeWake is the time before the end of the freeze at which the clients send.
	askBeforeWake = 600 * time.Millisecond
)

func init() { cases["reused-machine"] = playReusedMachine }

// playReusedMachine freezes the machine of the clients for some seconds. Meanwhile the machine of
// one upstream is lost, and its address is used by an upstream of another service once ReuseAfter
// has passed. The clients send orders just before their machine wakes. No order may be run by the
// other service.
func playReusedMachine(ctx context.Context, s *site, hasTrouble bool) (verdict, error) {
	cores, err := s.startCores(coreMachines)
	if err != nil {
		return verdict{}, err
	}
	var machines []*node
	var upstreams []*upstream
	for i := range orderMachines {
		machines = append(machines, s.addSidecar(sidecarHostBase+i, orderService))
	}
	entry := s.addSidecar(sidecarHostBase+orderMachines, shopService)
	for i, n := range append(machines, entry) {
		if err := n.start(true); err != nil {
			return verdict{}, err
		}
		u, err := startUpstream(n, fmt.Sprintf("i-%02d", i+1), "v1", orderSlots, orderWork)
		if err != nil {
			return verdict{}, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	if err := configureOrders(ctx, s, cores, append(machines, entry), entry); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, connectivityWindow+time.Second); err != nil {
		return verdict{}, err
	}
	if hasTrouble {
		reused, err := freezeAndReuse(ctx, s, entry, machines[0], upstreams[0])
		if err != nil {
			return verdict{}, err
		}
		defer reused.end()
		upstreams = append(upstreams, reused)
	}
	outcomes := make([]outcome, orders)
	var clients sync.WaitGroup
	for i := range orders {
		clients.Go(func() {
			outcomes[i] = ask(entry, "POST", orderHost, fmt.Sprintf("%s%d", orderPrefix, i), fmt.Sprintf("q-%02d", i), orderDeadline, []byte("order"))
			s.record.add("client: %s", outcomes[i])
		})
	}
	if hasTrouble {
		time.Sleep(askBeforeWake)
		entry.signal(syscall.SIGCONT)
		s.record.add("%s wakes", entry.name)
	}
	clients.Wait()
	return judgeOrders(upstreams, outcomes), nil
}

func configureOrders(ctx context.Context, s *site, cores, sidecars []*node, entry *node) error {
	c := newConfiguration(1, orderService, shopService)
	c.Routes["r-order"] = routeDocument{
		Host: orderHost, PathPrefix: orderPrefix, Kind: "unsafe", Timeout: "4000ms", TargetLatency: "600ms",
		Priority: 1, Service: orderService, MaxAttempts: 2,
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
		if o := ask(entry, "POST", orderHost, orderPrefix+"first", "first", orderDeadline, []byte("order")); o.status != 200 {
			return fmt.Errorf("%s", o)
		}
		return nil
	})
}

// freezeAndReuse freezes the machine of the clients, and returns the upstream of another service
// that uses the address of the lost one. It returns askBeforeWake before the end of the freeze.
func freezeAndReuse(ctx context.Context, s *site, entry, lost *node, old *upstream) (*upstream, error) {
	began := time.Now()
	entry.signal(syscall.SIGSTOP)
	s.record.add("%s freezes", entry.name)
	old.end()
	lost.kill()
	s.record.add("upstream %s and its machine %s are lost", old.id, lost.name)
	if err := sleep(ctx, reuseAfter); err != nil {
		return nil, err
	}
	lost.service = shopService
	if err := lost.start(false); err != nil {
		return nil, err
	}
	reused, err := startUpstream(lost, "i-90", "v1", orderSlots, orderWork)
	if err != nil {
		return nil, err
	}
	if err := eventually(ctx, 2*time.Second, "ready", func() error { return isReady(lost) }); err != nil {
		return nil, err
	}
	if err := eventually(ctx, 2*time.Second, "heartbeat", reused.sendHeartbeat); err != nil {
		return nil, err
	}
	s.record.add("the address of %s is used by upstream %s of %s", lost.name, reused.id, lost.service)
	rest := freezeFor - askBeforeWake - time.Since(began)
	if rest < 0 {
		return nil, fmt.Errorf("the new upstream was ready %s too late for a freeze of %s", -rest, freezeFor)
	}
	return reused, sleep(ctx, rest)
}

// judgeOrders finds the orders that another service has run, and those that have run twice.
func judgeOrders(upstreams []*upstream, outcomes []outcome) verdict {
	foreign, runs := 0, map[string]int{}
	var examples []string
	for _, u := range upstreams {
		for id, n := range u.runsOf() {
			runs[id] += n
			if u.node.service == shopService && u.id != "i-01" {
				foreign += n
				examples = append(examples, id+" by "+u.id)
			}
		}
	}
	twice, ok := 0, 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	for _, o := range outcomes {
		if o.status == 200 {
			ok++
		}
	}
	summary := fmt.Sprintf("%d of %d orders answered with 200, %d ran twice", ok, len(outcomes), twice)
	if foreign > 0 {
		return broken("%d orders for %s were run by an upstream of %s (%s); %s", foreign, orderService, shopService, strings.Join(examples, ", "), summary)
	}
	return held("no order was run by another service; %s", summary)
}
