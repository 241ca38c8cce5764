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

// watchInterval is the time between two polls of the proxies.
const watchInterval = 100 * time.Millisecond

// versionWatcher polls the versions that are in force on the proxies and records
// each proxy that returns to an older one. It compares only versions that the
// same leader reported, because a new leader starts with no record of the
// proxies, and only versions of the same process, because a restarted process
// has no configuration in force until it receives one.
type versionWatcher struct {
	client *console.Client

	mu   sync.Mutex
	term uint64
	// inForce holds, by proxy id, the highest version that the leader of the
	// term reported of the running process.
	inForce     map[string]uint64
	polls       int
	regressions []string
}

func newVersionWatcher(client *console.Client) *versionWatcher {
	return &versionWatcher{client: client, inForce: map[string]uint64{}}
}

// run polls until the context ends. A poll during which the term changes is
// discarded.
func (w *versionWatcher) run(ctx context.Context) {
	for sleep(ctx, watchInterval) {
		before, err := w.currentTerm(ctx)
		if err != nil {
			continue
		}
		resp, err := query(ctx, w.client, schema.OperatorServiceClient.ListProxies, &schema.ListProxiesRequest{})
		if err != nil {
			continue
		}
		if after, err := w.currentTerm(ctx); err == nil && after == before {
			w.record(after, resp.GetProxies())
		}
	}
}

func (w *versionWatcher) currentTerm(ctx context.Context) (uint64, error) {
	resp, err := query(ctx, w.client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
	if err != nil {
		return 0, err
	}
	return resp.GetTerm(), nil
}

func query[Req, Resp any](ctx context.Context, client *console.Client, method console.Method[Req, Resp], req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return console.Call(ctx, client, method, req)
}

func (w *versionWatcher) record(term uint64, proxies []*schema.Proxy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if term != w.term {
		w.term = term
		clear(w.inForce)
	}
	for _, p := range proxies {
		if p.GetSilent() {
			// The version in force on a silent proxy is unknown.
			continue
		}
		if p.GetInForce() < w.inForce[p.GetId()] {
			w.regressions = append(w.regressions, fmt.Sprintf("%s from %d to %d", p.GetId(), w.inForce[p.GetId()], p.GetInForce()))
		}
		w.inForce[p.GetId()] = max(w.inForce[p.GetId()], p.GetInForce())
	}
}

// resetProxy removes the recorded version of a proxy that is about to restart.
// The proxy must have been down for so long that the leader no longer lists its
// former process.
func (w *versionWatcher) resetProxy(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inForce, id)
}

// summary returns a description of each return to an older version, and the number
// of polls.
func (w *versionWatcher) summary() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Compact(slices.Clone(w.regressions)), w.polls
}

// sleep waits for the duration. It reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
