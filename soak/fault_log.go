package soak

import (
	"slices"
	"sync"
	"time"
)

// faultLog records which faults affected which processes, targets and links. It is safe
// for concurrent use.
type faultLog struct {
	mu     sync.Mutex
	faults []*fault
}

// fault is the time for which something had a fault.
type fault struct {
	name string
	// isStop is true for the graceful stop of a process or target.
	isStop bool
	from   time.Time
	// until is zero while the fault lasts.
	until time.Time
}

// begin records the start of a fault. The returned function records its end.
func (l *faultLog) begin(now time.Time, name string, isStop bool) (end func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &fault{name: name, isStop: isStop, from: now}
	l.faults = append(l.faults, f)
	return func(now time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		f.until = now
	}
}

// hadFault reports whether one of the names had a fault at any time between the two. Stops
// count only if withStops is true.
func (l *faultLog) hadFault(from, until time.Time, withStops bool, names ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.faults, func(f *fault) bool {
		return slices.Contains(names, f.name) && (withStops || !f.isStop) &&
			f.from.Before(until) && (f.until.IsZero() || f.until.After(from))
	})
}

func linkName(of string) string { return "link to " + of }

func targetName(t *Target) string { return "target of " + t.Proxy.ID }
