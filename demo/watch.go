package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// watchPeriod is the time between two looks at the proxies.
const watchPeriod = 100 * time.Millisecond

// watch looks at the proxies all the time and finds versions that go back. A
// new leader knows of a proxy only what it heard itself, so the versions of one
// leader are compared. A process that starts anew has no configuration in force
// until it gets one, so the versions of one process are compared.
type watch struct {
	client *console.Client

	mu   sync.Mutex
	term uint64
	// inForce holds the highest version that the leader of the term said of
	// the running process of each proxy.
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
		before, err := w.currentTerm(ctx)
		if err != nil {
			continue
		}
		resp, err := ask(ctx, w.client, schema.OperatorServiceClient.ListProxies, &schema.ListProxiesRequest{})
		if err != nil {
			continue
		}
		if after, err := w.currentTerm(ctx); err == nil && after == before {
			w.look(after, resp.GetProxies())
		}
	}
}

func (w *watch) currentTerm(ctx context.Context) (uint64, error) {
	resp, err := ask(ctx, w.client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
	if err != nil {
		return 0, err
	}
	return resp.GetTerm(), nil
}

func ask[Req, Resp any](ctx context.Context, client *console.Client, method console.Method[Req, Resp], req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return console.Call(ctx, client, method, req)
}

func (w *watch) look(term uint64, proxies []*schema.Proxy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if term != w.term {
		w.term = term
		clear(w.inForce)
	}
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

// restarts notes that the proxy, which has been away for so long that no list
// shows its former process, is about to start again.
func (w *watch) restarts(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inForce, id)
}

// returned names the proxies that were seen to go back, and the number of looks.
func (w *watch) returned() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Compact(slices.Clone(w.goneBack)), w.looks
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
