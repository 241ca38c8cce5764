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
	Route       string  `json:"route"`
	Key         string  `json:"key"`
	State       int     `json:"state"`
	Fingerprint uint64  `json:"fingerprint"`
	Holder      string  `json:"holder,omitempty"`
	FirstAgoNs  int64   `json:"first_ago_ns"`
	SinceAgoNs  int64   `json:"since_ago_ns"`
	Answer      *Answer `json:"answer,omitempty"`
}

// Answer is a kept answer.
type Answer struct {
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
			FirstAgoNs:  int64(now.Sub(r.First)),
			SinceAgoNs:  int64(now.Sub(r.Since)),
		}
		if r.Answer != nil {
			m.Answer = &Answer{Status: r.Answer.Status, Header: r.Answer.Header, Body: r.Answer.Body}
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
			First:       now.Add(-time.Duration(m.FirstAgoNs)),
			Since:       now.Add(-time.Duration(m.SinceAgoNs)),
		}
		if m.Answer != nil {
			r.Answer = &route.KeptAnswer{Status: m.Answer.Status, Header: m.Answer.Header, Body: m.Answer.Body}
		}
		records[route.RecordID{Route: m.Route, Key: m.Key}] = r
	}
	return time.Duration(l.MemoryNs), records
}
