package wire

import (
	"math"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestOddRecordsStayWithinTheirLifetime guards against a handover with numbers that are too
// large: records that never expire, a process that claims to know all calls of 292 years,
// and stored responses whose status can't be sent.
func TestOddRecordsStayWithinTheirLifetime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	response := &Response{Status: 200, Body: []byte("x")}
	for name, odd := range map[string]Record{
		"claiming":             {State: int(route.RecordClaiming), Response: response},
		"running":              {State: int(route.RecordRunning)},
		"unknown state":        {State: 77, Response: response},
		"negative state":       {State: math.MinInt},
		"from the future":      {State: int(route.RecordFinished), FirstAgeNs: -1e18, SinceAgeNs: math.MinInt64},
		"old":                  {State: int(route.RecordFinished), FirstAgeNs: math.MaxInt64, SinceAgeNs: math.MaxInt64},
		"status 0":             {State: int(route.RecordFinished), Response: &Response{}},
		"status 1000":          {State: int(route.RecordFinished), Response: &Response{Status: 1000}},
		"interim status":       {State: int(route.RecordFinished), Response: &Response{Status: 103}},
		"held with a response": {State: int(route.RecordHeld), Holder: "a", Response: response},
	} {
		for _, age := range []int64{math.MaxInt64, math.MinInt64, -1} {
			recordAge, records := ToRecords(now, Handover{RecordAgeNs: age, Records: []Record{odd}})
			if recordAge < 0 || recordAge > maxRecordAge {
				t.Errorf("%s: the records are complete for %s", name, recordAge)
			}
			for _, r := range records {
				if r.Since.After(now) || r.First.After(now) || now.Sub(r.Since) > maxRecordAge {
					t.Errorf("%s: a record from %s, changed at %s", name, r.First, r.Since)
				}
				if r.State != route.RecordFinished && r.State != route.RecordHeld && r.State != route.RecordUnknown {
					t.Errorf("%s: a record in state %d, which only a running process has", name, r.State)
				}
				if r.Response != nil {
					t.Errorf("%s: a response with status %d", name, r.Response.Status)
				}
			}
		}
	}
	_, records := ToRecords(now, Handover{Records: []Record{{State: int(route.RecordFinished), SinceAgeNs: 5, Response: response}}})
	if r := records[route.RecordID{}]; r.Response == nil || r.Response.Status != 200 || now.Sub(r.Since) != 5 {
		t.Errorf("a usable record is read as %+v", r)
	}
}
