package proxy

import (
	"sync"
	"time"
)

// departureRetention is the time for which a proxy remembers that a target is leaving.
// It exceeds the time for which sources may still list an older state of the target.
const departureRetention = 10 * time.Minute

// departures remembers which targets stated that they are about to stop, also while
// they are missing from the list of targets. It is safe for concurrent use.
type departures struct {
	mu sync.Mutex
	// leaving holds the highest leaving incarnation of each target by id.
	leaving map[string]departure
}

type departure struct {
	incarnation uint64
	at          time.Time
}

// add records that an incarnation of the target is leaving.
func (d *departures) add(now time.Time, id string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving == nil {
		d.leaving = make(map[string]departure)
	}
	if known := d.leaving[id]; incarnation >= known.incarnation {
		d.leaving[id] = departure{incarnation: incarnation, at: now}
	}
}

// get returns the highest leaving incarnation of the target, 0 if none is known.
func (d *departures) get(id string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving[id].incarnation
}

// expire removes the targets that stated so departureRetention ago.
func (d *departures) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, known := range d.leaving {
		if now.Sub(known.at) >= departureRetention {
			delete(d.leaving, id)
		}
	}
}
