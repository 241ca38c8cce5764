package proxy

import (
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// keys is what the exit side knows of calls with an idempotency key.
type keys struct {
	mu    sync.Mutex
	since time.Time
	// started is the time from which on the history is complete.
	started time.Time
	records *route.Records
	history *route.History
	// service is the one that the history is about.
	service string
	targets []hornbeamwell.Target
	// handovers holds the records of proxies that stopped, by their target.
	handovers map[string]handover
	// asked is true once the records of the process before were asked for.
	asked bool
	// closed is true once the records were handed over.
	closed bool
}

func (k *keys) init(since time.Time) {
	k.since, k.started = since, since
	k.records = route.NewRecords()
	k.history = route.NewHistory()
	k.handovers = make(map[string]handover)
}

// observe takes the shares and the targets that are in force. Only those of
// the local target's service matter.
func (k *keys) observe(now time.Time, table *table, local *localTarget, targets []hornbeamwell.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets = targets
	if local == nil || table.services[local.Service] == nil {
		return
	}
	if k.service != local.Service {
		k.service = local.Service
		k.history = route.NewHistory()
	}
	k.history.Observe(now, table.services[local.Service].Service, targets)
}

// mustAsk reports once that the records of the process before are to be asked
// for.
func (k *keys) mustAsk(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asked || k.service == "" || k.memory(now) >= route.RecordLifetime {
		return false
	}
	k.asked = true
	return true
}

// isHistoryYoung reports whether targets may have left that the history does not
// know.
func (k *keys) isHistoryYoung(now time.Time) bool {
	return now.Sub(k.started) < route.RecordLifetime
}

// memory returns the age of the records.
func (k *keys) memory(now time.Time) time.Duration { return now.Sub(k.since) }

// claimed is a record that this proxy claims, with whom to ask about it.
type claimed struct {
	route.Holders
	record *route.Record
	// heldFor is the target whose proxy claimed the key before, empty if none
	// did, heldAt the time of that.
	heldFor string
	heldAt  time.Time
}

// find returns the record of the id, or a new claim where there is none but
// another proxy's. Both are nil where the caller or the records take no new
// key.
func (k *keys) find(now time.Time, id route.RecordID, fingerprint uint64, self string, takesNew bool) (*route.Record, *claimed) {
	k.mu.Lock()
	defer k.mu.Unlock()
	existing := k.records.Get(now, id)
	if existing != nil && existing.State != route.RecordHeld {
		return existing, nil
	}
	if _, known := k.history.Target(self); !takesNew || k.closed || !known || k.records.IsFull() {
		return nil, nil
	}
	c := &claimed{}
	if existing != nil {
		c.heldFor = existing.Holder
		c.heldAt = existing.First
	}
	c.Holders = k.history.Holders(now, id.Key, self)
	if c.heldFor != "" && !isListed(c.Peers, c.heldFor) {
		if t, known := k.history.Target(c.heldFor); known {
			c.Peers = append(c.Peers, t)
		}
	}
	c.record = k.records.Claim(now, id, fingerprint)
	return nil, c
}

func isListed(targets []hornbeamwell.Target, id string) bool {
	for _, t := range targets {
		if t.ID == id {
			return true
		}
	}
	return false
}

// with runs a change of the records under their mutex.
func (k *keys) with(change func(r *route.Records)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.records)
}

// state returns a copy of the record.
func (k *keys) state(record *route.Record) route.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return *record
}
