package delivery

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// The environment that turns the test program into a herd of subscribers, so
// that the source's process can be measured alone.
const (
	herdSource = "HORNBEAMWELL_HERD_SOURCE"
	herdCount  = "HORNBEAMWELL_HERD_COUNT"
)

// runHerd keeps subscribers with ten interests each until the process ends.
func runHerd(source, count string) {
	address := netip.MustParseAddrPort(source)
	number, err := strconv.Atoi(count)
	if err != nil {
		panic(err)
	}
	services := serviceNames(fleetServices)
	for i := range number {
		first := i * 7 % (fleetServices - 10)
		s := NewSubscriber(SubscriberOptions{
			ID: fmt.Sprintf("p%05d", i), Sources: []netip.AddrPort{address}, Interests: services[first : first+10],
			Apply: func(time.Time, Update) error { return nil },
		})
		go func() { _ = s.Run(context.Background()) }()
	}
	select {}
}

// BenchmarkSourceCost measures the processor time and the memory of a source
// with the proxies of one relay at the target size, which run in a process of
// their own.
func BenchmarkSourceCost(b *testing.B) {
	const count, targets, period = 1400, 20_000, 20 * time.Second
	leader := startNode(b, "c1")
	configuration := sampleConfiguration(1, serviceNames(fleetServices)...)
	leader.configure(b, configuration)
	leader.announce(b, targets, 1, "ready")
	time.Sleep(time.Second)
	bare := heapBytes()
	herd := exec.CommandContext(b.Context(), os.Args[0])
	herd.Env = append(os.Environ(), herdSource+"="+leader.address.String(), herdCount+"="+strconv.Itoa(count))
	if err := herd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _, _ = herd.Process.Kill(), herd.Wait() }()
	opening := processorTime(b)
	waitFor(b, benchWait, "the herd is up", func() bool { return inForceOn(b, leader, 1, count) })
	opened := processorTime(b)
	time.Sleep(period)
	idle := processorTime(b)
	for range changesMeasured {
		configuration = changed(configuration)
		leader.configure(b, configuration)
		waitFor(b, benchWait, "in force", func() bool { return inForceOn(b, leader, configuration.Version, count) })
	}
	moved := processorTime(b)
	for i := range changesMeasured {
		leader.restart(b, uint64(i))
	}
	churned := processorTime(b)
	b.ReportMetric(float64((opened-opening).Microseconds())/count, "µs/open")
	b.ReportMetric(100*(idle-opened).Seconds()/period.Seconds(), "%core-idle")
	b.ReportMetric(float64((moved-idle).Milliseconds())/changesMeasured, "ms/change")
	b.ReportMetric(float64((churned-moved).Milliseconds())/changesMeasured, "ms/restart")
	b.ReportMetric(float64(heapBytes()-bare)/count, "heap-bytes/proxy")
	b.ReportMetric(float64(heapBytes())/(1<<20), "heap-MiB")
	b.ReportMetric(0, "ns/op")
	leader.do(b, func(board *blackboard.Board) {
		if len(board.Proxies) != count {
			b.Errorf("%d proxies are listed", len(board.Proxies))
		}
	})
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
