package standin

import (
	"maps"
	"strings"
	"sync"
)

// maxRuns bounds the distinct requests that Runs counts.
const maxRuns = 1 << 20

// Runs counts how often each request ran. It is safe for concurrent use.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
	// dropped counts the runs beyond maxRuns, which are not in counts.
	dropped uint64
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{counts: map[string]int{}} }

// Add counts one run of a request. An empty id is not counted.
func (r *Runs) Add(id string) {
	if id == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.counts[id]; !known && len(r.counts) >= maxRuns {
		r.dropped++
		return
	}
	r.counts[id]++
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
