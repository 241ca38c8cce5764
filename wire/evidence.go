package wire

import (
	"github.com/hornbeamwell/hornbeamwell"
)

// Observation is the message for a hornbeamwell.Observation. Latency holds
// pairs of a bucket and its count, without empty buckets.
type Observation struct {
	Service   string      `json:"service"`
	Version   string      `json:"version"`
	Route     string      `json:"route"`
	Zone      string      `json:"zone,omitempty"`
	Calls     uint64      `json:"calls"`
	Failures  uint64      `json:"failures,omitempty"`
	ColdCalls uint64      `json:"cold_calls,omitempty"`
	Latency   [][2]uint32 `json:"latency,omitempty"`
}

// FromObservations maps observations to their messages.
func FromObservations(observations []hornbeamwell.Observation) []Observation {
	return mapSlice(observations, FromObservation)
}

// ToObservations maps messages to observations.
func ToObservations(messages []Observation) []hornbeamwell.Observation {
	return mapSlice(messages, Observation.ToObservation)
}

// FromObservation maps an observation to its message.
func FromObservation(o hornbeamwell.Observation) Observation {
	m := Observation{
		Service:   o.Key.Service,
		Version:   o.Key.Version,
		Route:     o.Key.Route,
		Zone:      o.Key.Zone,
		Calls:     o.Calls,
		Failures:  o.Failures,
		ColdCalls: o.ColdCalls,
	}
	for bucket, count := range o.Latency {
		if count > 0 {
			m.Latency = append(m.Latency, [2]uint32{uint32(bucket), count})
		}
	}
	return m
}

// ToObservation maps the message to an observation. Buckets out of range are
// dropped.
func (m Observation) ToObservation() hornbeamwell.Observation {
	o := hornbeamwell.Observation{
		Key:       hornbeamwell.EvidenceKey{Service: m.Service, Version: m.Version, Route: m.Route, Zone: m.Zone},
		Calls:     m.Calls,
		Failures:  m.Failures,
		ColdCalls: m.ColdCalls,
	}
	for _, pair := range m.Latency {
		if pair[0] < hornbeamwell.LatencyBuckets {
			o.Latency[pair[0]] += pair[1]
		}
	}
	return o
}
