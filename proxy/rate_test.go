package proxy

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// oneCoreRate is the number of calls per second that two hops serve on one
// core.
const oneCoreRate = 6_000

// BenchmarkLatencyAtRate sends calls at fractions of the rate of one core,
// direct and proxied at the same time. It reports latency quantiles measured
// from the time at which each call was due.
func BenchmarkLatencyAtRate(b *testing.B) {
	app := serve(b, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "profile") })})
	m := newMesh(b, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 100, app)
	m.update()
	for _, percent := range []int{10, 50, 80} {
		b.Run(fmt.Sprintf("%d%%", percent), func(b *testing.B) {
			for b.Loop() {
				var direct, proxied []time.Duration
				var wait sync.WaitGroup
				interval := time.Second * 100 / time.Duration(oneCoreRate*percent)
				wait.Go(func() { direct = paceCalls(b, "http://"+app.String(), interval) })
				wait.Go(func() { proxied = paceCalls(b, n.entry, interval) })
				wait.Wait()
				for name, at := range map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999} {
					b.ReportMetric(float64(quantile(direct, at).Microseconds()), "direct-"+name+"-µs")
					b.ReportMetric(float64(quantile(proxied, at).Microseconds()), "proxied-"+name+"-µs")
				}
			}
		})
	}
}

// paceCalls sends calls at a fixed rate for a few seconds. It returns the
// sorted times from when each was due to its response.
func paceCalls(b *testing.B, url string, interval time.Duration) []time.Duration {
	const duration = 3 * time.Second
	count := int(duration / interval)
	took := make([]time.Duration, count)
	started := time.Now()
	var wait sync.WaitGroup
	for i := range count {
		due := started.Add(time.Duration(i) * interval)
		if early := time.Until(due); early > 0 {
			time.Sleep(early)
		}
		wait.Go(func() {
			timeCall(b, url)
			took[i] = time.Since(due)
		})
	}
	wait.Wait()
	slices.Sort(took)
	return took
}
