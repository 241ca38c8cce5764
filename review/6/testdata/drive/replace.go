package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { scenarios["replace"] = replaceScenario }

// version reads the configuration back and returns its version, 0 if it does not come.
func (c *cluster) version(within time.Duration, cores []*machine) int {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range cores {
			a, err := c.orderOnce(fmt.Sprintf("http://%s:%d/config/get", m.ip, c.ports.control), http.MethodGet, nil, nil)
			if err != nil || a.status != http.StatusOK {
				continue
			}
			var read struct{ Version int }
			if json.Unmarshal(a.body, &read) == nil {
				c.record.printf("read    configuration %d from %s", read.Version, m.name)
				return read.Version
			}
		}
	}
	c.record.printf("read    no configuration within %s", within)
	return 0
}

// replaceScenario replaces a core machine as planned, and takes the disks of two others right
// after the acknowledgement of a configuration.
func replaceScenario(record *recorder, program string, trouble bool) error {
	c, err := newCluster(record, program, 6, []string{"profiles", "pairing", "pairing"})
	if err != nil {
		return err
	}
	defer c.close()
	all := c.cores
	spare := all[5]
	c.cores = all[:5]
	if err := c.startAll(); err != nil {
		return err
	}
	c.cores = all
	document := newConfig(3, "profiles", "pairing")
	document.Routes["confirm"] = routeConfig{Host: "pairs.example", PathPrefix: "/confirm/", Kind: "unsafe", Timeout: "2000ms", TargetLatency: "600ms", Service: "pairing", Priority: 1, MaxAttempts: 2}
	if err := c.replace(20*time.Second, 0, document); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	// The replacement: the new machine first, and SIGTERM to the old one once the new one has
	// had CatchUp.
	if err := spare.start(false); err != nil {
		return err
	}
	time.Sleep(4500 * time.Millisecond)
	old := all[4]
	old.signal(syscall.SIGTERM)
	old.wait()
	record.printf("gone    %s, for good", old.name)
	// Longer than CatchUp once more.
	time.Sleep(4500 * time.Millisecond)
	left := []*machine{all[0], all[1], all[2], all[3], spare}
	c.cores = left
	second := document
	second.Version = 7
	if err := c.replace(10*time.Second, 3, second); err != nil {
		return err
	}
	lost := left[:2]
	if trouble {
		for _, m := range lost {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range lost {
			m.wait()
			m.wipe()
		}
		time.Sleep(time.Second)
		for _, m := range lost {
			if err := m.start(false); err != nil {
				return err
			}
		}
	}
	// Recovery is 15 s.
	time.Sleep(15 * time.Second)
	read := c.version(20*time.Second, left)
	third := document
	third.Version = 9
	if err := c.replace(8*time.Second, 7, third); err != nil {
		record.printf("order   configuration 9 on top of it: %v", err)
	}
	if read != 7 {
		return fmt.Errorf("%w: CONFIG: configuration 7 was acknowledged, two of the five core machines lost their disks, and 35 s after they are back the configuration read back is %d (0: none comes)", errBroken, read)
	}
	return nil
}
