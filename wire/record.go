package wire

import (
	"net/http"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// Handover holds the idempotency records that a stopping proxy hands over.
type Handover struct {
	// RecordAgeNs is the time for which the proxy has kept records without a
	// gap.
	RecordAgeNs int64    `json:"memory_ns"`
	Records     []Record `json:"records"`
}

// Record is the message for a route.Record, the idempotency record of one call.
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

// Response is the message for a route.StoredResponse.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// FromRecords maps records to a Handover. Times are converted to ages at now.
func FromRecords(now time.Time, recordAge time.Duration, records map[route.RecordID]route.Record) Handover {
	h := Handover{RecordAgeNs: int64(recordAge), Records: make([]Record, 0, len(records))}
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
		h.Records = append(h.Records, m)
	}
	return h
}

// maxRecordAge bounds the ages in a Handover. Older records make no difference.
const maxRecordAge = 24 * time.Hour

// toAge returns the duration of a number of ns from another process, between 0 and
// maxRecordAge.
func toAge(ns int64) time.Duration { return min(max(time.Duration(ns), 0), maxRecordAge) }

// toRecordState returns the state of a record of a process that has stopped. Its calls
// are over, so that any other state than these means an unknown end.
func toRecordState(state int) route.RecordState {
	switch known := route.RecordState(state); known {
	case route.RecordFinished, route.RecordHeld:
		return known
	default:
		return route.RecordUnknown
	}
}

// toStoredResponse returns the response of a finished call, nil if it can't be sent.
func toStoredResponse(m *Response, state route.RecordState) *route.StoredResponse {
	if m == nil || state != route.RecordFinished || m.Status < http.StatusOK || m.Status > maxStatus {
		return nil
	}
	return &route.StoredResponse{Status: m.Status, Header: m.Header, Body: m.Body}
}

// maxStatus is the highest status of a response.
const maxStatus = 999

// ToRecords maps a Handover to records. Ages are converted to times before now.
func ToRecords(now time.Time, h Handover) (recordAge time.Duration, records map[route.RecordID]route.Record) {
	records = make(map[route.RecordID]route.Record, len(h.Records))
	for _, m := range h.Records {
		r := route.Record{
			State:       toRecordState(m.State),
			Fingerprint: m.Fingerprint,
			Holder:      m.Holder,
			First:       now.Add(-toAge(m.FirstAgeNs)),
			Since:       now.Add(-toAge(m.SinceAgeNs)),
		}
		r.Response = toStoredResponse(m.Response, r.State)
		records[route.RecordID{Route: m.Route, Key: m.Key}] = r
	}
	return toAge(h.RecordAgeNs), records
}
