package proxy

import (
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// keyStore is what the exit side knows of calls with an idempotency key.
type keyStore struct {
	mu           sync.Mutex
	recordsSince time.Time
	// historySince is the time from which on the history is complete.
	historySince time.Time
	records      *route.Records
	history      *route.History
	// service is the one that the history is about.
	service string
	targets []hornbeamwell.Target
	// handovers holds the records of proxies that stopped, by their target.
	handovers map[string]handover
	// handoverRequested is true once the records of the process before were asked for.
	handoverRequested bool
	// closed is true once the records were handed over.
	closed bool
}

func (k *keyStore) init(since time.Time) {
	k.recordsSince, k.historySince = since, since
	k.records = route.NewRecords()
	k.history = route.NewHistory()
	k.handovers = make(map[string]handover)
}

// observe takes the shares and the targets that are in force. Only those of
// the local target's service matter.
func (k *keyStore) observe(now time.Time, table *table, local *localTarget, targets []hornbeamwell.Target) {
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

// shouldFetchHandover reports once that the records of the process before are to be asked
// for.
func (k *keyStore) shouldFetchHandover(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handoverRequested || k.service == "" || k.recordsAge(now) >= route.RecordLifetime {
		return false
	}
	k.handoverRequested = true
	return true
}

// isHistoryPartial reports whether targets may have left that the history does not
// know.
func (k *keyStore) isHistoryPartial(now time.Time) bool {
	return now.Sub(k.historySince) < route.RecordLifetime
}

// recordsAge returns the age of the records.
func (k *keyStore) recordsAge(now time.Time) time.Duration { return now.Sub(k.recordsSince) }

// claimedRecord is a record that this proxy claims, with whom to ask about it.
type claimedRecord struct {
	route.Holders
	record *route.Record
	// previousHolder is the target whose proxy claimed the key before, empty if none
	// did, heldAt the time of that.
	previousHolder string
	previousHeldAt time.Time
}

// findOrClaim returns the record of the id, or a new claim where there is none but
// another proxy's. Both are nil where the caller or the records take no new
// key.
func (k *keyStore) findOrClaim(now time.Time, id route.RecordID, fingerprint uint64, self string, takesNew bool) (*route.Record, *claimedRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	existing := k.records.Get(now, id)
	if existing != nil && existing.State != route.RecordHeld {
		return existing, nil
	}
	if _, known := k.history.Target(self); !takesNew || k.closed || !known || k.records.IsFull() {
		return nil, nil
	}
	c := &claimedRecord{}
	if existing != nil {
		c.previousHolder = existing.Holder
		c.previousHeldAt = existing.First
	}
	c.Holders = k.history.Holders(now, id.Key, self)
	if c.previousHolder != "" && !containsTarget(c.Peers, c.previousHolder) {
		if t, known := k.history.Target(c.previousHolder); known {
			c.Peers = append(c.Peers, t)
		}
	}
	c.record = k.records.Claim(now, id, fingerprint)
	return nil, c
}

func containsTarget(targets []hornbeamwell.Target, id string) bool {
	for _, t := range targets {
		if t.ID == id {
			return true
		}
	}
	return false
}

// update runs a change of the records under their mutex.
func (k *keyStore) update(change func(r *route.Records)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.records)
}

// snapshot returns a copy of the record.
func (k *keyStore) snapshot(record *route.Record) route.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return *record
}
