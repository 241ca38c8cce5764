package wire

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// Handover is the records that a proxy hands over when it stops.
type Handover struct {
	// MemoryNs is the age of the oldest record that the proxy would have.
	MemoryNs int64    `json:"memory_ns"`
	Records  []Record `json:"records"`
}

// Record is what a proxy knows of the call with a key.
type Record struct {
	Route       string    `json:"route"`
	Key         string    `json:"key"`
	State       int       `json:"state"`
	Fingerprint uint64    `json:"fingerprint"`
	Holder      string    `json:"holder,omitempty"`
	FirstAgeNs  int64     `json:"first_ago_ns"`
	SinceAgeNs  int64     `json:"since_ago_ns"`
	Response    *Response `json:"answer,omitempty"`
}

// Response is a kept answer.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// FromRecords maps records to a message. Times become ages at now.
func FromRecords(now time.Time, memory time.Duration, records map[route.RecordID]route.Record) Handover {
	l := Handover{MemoryNs: int64(memory), Records: make([]Record, 0, len(records))}
	for id, r := range records {
		m := Record{
			Route:       id.Route,
			Key:         id.Key,
			State:       int(r.State),
			Fingerprint: r.Fingerprint,
			Holder:      r.Holder,
			FirstAgeNs:  int64(now.Sub(r.First)),
			SinceAgeNs:  int64(now.Sub(r.Since)),
		}
		if r.Response != nil {
			m.Response = &Response{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}
		}
		l.Records = append(l.Records, m)
	}
	return l
}

// ToRecords maps a message to records. Ages become times before now.
func ToRecords(now time.Time, l Handover) (memory time.Duration, records map[route.RecordID]route.Record) {
	records = make(map[route.RecordID]route.Record, len(l.Records))
	for _, m := range l.Records {
		r := route.Record{
			State:       route.RecordState(m.State),
			Fingerprint: m.Fingerprint,
			Holder:      m.Holder,
			First:       now.Add(-time.Duration(m.FirstAgeNs)),
			Since:       now.Add(-time.Duration(m.SinceAgeNs)),
		}
		if m.Response != nil {
			r.Response = &route.StoredResponse{Status: m.Response.Status, Header: m.Response.Header, Body: m.Response.Body}
		}
		records[route.RecordID{Route: m.Route, Key: m.Key}] = r
	}
	return time.Duration(l.MemoryNs), records
}
