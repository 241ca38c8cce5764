package route

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestRecordsStayWithinTheirMemory guards against records of long keys, or of stored responses,
// that take more memory than their number tells, and against memory that is not freed once
// they expire.
func TestRecordsStayWithinTheirMemory(t *testing.T) {
	t.Parallel()
	const maxBytes = 300_000
	now := time.UnixMilli(1773209060000)
	r := NewBoundedRecords(maxBytes)
	accepted := 0
	for i := range 10_000 {
		if r.IsFull() {
			break
		}
		id := RecordID{Route: "r", Key: fmt.Sprintf("%d%s", i, strings.Repeat("k", 200))}
		record := r.Claim(now, id, 1)
		r.Start(now, record)
		r.Finish(now, record, &StoredResponse{Status: 200, Body: make([]byte, 1000)})
		accepted++
	}
	if accepted < 100 || r.Bytes() > maxBytes+1000 {
		t.Errorf("%d records take %d bytes of %d", accepted, r.Bytes(), maxBytes)
	}
	stored := 0
	for _, record := range r.records {
		if record.Response != nil {
			stored++
		}
	}
	if stored == 0 || stored > maxBytes/3/1000 {
		t.Errorf("%d responses of 1,000 bytes are stored", stored)
	}
	r.Get(now.Add(2*RecordLifetime), RecordID{})
	if r.IsFull() || r.Len() != 0 || r.Bytes() != 0 {
		t.Errorf("%d records and %d bytes are left after their lifetime", r.Len(), r.Bytes())
	}
}

// TestRemovedRecordsTakeNoMemory guards against memory that stays drawn for calls that did not
// run, or that another proxy holds.
func TestRemovedRecordsTakeNoMemory(t *testing.T) {
	t.Parallel()
	now := time.UnixMilli(1773209060000)
	r := NewBoundedRecords(1 << 20)
	id := RecordID{Route: "r", Key: "k"}
	record := r.Claim(now, id, 1)
	r.Redirect(now, id, record, strings.Repeat("h", 100))
	if want := int64(recordBytes + 2 + 100); r.Bytes() != want {
		t.Errorf("a record that another proxy holds takes %d bytes, want %d", r.Bytes(), want)
	}
	r.Remove(id, r.Claim(now, id, 1))
	if r.Bytes() != 0 {
		t.Errorf("%d bytes are left", r.Bytes())
	}
}

// TestMeansAreBounded guards against means for each of the names that another proxy sends.
func TestMeansAreBounded(t *testing.T) {
	t.Parallel()
	now := time.UnixMilli(1773209060000)
	var nested NestedShortage
	admission, link := NewAdmission(1), NewLink(0)
	for i := range 3 * maxMeans {
		name := fmt.Sprintf("r-%d", i)
		nested.Record(now, name, false)
		admission.recordDuration(name, time.Millisecond)
		admission.recordUsage(precedence{rank: i}, time.Millisecond)
		link.RecordLatency(name, time.Millisecond)
	}
	if len(nested.routes) > maxNestedRoutes || len(admission.durations) > maxMeans || len(admission.usage) > maxMeans || len(link.responses) > maxLinkRoutes {
		t.Errorf("%d, %d, %d and %d means are kept", len(nested.routes), len(admission.durations), len(admission.usage), len(link.responses))
	}
}
