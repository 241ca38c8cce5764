package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. It returns an exit code.
type scenario struct {
	// services are the services of the upstreams on the sidecars.
	services []string
	play     func(w *world, isTroubled bool) (int, error)
}

var scenarios = map[string]scenario{
	"deregister":    {services: []string{"orders", "orders", "orders", "front", "front"}, play: playDeregister},
	"version-name":  {services: []string{"orders", "orders", "orders", "front", "orders", "orders"}, play: playVersionName},
	"prefix":        {services: []string{"orders", "orders", "books", "books", "front"}, play: playPrefix},
	"twice":         {services: []string{"orders", "orders", "front"}, play: playTwice},
	"forged":        {services: []string{"orders", "orders", "orders", "front", "front"}, play: playForged},
	"rollout-again": {services: []string{"orders", "orders", "orders", "front", "orders", "orders"}, play: playRolloutAgain},
}

// maxDuration is the longest time of a case.
const maxDuration = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: stage SCENARIO ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runScenario(os.Args[1], os.Args[2], os.Args[3]))
}

func runScenario(name, root, recordPath string) int {
	s, found := scenarios[name]
	if !found {
		fmt.Println("no such scenario:", name)
		return exitNotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	w, err := newWorld(root, r, s.services)
	if err != nil {
		r.say("cannot run: %v", err)
		return exitNotRun
	}
	defer w.stopAll()
	type result struct {
		code int
		err  error
	}
	results := make(chan result, 1)
	go func() {
		code, err := s.play(w, os.Getenv("TROUBLE") != "0")
		results <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
		r.say("cannot run: stopped by a signal")
		return exitNotRun
	case got := <-results:
		if got.err != nil {
			r.say("cannot run: %v", got.err)
			return exitNotRun
		}
		r.say("result %d", got.code)
		return got.code
	case <-time.After(maxDuration):
		r.say("cannot run: not finished after %s", maxDuration)
		return exitNotRun
	}
}

// begin starts all machines, one upstream on each sidecar, and the first configuration.
func begin(w *world, routes map[string]any) (map[string]*upstream, error) {
	if err := w.startAll(); err != nil {
		return nil, err
	}
	upstreams := map[string]*upstream{}
	services := map[string]any{}
	for i, m := range w.machines[coreMachines:] {
		services[m.service] = service()
		if m.isLate {
			continue
		}
		u, err := startUpstream(m, fmt.Sprintf("i-%04x", 0x1a00+i), "v1", 40*time.Millisecond)
		if err != nil {
			return nil, err
		}
		upstreams[m.name] = u
	}
	time.Sleep(time.Second)
	if status := newOperator(w).configure(0, 5, routes, services); status != 200 {
		return nil, fmt.Errorf("the first configuration was answered %d", status)
	}
	for _, m := range w.machines[coreMachines:] {
		if !m.awaitReady(10 * time.Second) {
			return nil, fmt.Errorf("%s is not ready", m.name)
		}
	}
	time.Sleep(2 * time.Second)
	return upstreams, nil
}
