package route

import (
	"math"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// RecordLifetime is the minimum time for which the record of a key is kept after
// its call ended. Callers may resend a key within it.
const RecordLifetime = 2 * time.Minute

const (
	// maxRecords is the number of records from which a proxy accepts no new key,
	// because records must not be evicted before their lifetime ends. It does
	// not limit the records of other proxies' claims or imported records.
	maxRecords = 200_000
	// maxResponseBytes bounds the total size of the stored responses. Beyond it
	// a response is dropped and its record only says that the call ran. Imported
	// responses count toward it and are not limited by it.
	maxResponseBytes = 32 << 20
)

// RecordState is the state of a call with an idempotency key.
type RecordState int

// The states of a record.
const (
	// RecordClaiming means that this proxy is asking the other holders whether
	// it may run the call.
	RecordClaiming RecordState = iota
	// RecordRunning means that the call is being sent to the target or runs
	// there.
	RecordRunning
	// RecordFinished means that the target responded.
	RecordFinished
	// RecordUnknown means that the call may have run and its response is lost.
	RecordUnknown
	// RecordHeld means that another proxy claimed the call.
	RecordHeld
)

// RecordID identifies a call that runs at most once.
type RecordID struct {
	Route, Key string
}

// StoredResponse is a target's response that is stored for resends.
type StoredResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Record is a proxy's record of the call with a key.
type Record struct {
	State RecordState
	// Fingerprint is the hash of the call's content.
	Fingerprint uint64
	// Holder is the target whose proxy claimed the call. It is empty unless the
	// state is RecordHeld.
	Holder string
	// First is the time at which the record was created, Since the time of its
	// last change.
	First, Since time.Time
	// Response is nil unless the state is RecordFinished, and nil for a
	// response that was not stored.
	Response *StoredResponse
	// Ended is closed once the claim or the call has ended, also when the record
	// has been removed or replaced by that of another proxy's claim. It is nil
	// for a held record.
	Ended chan struct{}
}

// Records holds the records of one proxy. It is not safe for concurrent use.
type Records struct {
	records map[RecordID]*Record
	// queue holds the ids in the order of their next expiry check.
	queue         []expiry
	responseBytes int
	// bytes is the memory of the records without their responses. maxBytes bounds it, and
	// maxResponses the bytes of the responses.
	bytes, maxBytes int64
	maxResponses    int
}

type expiry struct {
	id RecordID
	at time.Time
}

// NewRecords returns empty Records whose memory only the number of records and
// maxResponseBytes bound.
func NewRecords() *Records {
	return &Records{records: make(map[RecordID]*Record), maxBytes: math.MaxInt64, maxResponses: maxResponseBytes}
}

// NewBoundedRecords returns empty Records that take at most the given memory, a third of
// it for responses.
func NewBoundedRecords(maxBytes int64) *Records {
	r := NewRecords()
	r.maxResponses = int(min(maxBytes/3, maxResponseBytes))
	r.maxBytes = maxBytes - int64(r.maxResponses)
	return r
}

// recordBytes is the memory of a record without its id and its response.
const recordBytes = 400

func (id RecordID) bytes(record *Record) int64 {
	return recordBytes + int64(len(id.Route)+len(id.Key)+len(record.Holder))
}

// Bytes returns the memory of the records and the stored responses.
func (r *Records) Bytes() int64 { return r.bytes + int64(r.responseBytes) }

// Get returns the record of the id, or nil if there is none.
func (r *Records) Get(now time.Time, id RecordID) *Record {
	r.expire(now)
	return r.records[id]
}

// IsFull reports whether no new key can be accepted.
func (r *Records) IsFull() bool { return len(r.records) >= maxRecords || r.bytes >= r.maxBytes }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.records) }

// Claim creates the record of a claim. There must be no record of the id except
// that of another proxy's claim. In that case Claim.Decide must rule out that the
// other proxy ran the call.
func (r *Records) Claim(now time.Time, id RecordID, fingerprint uint64) *Record {
	if existing := r.records[id]; existing != nil && existing.State != RecordHeld {
		hornbeamwell.ReportViolation("at_most_once", "key %q of route %q is claimed in state %d", id.Key, id.Route, existing.State)
	}
	record := &Record{State: RecordClaiming, Fingerprint: fingerprint, First: now, Since: now, Ended: make(chan struct{})}
	r.put(now, id, record)
	return record
}

// Hold records the claim of another proxy. It returns the record of the id: the
// held claim of that proxy if it was accepted, otherwise the conflicting
// record. Existed is true if there already was a record of the id.
func (r *Records) Hold(now time.Time, id RecordID, holder string) (record *Record, existed bool) {
	r.expire(now)
	existing := r.records[id]
	if existing == nil {
		record = &Record{State: RecordHeld, Holder: holder, First: now, Since: now}
		r.put(now, id, record)
		return record, false
	}
	if existing.State == RecordHeld && existing.Holder == holder {
		existing.Since = now
	}
	return existing, true
}

// Redirect ends a claim of this proxy because another proxy has a record of the
// call. It records that proxy as the holder.
func (r *Records) Redirect(now time.Time, id RecordID, record *Record, holder string) {
	r.put(now, id, &Record{State: RecordHeld, Holder: holder, First: now, Since: now})
	close(record.Ended)
}

// Start records that a claimed call is sent to the target.
func (r *Records) Start(now time.Time, record *Record) {
	if record.State != RecordClaiming {
		hornbeamwell.ReportViolation("at_most_once", "a call runs in state %d", record.State)
	}
	record.State = RecordRunning
	record.Since = now
}

// Finish records the target's response, nil if it is not stored.
func (r *Records) Finish(now time.Time, record *Record, response *StoredResponse) {
	record.State = RecordFinished
	record.Since = now
	if response != nil && r.responseBytes+len(response.Body) <= r.maxResponses {
		record.Response = response
		r.responseBytes += len(response.Body)
	}
	close(record.Ended)
}

// MarkUnknown ends a call that may have run.
func (r *Records) MarkUnknown(now time.Time, record *Record) {
	record.State = RecordUnknown
	record.Since = now
	close(record.Ended)
}

// Remove removes a claim or a call that provably did not run. A resend may run.
func (r *Records) Remove(id RecordID, record *Record) {
	if r.records[id] == record {
		r.remove(id, record)
	}
	close(record.Ended)
}

func (r *Records) remove(id RecordID, record *Record) {
	r.bytes -= id.bytes(record)
	delete(r.records, id)
}

func (r *Records) put(now time.Time, id RecordID, record *Record) {
	if replaced := r.records[id]; replaced != nil {
		r.bytes -= id.bytes(replaced)
	}
	r.bytes += id.bytes(record)
	r.records[id] = record
	r.queue = append(r.queue, expiry{id: id, at: now.Add(RecordLifetime)})
}

// expire removes the records whose expiry check is due and that ended at least a
// lifetime ago.
func (r *Records) expire(now time.Time) {
	done := 0
	for done < len(r.queue) && !r.queue[done].at.After(now) {
		r.expireOne(now, r.queue[done].id)
		done++
	}
	if done > 0 {
		r.queue = append(r.queue[:0:0], r.queue[done:]...)
	}
}

func (r *Records) expireOne(now time.Time, id RecordID) {
	record := r.records[id]
	if record == nil {
		return
	}
	isOpen := record.State == RecordClaiming || record.State == RecordRunning
	if isOpen || now.Sub(record.Since) < RecordLifetime {
		r.queue = append(r.queue, expiry{id: id, at: now.Add(RecordLifetime)})
		return
	}
	if record.Response != nil {
		r.responseBytes -= len(record.Response.Body)
	}
	r.remove(id, record)
}
