package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// evidenceProxies is the number of proxies that report observations.
	evidenceProxies = 50
	// callsPerObservation is the number of calls that one observation counts.
	callsPerObservation = 40
)

// evidence returns the measurement of the cost of the reports that proxies send
// during moves.
func evidence() Measurement {
	return Measurement{
		Name:     "evidence",
		Usage:    "the costs of control sessions while each of 50 proxies reports observations of moves every second",
		points:   []int{1, 8, 16, 32},
		duration: 6 * time.Second,
		varied:   "observations per proxy and report",
		series: []Series{
			{Name: "processor time", Unit: "ms of processor per second"},
			{Name: "bytes", Unit: "bytes per second"},
			{Name: "heap", Unit: "bytes"},
		},
		run: func(ctx context.Context, options Options, x int) ([]float64, error) {
			options.observe = func() []hornbeamwell.Observation { return observations(x) }
			return measureSessions(ctx, options, evidenceProxies, func(context.Context, *subscribers) {})
		},
	}
}

// observations returns the report of a proxy with count evidence keys.
func observations(count int) []hornbeamwell.Observation {
	list := make([]hornbeamwell.Observation, 0, count)
	for i := range count {
		o := hornbeamwell.Observation{
			Key: hornbeamwell.EvidenceKey{
				Service: service, Version: fmt.Sprintf("v%d", i%2), Route: fmt.Sprintf("route-%d", i/6), Zone: fmt.Sprintf("zone-%d", i/2%3),
			},
			Calls: callsPerObservation,
		}
		for j := range callsPerObservation {
			o.Latency.Add(time.Duration(j+1) * 500 * time.Microsecond)
		}
		list = append(list, o)
	}
	return list
}
