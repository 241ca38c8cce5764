package proxy

import (
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// keyStore holds the exit side's records of calls with an idempotency key.
type keyStore struct {
	mu sync.Mutex
	// recordsSince is the time since which the records are complete.
	recordsSince time.Time
	// historySince is the time since which the history counts as complete.
	historySince time.Time
	records      *route.Records
	// connections is the budget from which the records draw, set before init. It may be nil.
	// drawn is what they have drawn.
	connections *connection.Table
	drawn       int64
	history     *route.History
	// service is the service that the history describes.
	service string
	targets []hornbeamwell.Target
	// handovers holds the records of proxies that stopped, by target id.
	handovers map[string]handover
	// handoverRequested is true once the records of the previous process have
	// been requested.
	handoverRequested bool
	// closed is true from the start of the handover of the records. Then new
	// keys and claims of other proxies are refused.
	closed bool
}

// recordShare is the fraction of the memory for clients that the records may take.
const recordShare = 0.25

func (k *keyStore) init(since time.Time) {
	k.recordsSince, k.historySince = since, since
	k.records = route.NewRecords()
	if share := k.connections.MemoryShare(recordShare, 0); share > 0 {
		k.records = route.NewBoundedRecords(share)
	}
	k.history = route.NewHistory()
	k.handovers = make(map[string]handover)
}

// observe records the shares and the targets in force. Only those of the local
// target's service matter.
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

// shouldFetchHandover returns true once, when the records of the previous
// process are to be requested.
func (k *keyStore) shouldFetchHandover(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handoverRequested || k.service == "" || k.recordsAge(now) >= route.RecordLifetime {
		return false
	}
	k.handoverRequested = true
	return true
}

// isHistoryPartial reports whether the history may lack targets that have left.
func (k *keyStore) isHistoryPartial(now time.Time) bool {
	return now.Sub(k.historySince) < route.RecordLifetime
}

// recordsAge returns the time for which the records are complete.
func (k *keyStore) recordsAge(now time.Time) time.Duration { return now.Sub(k.recordsSince) }

// claimedRecord is a record that this proxy claims, with the proxies that are
// asked to hold the claim.
type claimedRecord struct {
	route.Holders
	record *route.Record
	// previousHolder is the target whose proxy claimed the key before, empty if
	// this proxy has no record of such a claim. previousClaimAt is the time at
	// which this proxy recorded the claim.
	previousHolder  string
	previousClaimAt time.Time
}

// findOrClaim returns the record of the id, or a new claim if there is no
// record other than another proxy's claim. Both are nil if no new key is
// accepted.
func (k *keyStore) findOrClaim(now time.Time, id route.RecordID, fingerprint uint64, self string, acceptsNew bool) (*route.Record, *claimedRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	existing := k.records.Get(now, id)
	if existing != nil && existing.State != route.RecordHeld {
		return existing, nil
	}
	if _, known := k.history.Target(self); !acceptsNew || k.closed || !known || k.records.IsFull() {
		return nil, nil
	}
	c := &claimedRecord{}
	if existing != nil {
		c.previousHolder = existing.Holder
		c.previousClaimAt = existing.First
	}
	c.Holders = k.history.Holders(now, id.Key, self)
	if c.previousHolder != "" && !containsTarget(c.Peers, c.previousHolder) {
		if t, known := k.history.Target(c.previousHolder); known {
			c.Peers = append(c.Peers, t)
		}
	}
	c.record = k.records.Claim(now, id, fingerprint)
	k.draw()
	return nil, c
}

// draw draws what the records take from the budget. The caller holds the mutex.
func (k *keyStore) draw() {
	bytes := k.records.Bytes()
	k.connections.Hold(bytes - k.drawn)
	k.drawn = bytes
}

// hold records the claim of another proxy. It returns false if there is no room for its record.
func (k *keyStore) hold(now time.Time, id route.RecordID, claimant string) (record route.Record, existed, isRoom bool) {
	if k.records.Get(now, id) == nil && k.records.IsFull() {
		return route.Record{}, false, false
	}
	found, existed := k.records.Hold(now, id, claimant)
	k.draw()
	return *found, existed, true
}

func containsTarget(targets []hornbeamwell.Target, id string) bool {
	for _, t := range targets {
		if t.ID == id {
			return true
		}
	}
	return false
}

// update changes the records under the mutex.
func (k *keyStore) update(change func(r *route.Records)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.records)
	k.draw()
}

// snapshot returns a copy of the record.
func (k *keyStore) snapshot(record *route.Record) route.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return *record
}
