package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// watchPeriod is the time between two looks at the proxies.
const watchPeriod = 100 * time.Millisecond

// watch looks at the proxies all the time and finds versions that go back.
type watch struct {
	client *console.Client

	mu sync.Mutex
	// inForce holds the highest version seen on each proxy.
	inForce  map[string]uint64
	looks    int
	goneBack []string
}

func newWatch(client *console.Client) *watch {
	return &watch{client: client, inForce: map[string]uint64{}}
}

// run looks until the context ends.
func (w *watch) run(ctx context.Context) {
	for sleep(ctx, watchPeriod) {
		asked, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := console.Call(asked, w.client, schema.OperatorServiceClient.ListProxies, &schema.ListProxiesRequest{})
		cancel()
		if err == nil {
			w.look(resp.GetProxies())
		}
	}
}

func (w *watch) look(proxies []*schema.Proxy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	for _, p := range proxies {
		if p.GetSilent() {
			// Nobody knows what a silent proxy has in force.
			continue
		}
		if p.GetInForce() < w.inForce[p.GetId()] {
			w.goneBack = append(w.goneBack, fmt.Sprintf("%s from %d to %d", p.GetId(), w.inForce[p.GetId()], p.GetInForce()))
		}
		w.inForce[p.GetId()] = max(w.inForce[p.GetId()], p.GetInForce())
	}
}

// returned names the proxies that were seen to go back.
func (w *watch) returned() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.goneBack...)
}

// sleep waits and reports whether the context goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
