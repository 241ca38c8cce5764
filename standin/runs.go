package standin

import (
	"maps"
	"strings"
	"sync"
	"time"
)

// maxRuns bounds the distinct requests that Runs counts.
const maxRuns = 1 << 20

// Runs counts how often each request ran. It is safe for concurrent use.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
	// running counts the runs of each request whose response has no body yet, endedAt holds
	// when the last of them ended.
	running map[string]int
	endedAt map[string]time.Time
	// dropped counts the runs beyond maxRuns, which are not in counts.
	dropped uint64
}

// NewRuns returns an empty count.
func NewRuns() *Runs {
	return &Runs{counts: map[string]int{}, running: map[string]int{}, endedAt: map[string]time.Time{}}
}

// Begin counts one run of a request. An empty id is not counted. The returned function
// records that the target gives the body of its response, or ends the run without one.
func (r *Runs) Begin(id string) (end func()) {
	if id == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.counts[id]; !known && len(r.counts) >= maxRuns {
		r.dropped++
		return func() {}
	}
	r.counts[id]++
	r.running[id]++
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[id]--; r.running[id] == 0 {
			delete(r.running, id)
		}
		r.endedAt[id] = time.Now()
	})
}

// WasAtWork reports whether a target was at work on the request at the given time or later.
func (r *Runs) WasAtWork(id string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[id] > 0 || !r.endedAt[id].Before(since)
}

// WithPrefix returns the counts of the requests whose id has the prefix.
func (r *Runs) WithPrefix(prefix string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := maps.Clone(r.counts)
	maps.DeleteFunc(found, func(id string, _ int) bool { return !strings.HasPrefix(id, prefix) })
	return found
}

// Dropped returns the number of runs that were not counted because there were
// more than maxRuns distinct requests.
func (r *Runs) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
