package route

import "time"

// Export returns a copy of the records, for the next process beside the same
// target. A call without an end is unknown to it.
func (r *Records) Export(now time.Time) map[RecordID]Record {
	r.expire(now)
	all := make(map[RecordID]Record, len(r.records))
	for id, record := range r.records {
		kept := *record
		kept.Ended = nil
		if kept.State == RecordClaiming || kept.State == RecordRunning {
			kept.State = RecordUnknown
		}
		all[id] = kept
	}
	return all
}

// Import takes the records of the process before. A record that was made since
// stays, unless it only says that an earlier run can't be ruled out.
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
			r.answerBytes += len(record.Response.Body)
		}
		r.put(now, id, &record)
	}
}

// closedChannel is the end of every record that ended before it was taken over.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
