package connection

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// The limits that a log line or a metric names.
const (
	limitMemory      = "memory"
	limitConnections = "connections"
)

var (
	openedConnections = metrics.NewGauge("hornbeamwell_connections_opened", nil)
	opensRefused      = metrics.NewCounter("hornbeamwell_connection_opens_refused_total")
)

// groupMetrics are the metrics of one listener. The listeners of the same name in several
// instances of one process share them.
type groupMetrics struct {
	open                           *metrics.Gauge
	refused, requestsRefused       *metrics.Counter
	closedForMemory, closedForRoom *metrics.Counter
}

func newGroupMetrics(listener string) groupMetrics {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("%s{listener=%q}", name, listener))
	}
	closed := func(limit string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_connections_closed_total{listener=%q,limit=%q}", listener, limit))
	}
	return groupMetrics{
		open:            metrics.GetOrCreateGauge(fmt.Sprintf("hornbeamwell_connections_open{listener=%q}", listener), nil),
		refused:         counter("hornbeamwell_connections_refused_total"),
		requestsRefused: counter("hornbeamwell_requests_refused_for_memory_total"),
		closedForMemory: closed(limitMemory),
		closedForRoom:   closed(limitConnections),
	}
}
