package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["tenants"] = tenantsScenario }

// tenantsScenario adds the first tenants to a deployment, while a sidecar is frozen.
func tenantsScenario(record *recorder, program string, trouble bool) error {
	c, err := newCluster(record, program, 5, []string{"profiles", "pairing", "pairing"})
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return err
	}
	shared := &runs{}
	for i, m := range c.sidecars {
		if _, err := startUpstream(m, shared, fmt.Sprintf("i-%d", i+1), 20*time.Millisecond); err != nil {
			return err
		}
	}
	before := newConfig(3, "profiles", "pairing")
	before.Routes["confirm"] = routeConfig{Host: "pairs.example", PathPrefix: "/confirm/", Kind: "unsafe", Timeout: "2000ms", TargetLatency: "600ms", Service: "pairing", Priority: 1, MaxAttempts: 2}
	if err := c.replace(20*time.Second, 0, before); err != nil {
		return err
	}
	entry := c.sidecars[0]
	var count atomic.Int64
	ask := func(header map[string]string) (answer, string) {
		id := fmt.Sprintf("r%08d", count.Add(1))
		a, _ := c.send(entry, call{method: "POST", host: "pairs.example", path: "/confirm/7", id: id, deadline: 4 * time.Second, header: header})
		return a, id
	}
	if !await(20*time.Second, func() bool { a, _ := ask(nil); return a.status == 200 && entry.isReady() }) {
		return fmt.Errorf("the deployment serves nothing")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		entry.signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
	}
	after := before
	after.Version = 7
	after.Tenants = map[string]tenantConfig{
		"school-a": {ApiKeys: []string{"key-of-a"}, Priority: 1},
		"school-b": {ApiKeys: []string{"key-of-b"}, Priority: 1},
	}
	if err := c.replace(10*time.Second, 3, after); err != nil {
		return err
	}
	// ConfigApply is over when the client sends.
	time.Sleep(2500 * time.Millisecond)
	// A client of school-a, and one that also names another school in the header that the
	// system sets.
	headers := []map[string]string{{"Credential": "key-of-a"}, {"Credential": "key-of-a", "Tenant": "school-b"}}
	ids := make(chan string, len(headers))
	for _, header := range headers {
		go func() {
			_, id := ask(header)
			ids <- id
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		entry.signal(syscall.SIGCONT)
	}
	var broken []string
	for range headers {
		id := <-ids
		for _, r := range shared.of(id) {
			if r.hasCredential || r.tenant != "school-a" {
				broken = append(broken, fmt.Sprintf("%s ran %s with Tenant=%q and Credential=%q", r.target, r.id, r.tenant, r.credential))
			}
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: UNASKED: clients with the key of school-a: %s", errBroken, strings.Join(broken, "; "))
	}
	return nil
}
