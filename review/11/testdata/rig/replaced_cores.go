package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// coreMachines is the number of core machines of a small deployment. Two of them may be
	// lost at once.
	coreMachines = 5
	// idleRoutes makes the configuration as large as that of a site that has grown by many
	// routes.
	idleRoutes = 1500
	// replaceDelay is the time from the loss of machines to the start of their successors.
	replaceDelay = time.Second
	// settleMargin is added to CatchUp before the next machines are lost.
	settleMargin = 500 * time.Millisecond
	// maxRounds is the number of times that two machines are replaced.
	maxRounds = 16
)

func init() { cases["replaced-cores"] = playReplacedCores }

// playReplacedCores replaces two of five core machines at a time, each by an empty one at another
// address, and waits CatchUp after the start of the successors before the next loss. Nothing else
// is disrupted. The configuration that was acknowledged first has to be readable all the while.
func playReplacedCores(ctx context.Context, s *site, hasTrouble bool) (verdict, error) {
	cores, err := s.startCores(coreMachines)
	if err != nil {
		return verdict{}, err
	}
	o := newOperator(s.record)
	first := newConfiguration(1, "katalog", "lager")
	for i := range idleRoutes {
		first.Routes[fmt.Sprintf("r-%04d", i)] = routeDocument{
			Host: "shop.example", PathPrefix: fmt.Sprintf("/route-%04d/", i), Kind: "safe", Timeout: "800ms",
			TargetLatency: "300ms", Priority: 2, Service: "katalog", MaxAttempts: 2,
		}
	}
	if _, err := o.replace(ctx, cores, first, 0, 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, catchUp); err != nil {
		return verdict{}, err
	}
	if !hasTrouble {
		return readBack(ctx, s, o, cores, 1)
	}
	next := coreMachines + 1
	for round := 1; round <= maxRounds; round++ {
		leader := o.leader(ctx, cores)
		if leader == nil {
			s.record.add("round %d: no leader is known, no more machines are replaced", round)
			break
		}
		s.record.add("round %d: %s leads, ledger messages dropped by it so far: %s", round, leader.name, droppedMessages(ctx, leader))
		lost := slices.DeleteFunc(slices.Clone(cores), func(n *node) bool { return n == leader })[:s.tolerance]
		if cores, err = replaceCores(ctx, s, cores, lost, &next, round); err != nil {
			return verdict{}, err
		}
	}
	return readBack(ctx, s, o, cores, 1)
}

// replaceCores kills machines for good and starts empty ones at other addresses.
func replaceCores(ctx context.Context, s *site, cores, lost []*node, next *int, round int) ([]*node, error) {
	for _, n := range lost {
		n.kill()
		s.record.add("round %d: %s is gone for good", round, n.name)
		cores = slices.DeleteFunc(cores, func(other *node) bool { return other == n })
	}
	if err := sleep(ctx, replaceDelay); err != nil {
		return nil, err
	}
	for range lost {
		n := s.addCore(*next)
		*next++
		s.seeds = []string{cores[0].address(portControl), cores[1].address(portControl), cores[2].address(portControl)}
		if err := n.start(false); err != nil {
			return nil, err
		}
		cores = append(cores, n)
	}
	return cores, sleep(ctx, catchUp+settleMargin)
}

// readBack reads the configuration from all running core machines, again and again for Recovery,
// which is longer than ConnectivityWindow. It has to be the newest acknowledged one.
func readBack(ctx context.Context, s *site, o *operator, cores []*node, newest int) (verdict, error) {
	const limit = 15 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	type reading struct {
		node    *node
		version int
	}
	readings := make(chan reading, len(cores))
	var readers sync.WaitGroup
	for _, n := range cores {
		readers.Go(func() {
			for ctx.Err() == nil {
				version, err := o.readVersion(ctx, n)
				if err == nil {
					readings <- reading{n, version}
					return
				}
				s.record.add("%s returns no configuration: %v", n.name, err)
				_ = sleep(ctx, time.Second)
			}
		})
	}
	go func() {
		readers.Wait()
		close(readings)
	}()
	first, isRead := <-readings
	switch {
	case isRead && first.version == newest:
		return held("configuration %d is read back from %s after %d ms", newest, first.node.name, time.Since(began).Milliseconds()), nil
	case isRead:
		return broken("%s returns configuration %d", first.node.name, first.version), nil
	}
	for _, n := range cores {
		if n.hasEnded() {
			return verdict{}, fmt.Errorf("%s has ended by itself", n.name)
		}
	}
	return broken("none of %d core machines that run returns the acknowledged configuration within %s", len(cores), limit), nil
}

// droppedMessages returns the number of ledger messages that the node has dropped, which explains
// the result and is not judged.
func droppedMessages(ctx context.Context, n *node) string {
	const name = "hornbeamwell_ledger_dropped_messages_total "
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(portInternal+1)+"/metrics", nil)
	if err != nil {
		return "?"
	}
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		return "?"
	}
	defer func() { _ = r.Body.Close() }()
	for lines := bufio.NewScanner(r.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), name); found {
			return value
		}
	}
	return "?"
}
