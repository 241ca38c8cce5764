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
	// callsObserved is the number of calls of one observation.
	callsObserved = 40
)

// evidence measures what the reports of open moves cost.
func evidence() Measurement {
	return Measurement{
		Name:     "evidence",
		Usage:    "the same while 50 proxies report so many observations of moves each second",
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

// observations returns the report of a proxy that sees so many keys.
func observations(count int) []hornbeamwell.Observation {
	seen := make([]hornbeamwell.Observation, 0, count)
	for i := range count {
		o := hornbeamwell.Observation{
			Key: hornbeamwell.EvidenceKey{
				Service: service, Version: fmt.Sprintf("v%d", i%2), Route: fmt.Sprintf("route-%d", i/6), Zone: fmt.Sprintf("zone-%d", i/2%3),
			},
			Calls: callsObserved,
		}
		for j := range callsObserved {
			o.Latency.Add(time.Duration(j+1) * 500 * time.Microsecond)
		}
		seen = append(seen, o)
	}
	return seen
}
