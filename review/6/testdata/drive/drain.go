package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["drain"] = drainScenario }

// post sends a message of the upstream to its node, and returns the status, 0 for none.
func (u *upstream) post(path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	m := u.machine
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/instances/%s/%s", m.ip, m.cluster.ports.control, u.id, path), strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := platformClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// beatBody is the body of the next heartbeat.
func (u *upstream) beatBody() string {
	m := u.machine
	return fmt.Sprintf(`{"Address":"%s:%d","Info":{"Service":%q,"Version":%q,"Zone":%q,"Slots":%d},"Status":{"State":%q,"Seq":%d,"ColdRemaining":"0ms"},"born":%d}`,
		m.ip, m.cluster.ports.app, m.service, u.version, m.zone, slots, u.state.Load(), u.seq.Add(1), u.born)
}

// drainScenario takes an upstream away that deregisters first, and kills the control processes
// and the process beside the upstream right after the acknowledgement. A heartbeat of the upstream
// from before arrives late.
func drainScenario(record *recorder, program string, trouble bool) error {
	c, err := newCluster(record, program, 5, []string{"profiles", "pairing", "pairing", "pairing", "profiles", "profiles"})
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return err
	}
	shared := &runs{}
	var upstreams []*upstream
	for i, m := range c.sidecars {
		u, err := startUpstream(m, shared, fmt.Sprintf("i-%d", i+1), 20*time.Millisecond)
		if err != nil {
			return err
		}
		upstreams = append(upstreams, u)
	}
	document := newConfig(3, "profiles", "pairing")
	document.Routes["confirm"] = routeConfig{Host: "pairs.example", PathPrefix: "/confirm/", Kind: "unsafe", Timeout: "2000ms", TargetLatency: "600ms", Service: "pairing", Priority: 1, MaxAttempts: 2}
	if err := c.replace(20*time.Second, 0, document); err != nil {
		return err
	}
	entry, leaving := c.sidecars[0], upstreams[3]
	var mu sync.Mutex
	count := 0
	sentAt := map[string]time.Time{}
	ask := func() answer {
		mu.Lock()
		count++
		id := fmt.Sprintf("r%08d", count)
		sentAt[id] = time.Now()
		mu.Unlock()
		a, _ := c.send(entry, call{method: "POST", host: "pairs.example", path: "/confirm/7", id: id, deadline: 4 * time.Second})
		return a
	}
	if !await(20*time.Second, func() bool { return ask().status == 200 && entry.isReady() }) {
		return fmt.Errorf("the deployment serves nothing")
	}
	time.Sleep(4 * time.Second)
	// The heartbeat that arrives late.
	late := leaving.beatBody()
	leaving.stop()
	time.Sleep(50 * time.Millisecond)
	acknowledged := time.Time{}
	if !await(5*time.Second, func() bool { return leaving.post("deregister", "") == 200 }) {
		return fmt.Errorf("no acknowledgement of the deregistration")
	}
	acknowledged = time.Now()
	record.printf("ack     deregister of %s", leaving.id)
	killed := append([]*machine{leaving.machine}, c.cores...)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		for _, m := range killed {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range killed {
			m.wait()
		}
		time.Sleep(700 * time.Millisecond)
		for _, m := range killed {
			if err := m.start(false); err != nil {
				return err
			}
		}
		if !await(5*time.Second, func() bool { return leaving.post("heartbeat", late) != 0 }) {
			return fmt.Errorf("the node beside the upstream is not back")
		}
	} else {
		time.Sleep(2 * time.Second)
		leaving.post("heartbeat", late)
	}
	record.printf("late    heartbeat of %s from before its deregistration: %s", leaving.id, late)
	// Everything is in touch 3 s later.
	time.Sleep(4 * time.Second)
	inTouch := time.Now()
	for time.Since(inTouch) < 5*time.Second {
		ask()
		time.Sleep(100 * time.Millisecond)
	}
	broken := 0
	shared.mu.Lock()
	for _, entries := range shared.byID {
		for _, r := range entries {
			if r.target == leaving.id && r.at.After(acknowledged.Add(2*time.Second)) && r.at.After(inTouch) {
				broken++
			}
		}
	}
	shared.mu.Unlock()
	record.printf("%d requests reached %s later than Drain after the acknowledgement", broken, leaving.id)
	if broken > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached %s over %s after its deregistration was acknowledged", errBroken, broken, leaving.id, inTouch.Sub(acknowledged).Round(time.Millisecond))
	}
	return nil
}
