package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// benchmarkCommand has the size of a typical route change.
var benchmarkCommand = make([]byte, 512)

// benchmarkStateMachine has a state of the size of a configuration of 1,500
// services.
type benchmarkStateMachine struct {
	state []byte
	// blockApply blocks Apply, and with it the instance, while it is locked.
	blockApply sync.Mutex
}

func (m *benchmarkStateMachine) Apply(_ uint64, command []byte) []byte {
	m.blockApply.Lock()
	defer m.blockApply.Unlock()
	copy(m.state, command)
	return m.state[:8]
}

func (m *benchmarkStateMachine) Snapshot() ([]byte, error) { return slices.Clone(m.state), nil }

func (m *benchmarkStateMachine) Restore(_ uint64, data []byte) error {
	m.state = slices.Clone(data)
	return nil
}

func newBenchmarkGroup(b *testing.B) *group {
	g := prepareGroup(b, 3, DefaultLimits())
	g.newMachine = func() StateMachine { return &benchmarkStateMachine{state: make([]byte, 1<<20)} }
	g.startAll()
	return g
}

// BenchmarkPropose measures proposals of three voters over loopback with real
// syncs, by the number of concurrent callers.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkPropose(b, callers) })
	}
}

func benchmarkPropose(b *testing.B, callers int) {
	g := newBenchmarkGroup(b)
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

// BenchmarkReadBarrier measures the read barrier of a leader with a lease.
func BenchmarkReadBarrier(b *testing.B) {
	g := newBenchmarkGroup(b)
	g.propose("first")
	ledger := g.instances[g.leader()].ledger
	for b.Loop() {
		if err := ledger.ReadBarrier(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLeaderLoss measures the time from the moment that the leader hangs
// to the next committed command. Run it with -benchtime 15x; it reports the
// median and the longest time.
func BenchmarkLeaderLoss(b *testing.B) {
	g := newBenchmarkGroup(b)
	times := make([]time.Duration, 0, b.N)
	for range b.N {
		g.waitApplied(g.propose("before").Index)
		hung := g.instances[g.leader()]
		blockApply := &hung.machine.(*benchmarkStateMachine).blockApply
		blockApply.Lock()
		startedAt := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = hung.ledger.Propose(ctx, []byte("hangs")) }()
		g.eventually("end of the hung leader's lease", func() bool { return !hung.ledger.Status().HoldsLease })
		g.propose("after")
		times = append(times, time.Since(startedAt))
		blockApply.Unlock()
		cancel()
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "median_ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "worst_ms")
}

// BenchmarkIdle measures the CPU time of an idle ledger of three instances, per
// instance and in percent of one core. Run it with -benchtime 10000x; one
// operation takes a millisecond.
func BenchmarkIdle(b *testing.B) {
	g := newBenchmarkGroup(b)
	g.waitApplied(g.propose("first").Index)
	before := cpuTime(b)
	b.ResetTimer()
	time.Sleep(time.Duration(b.N) * time.Millisecond)
	used := cpuTime(b) - before
	b.ReportMetric(100*used.Seconds()/b.Elapsed().Seconds()/3, "%core/instance")
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
