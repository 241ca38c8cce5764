package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// benchmarkCommand is as large as a change of a route.
var benchmarkCommand = make([]byte, 512)

// BenchmarkPropose measures proposals of three voters over loopback with real
// syncs, by the number of callers at once.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkPropose(b, callers) })
	}
}

func benchmarkPropose(b *testing.B, callers int) {
	g := newGroup(b, 3, DefaultLimits())
	g.propose("first")
	ledger := g.instances[g.leader()].ledger
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var working sync.WaitGroup
	b.ResetTimer()
	for range callers {
		working.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(b.N) {
					return
				}
				startedAt := time.Now()
				if _, err := ledger.Propose(context.Background(), benchmarkCommand); err != nil {
					b.Errorf("propose: %v", err)
					return
				}
				latencies[i] = time.Since(startedAt)
			}
		})
	}
	working.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50_µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99_µs")
}

// BenchmarkConfirm measures the read barrier of a leader with a lease.
func BenchmarkConfirm(b *testing.B) {
	g := newGroup(b, 3, DefaultLimits())
	g.propose("first")
	ledger := g.instances[g.leader()].ledger
	for b.Loop() {
		if err := ledger.Confirm(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLeaderLoss measures the time from the stop of the leader to the next
// accepted command. Run it with -benchtime 9x; it reports the median.
func BenchmarkLeaderLoss(b *testing.B) {
	g := newGroup(b, 3, DefaultLimits())
	times := make([]time.Duration, 0, b.N)
	for range b.N {
		g.waitApplied(g.propose("before").Index)
		leader := g.leader()
		startedAt := time.Now()
		g.stop(leader)
		g.propose("after")
		times = append(times, time.Since(startedAt))
		g.start(leader)
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "median_ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "worst_ms")
}
