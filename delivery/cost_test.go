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

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// The environment variables that make the test program run many subscribers, so
// that the source's process can be measured alone.
const (
	herdSourceEnv = "HORNBEAMWELL_HERD_SOURCE"
	herdCountEnv  = "HORNBEAMWELL_HERD_COUNT"
)

// runHerd runs subscribers with ten interests each until the process ends.
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

// BenchmarkSourceCost measures the CPU time and the memory of a source with as
// many proxies as one relay serves in a fleet of 20,000 proxies. The proxies
// run in a separate process.
func BenchmarkSourceCost(b *testing.B) {
	const count, targets, period = 1400, 20_000, 20 * time.Second
	leader := startNode(b, "c1")
	configuration := sampleConfiguration(1, serviceNames(fleetServices)...)
	leader.configure(b, configuration)
	leader.announce(b, targets, 1, "ready")
	time.Sleep(time.Second)
	baseHeap := heapBytes()
	herd := exec.CommandContext(b.Context(), os.Args[0])
	herd.Env = append(os.Environ(), herdSourceEnv+"="+leader.address.String(), herdCountEnv+"="+strconv.Itoa(count))
	if err := herd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _, _ = herd.Process.Kill(), herd.Wait() }()
	beforeOpen := cpuTime(b)
	waitFor(b, benchWait, "the herd is up", func() bool { return inForceOn(b, leader, 1, count) })
	afterOpen := cpuTime(b)
	time.Sleep(period)
	afterIdle := cpuTime(b)
	for range changesMeasured {
		configuration = withChangedRoute(configuration)
		leader.configure(b, configuration)
		waitFor(b, benchWait, "the new version is in force on every proxy", func() bool { return inForceOn(b, leader, configuration.Version, count) })
	}
	afterChanges := cpuTime(b)
	for i := range changesMeasured {
		leader.restart(b, uint64(i))
	}
	afterRestarts := cpuTime(b)
	b.ReportMetric(float64((afterOpen-beforeOpen).Microseconds())/count, "µs/open")
	b.ReportMetric(100*(afterIdle-afterOpen).Seconds()/period.Seconds(), "%core-idle")
	b.ReportMetric(float64((afterChanges-afterIdle).Milliseconds())/changesMeasured, "ms/change")
	b.ReportMetric(float64((afterRestarts-afterChanges).Milliseconds())/changesMeasured, "ms/restart")
	b.ReportMetric(float64(heapBytes()-baseHeap)/count, "heap-bytes/proxy")
	b.ReportMetric(float64(heapBytes())/(1<<20), "heap-MiB")
	b.ReportMetric(0, "ns/op")
	leader.do(b, func(board *blackboard.Board) {
		if len(board.Proxies) != count {
			b.Errorf("%d proxies are listed", len(board.Proxies))
		}
	})
}

func cpuTime(b *testing.B) time.Duration {
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

// BenchmarkLeaderAtTargetSize measures the computations of a leader with 18
// sources, 20,000 proxies and targets and 1,500 services.
func BenchmarkLeaderAtTargetSize(b *testing.B) {
	const sources, proxies = 18, 20_000
	now := time.Unix(1_800_000_000, 0)
	r := newProxyRegistry()
	for i := range sources {
		id := fmt.Sprintf("r%d", i)
		r.sourceOpened(now, hornbeamwell.ProxyStatus{ID: id})
		report := wire.Report{Watermark: 7, Live: proxies / sources, Full: true}
		for p := range proxies / sources {
			report.Changes = append(report.Changes, wire.ReportedProxy{ID: fmt.Sprintf("%s-p%05d", id, p), Zone: "a", Address: "10.0.0.1:7000", Session: 1, Version: 7})
		}
		r.applyReport(now, id, report)
	}
	targets := map[string]hornbeamwell.Target{}
	for i := range proxies {
		t := sampleTarget(fmt.Sprintf("t%05d", i), fmt.Sprintf("service-%04d", i%fleetServices), 1)
		targets[t.ID] = t
	}
	builder := newPresenceBuilder(1)
	all := map[string]bool{}
	for id := range targets {
		all[id] = true
	}
	if _, err := builder.build(0, targets, all); err != nil {
		b.Fatal(err)
	}
	configuration := sampleConfiguration(1, serviceNames(fleetServices)...)
	last, err := newConfigSnapshot(nil, configuration)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("convergence", func(b *testing.B) {
		for b.Loop() {
			r.convergence(7, nil)
		}
	})
	b.Run("proxies", func(b *testing.B) {
		for b.Loop() {
			r.proxies(nil)
		}
	})
	b.Run("targets", func(b *testing.B) {
		version := uint64(0)
		for b.Loop() {
			version++
			targets["t00000"] = sampleTarget("t00000", "service-0000", version)
			if _, err := builder.build(version, targets, map[string]bool{"t00000": true}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("configuration", func(b *testing.B) {
		for b.Loop() {
			configuration = withChangedRoute(configuration)
			if last, err = newConfigSnapshot(last, configuration); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("closure", func(b *testing.B) {
		index := newRouteIndex(last.full.routes())
		for b.Loop() {
			last.full.filter(index.closure(serviceNames(10)))
		}
	})
}
