package route

import "time"

// Export returns a copy of the records for the next process beside the same
// target. Calls that have not ended are exported as unknown.
func (r *Records) Export(now time.Time) map[RecordID]Record {
	r.expire(now)
	copies := make(map[RecordID]Record, len(r.records))
	for id, record := range r.records {
		exported := *record
		exported.Ended = nil
		if exported.State == RecordClaiming || exported.State == RecordRunning {
			exported.State = RecordUnknown
		}
		copies[id] = exported
	}
	return copies
}

// Import adds the records that the previous process exported. An existing
// record takes precedence unless its state is RecordUnknown.
func (r *Records) Import(now time.Time, records map[RecordID]Record) {
	for id, record := range records {
		known := r.records[id]
		if known != nil && known.State != RecordUnknown {
			continue
		}
		if record.State != RecordHeld {
			record.Ended = closedChannel
		}
		if record.Response != nil {
			r.responseBytes += len(record.Response.Body)
		}
		r.put(now, id, &record)
	}
}

// closedChannel is the Ended channel of imported records that are not held.
// Their calls have ended.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
