package catalog

import (
	"maps"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// DepartureRetention is the time for which a departure is kept. Delayed announcements
	// arrive within a shorter time.
	DepartureRetention = 5 * time.Minute
	// maxDepartures bounds the number of departures, of which there is at most one per
	// proxy. The oldest makes room for a new one.
	maxDepartures = 10_000
)

// Departures returns the departures by target ID, and the number of changes of them in this
// process. The map must not be modified; a change replaces it.
func (c *Catalog) Departures() (map[string]hornbeamwell.Departure, uint64) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.departures, c.departuresVersion
}

// recordDepartures records targets that drain or are gone, and forgets departures that are
// older than DepartureRetention. It does not change the configuration or its version.
func (c *Catalog) recordDepartures(command Command) {
	next := maps.Clone(c.departures)
	if next == nil {
		next = map[string]hornbeamwell.Departure{}
	}
	for id, d := range next {
		if command.At.Sub(d.RecordedAt) >= DepartureRetention {
			delete(next, id)
		}
	}
	for _, t := range command.Departed {
		known, found := next[t.ID]
		if t.State == hornbeamwell.TargetReady || found && !t.IsNewer(&known.Target) {
			continue
		}
		if !found && len(next) >= maxDepartures {
			delete(next, oldestDeparture(next))
		}
		next[t.ID] = hornbeamwell.Departure{Target: t, RecordedAt: command.At}
	}
	c.departures = next
	c.departuresVersion++
}

// oldestDeparture returns the ID of the departure that was recorded first, on each replica the
// same.
func oldestDeparture(departures map[string]hornbeamwell.Departure) string {
	oldest := ""
	for id, d := range departures {
		known := departures[oldest]
		isOlder := d.RecordedAt.Before(known.RecordedAt) || d.RecordedAt.Equal(known.RecordedAt) && id < oldest
		if oldest == "" || isOlder {
			oldest = id
		}
	}
	return oldest
}
