package standin

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// unhealthyShare is the lowest failure share at which HealthActual reports
// failing.
const unhealthyShare = 0.5

// faults decides the delay and the failure of each call.
type faults struct {
	options Options
	started time.Time

	mu     sync.Mutex
	random *rand.Rand
}

// callBehavior is what faults chose for one call.
type callBehavior struct {
	delay time.Duration
	fails bool
	sheds bool
}

func newFaults(options Options, started time.Time) *faults {
	return &faults{
		options: options,
		started: started,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}
}

// plan returns the behavior of a call. running is the number of calls in
// flight, including this one.
func (f *faults) plan(now time.Time, path string, running int) callBehavior {
	if f.options.ShedAbove > 0 && running > f.options.ShedAbove {
		return callBehavior{sheds: true}
	}
	p := callBehavior{delay: f.options.Delay + f.jitter()}
	if now.Sub(f.started) < f.options.ColdStart {
		p.delay += f.options.ColdDelay
	}
	if now.Sub(f.started) < f.options.FaultsAfter || running <= f.options.FaultsAbove {
		return p
	}
	share := f.options.FailureShare
	if fault, found := f.pathFault(path); found {
		share = fault.FailureShare
		p.delay += fault.Delay
	}
	p.fails = f.chance(share)
	return p
}

func (f *faults) pathFault(path string) (PathFault, bool) {
	for _, fault := range f.options.Paths {
		if strings.HasPrefix(path, fault.Prefix) {
			return fault, true
		}
	}
	return PathFault{}, false
}

// isHealthy reports whether the target has warmed up and fails less than
// unhealthyShare of its calls.
func (f *faults) isHealthy(now time.Time) bool {
	age := now.Sub(f.started)
	return age >= f.options.ColdStart && (age < f.options.FaultsAfter || f.options.FailureShare < unhealthyShare)
}

func (f *faults) jitter() time.Duration {
	if f.options.Jitter <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(f.options.Jitter)))
}

func (f *faults) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}
