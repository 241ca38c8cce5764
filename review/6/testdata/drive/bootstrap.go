package main

import (
	"fmt"
	"time"
)

func init() { scenarios["bootstrap"] = bootstrapScenario }

// bootstrapScenario kills one process that serves control while the system starts for the
// first time. All machines start within 0.3 s of each other.
func bootstrapScenario(record *recorder, program string, trouble bool) error {
	c, err := newCluster(record, program, 5, []string{"profiles", "pairing", "pairing"})
	if err != nil {
		return err
	}
	defer c.close()
	first := c.cores[0]
	if err := first.start(true); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		first.kill()
	}
	for _, m := range c.machines()[1:] {
		if err := m.start(true); err != nil {
			return err
		}
	}
	shared := &runs{}
	for i, m := range c.sidecars {
		if _, err := startUpstream(m, shared, fmt.Sprintf("i-%d", i+1), 20*time.Millisecond); err != nil {
			return err
		}
	}
	if trouble {
		// It is back a second after it was killed, with its disk.
		time.Sleep(time.Second)
		if err := first.start(false); err != nil {
			return err
		}
	}
	// The core is stable ConnectivityWindow after the start.
	time.Sleep(3 * time.Second)
	document := newConfig(3, "profiles", "pairing")
	document.Routes["confirm"] = routeConfig{Host: "pairs.example", PathPrefix: "/confirm/", Kind: "unsafe", Timeout: "2000ms", TargetLatency: "600ms", Service: "pairing", Priority: 1, MaxAttempts: 2}
	const patience = 60 * time.Second
	if err := c.replace(patience, 0, document); err != nil {
		return fmt.Errorf("%w: Acks: all five core machines run and reach each other, and the first configuration has no acknowledgement after %s: %v", errBroken, patience, err)
	}
	a, _ := c.send(c.sidecars[0], call{method: "POST", host: "pairs.example", path: "/confirm/7", id: "r1", deadline: 4 * time.Second})
	record.printf("after the acknowledgement a request gets %d", a.status)
	return nil
}
