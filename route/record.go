package route

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// RecordLifetime is the time for which the record of a key is kept after its
// call ended. A caller may resend a key within it.
const RecordLifetime = 2 * time.Minute

const (
	// maxRecords bounds the records of a proxy. With so many it takes no new
	// key, because it may not forget an old one before its time.
	maxRecords = 200_000
	// maxAnswerBytes bounds the bytes of all kept answers. Beyond it an
	// answer is dropped and its record says that the call ran.
	maxAnswerBytes = 32 << 20
)

// RecordState says what is known of the call with a key.
type RecordState int

// The states of a record.
const (
	// RecordClaiming means that this proxy asks whether it may run the call.
	RecordClaiming RecordState = iota
	// RecordRunning means that the call was sent to the target.
	RecordRunning
	// RecordFinished means that the target answered.
	RecordFinished
	// RecordUnknown means that the call may have run and its answer is lost.
	RecordUnknown
	// RecordHeld means that another proxy claimed the call.
	RecordHeld
)

// RecordID names a call that runs at most once.
type RecordID struct {
	Route, Key string
}

// StoredResponse is a target's answer that resends are given.
type StoredResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Record is what a proxy knows of the call with a key.
type Record struct {
	State RecordState
	// Fingerprint tells the content of the call.
	Fingerprint uint64
	// Holder is the target whose proxy claimed the call, empty unless held.
	Holder string
	// First is the time at which the record was made, Since that of the last
	// change.
	First, Since time.Time
	// Response is nil unless finished, and nil for an answer that was not kept.
	Response *StoredResponse
	// Ended is closed when the state is neither claiming nor running any more.
	// It is nil for a held record.
	Ended chan struct{}
}

// Records keeps the records of one proxy. It is not safe for use by several
// goroutines at once.
type Records struct {
	records map[RecordID]*Record
	// queue holds the ids in the order in which they are looked at for expiry.
	queue       []expiry
	answerBytes int
}

type expiry struct {
	id RecordID
	at time.Time
}

// NewRecords returns records without a key.
func NewRecords() *Records {
	return &Records{records: make(map[RecordID]*Record)}
}

// Get returns the record of the id, nil if there is none.
func (r *Records) Get(now time.Time, id RecordID) *Record {
	r.expire(now)
	return r.records[id]
}

// IsFull reports whether no new key may be taken.
func (r *Records) IsFull() bool { return len(r.records) >= maxRecords }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.records) }

// Claim begins a claim. There is no record of the id, or another proxy holds
// it and is known not to have run it.
func (r *Records) Claim(now time.Time, id RecordID, fingerprint uint64) *Record {
	if existing := r.records[id]; existing != nil && existing.State != RecordHeld {
		hornbeamwell.ReportViolation("at_most_once", "key %q of route %q is claimed in state %d", id.Key, id.Route, existing.State)
	}
	record := &Record{State: RecordClaiming, Fingerprint: fingerprint, First: now, Since: now, Ended: make(chan struct{})}
	r.put(now, id, record)
	return record
}

// Hold takes another proxy's claim. It returns the record of the id: a held
// one of that proxy if the claim is held, else the one that stands against it.
// It returns true for again where there was a record before.
func (r *Records) Hold(now time.Time, id RecordID, holder string) (record *Record, again bool) {
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

// Redirect ends a claim that another proxy turned out to have made before.
func (r *Records) Redirect(now time.Time, id RecordID, record *Record, holder string) {
	r.put(now, id, &Record{State: RecordHeld, Holder: holder, First: now, Since: now})
	close(record.Ended)
}

// Start takes a claim to the target.
func (r *Records) Start(now time.Time, record *Record) {
	if record.State != RecordClaiming {
		hornbeamwell.ReportViolation("at_most_once", "a call runs in state %d", record.State)
	}
	record.State = RecordRunning
	record.Since = now
}

// Finish ends a call with the target's answer, nil if it is not kept.
func (r *Records) Finish(now time.Time, record *Record, kept *StoredResponse) {
	record.State = RecordFinished
	record.Since = now
	if kept != nil && r.answerBytes+len(kept.Body) <= maxAnswerBytes {
		record.Response = kept
		r.answerBytes += len(kept.Body)
	}
	close(record.Ended)
}

// MarkUnknown ends a call that may have run.
func (r *Records) MarkUnknown(now time.Time, record *Record) {
	record.State = RecordUnknown
	record.Since = now
	close(record.Ended)
}

// Remove ends a claim or a call that provably did not run. A resend may run.
func (r *Records) Remove(id RecordID, record *Record) {
	if r.records[id] == record {
		delete(r.records, id)
	}
	close(record.Ended)
}

func (r *Records) put(now time.Time, id RecordID, record *Record) {
	r.records[id] = record
	r.queue = append(r.queue, expiry{id: id, at: now.Add(RecordLifetime)})
}

// expire drops the records that ended a lifetime ago.
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
		r.answerBytes -= len(record.Response.Body)
	}
	delete(r.records, id)
}
