package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	overloadSlots    = 4
	overloadWork     = 40 * time.Millisecond
	overloadDeadline = 300 * time.Millisecond
	overloadDuration = 3 * time.Second
)

// slottedTarget returns a target that runs overloadSlots calls concurrently and
// queues the rest, like a target without load shedding.
func slottedTarget() http.Handler {
	slots := make(chan struct{}, overloadSlots)
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-slots }()
		time.Sleep(overloadWork)
	})
}

// BenchmarkOverload sends a multiple of the capacity of two targets. It reports
// the successful calls as a percentage of the capacity and the mean time until
// a refusal.
func BenchmarkOverload(b *testing.B) {
	m := newMesh(b, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	direct := make([]string, 0, 2)
	for _, id := range []string{"a", "b"} {
		address := serve(b, &http.Server{Handler: slottedTarget()})
		direct = append(direct, "http://"+address.String())
		m.addAt(id, "v1", "north", overloadSlots, address)
	}
	m.update()
	for _, factor := range []int{1, 2, 5} {
		b.Run(fmt.Sprintf("direct %dx", factor), func(b *testing.B) { offerLoad(b, direct, factor) })
		b.Run(fmt.Sprintf("proxied %dx", factor), func(b *testing.B) {
			offerLoad(b, []string{m.nodes[0].entry, m.nodes[1].entry}, factor)
		})
	}
}

// offerLoad sends calls at a fixed rate, regardless of calls in flight.
func offerLoad(b *testing.B, entries []string, factor int) {
	b.Helper()
	capacity := float64(len(entries)*overloadSlots) / overloadWork.Seconds()
	interval := time.Duration(float64(time.Second) / capacity / float64(factor))
	for b.Loop() {
		var good, refused, refusedTime atomic.Int64
		var wait sync.WaitGroup
		started := time.Now()
		sent := 0
		for time.Since(started) < overloadDuration {
			due := int(time.Since(started) / interval)
			for ; sent < due; sent++ {
				wait.Go(func() {
					status, took := boundedCall(entries[sent%len(entries)])
					switch status {
					case http.StatusOK:
						good.Add(1)
					case http.StatusServiceUnavailable:
						refused.Add(1)
						refusedTime.Add(int64(took))
					}
				})
			}
			time.Sleep(time.Millisecond)
		}
		wait.Wait()
		b.ReportMetric(100*float64(good.Load())/(capacity*overloadDuration.Seconds()), "good-%-of-capacity")
		b.ReportMetric(float64(sent)/overloadDuration.Seconds(), "offered/s")
		if n := refused.Load(); n > 0 {
			b.ReportMetric(float64(refusedTime.Load())/float64(n)/1e6, "refusal-mean-ms")
		}
	}
}

func boundedCall(entry string) (status int, took time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), overloadDeadline)
	defer cancel()
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/profiles/1", strings.NewReader(""))
	if err != nil {
		return 0, 0
	}
	request.Header.Set("Hornbeamwell-Timeout", formatDuration(overloadDeadline))
	got := do(request)
	return got.status, time.Since(started)
}
