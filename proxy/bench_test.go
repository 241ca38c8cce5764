package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// BenchmarkCall compares a call through the entry and the exit side of one proxy
// with a direct call. The caller, the proxy and the target share one process.
func BenchmarkCall(b *testing.B) {
	target := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "profile")
	})
	app := serve(b, &http.Server{Handler: target})
	m := newMesh(b, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 100, app)
	m.update()
	b.Run("direct", func(b *testing.B) { benchmarkCalls(b, "http://"+app.String(), http.MethodGet, "") })
	b.Run("proxied", func(b *testing.B) { benchmarkCalls(b, n.entry, http.MethodGet, "") })
	b.Run("proxied with a body", func(b *testing.B) { benchmarkCalls(b, n.entry, http.MethodPost, strings.Repeat("x", 1024)) })
}

func benchmarkCalls(b *testing.B, url, method, body string) {
	b.Helper()
	b.ReportAllocs()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{}).DialContext}}
	before := processorTime(b)
	defer func() {
		b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
	}()
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, err := http.NewRequestWithContext(context.Background(), method, url+"/profiles/7", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
			}
		}
	})
}

// processorTime returns the CPU time of this process, including kernel time.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAddedLatency sends one call at a time, alternating between direct
// and proxied, and reports the latency quantiles of both.
func BenchmarkAddedLatency(b *testing.B) {
	target := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "profile")
	})
	app := serve(b, &http.Server{Handler: target})
	m := newMesh(b, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 100, app)
	m.update()
	var direct, proxied []time.Duration
	for b.Loop() {
		direct = append(direct, timeCall(b, "http://"+app.String()))
		proxied = append(proxied, timeCall(b, n.entry))
	}
	slices.Sort(direct)
	slices.Sort(proxied)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}} {
		d, p := quantile(direct, q.at), quantile(proxied, q.at)
		b.ReportMetric(float64(d.Microseconds()), "direct-"+q.name+"-µs")
		b.ReportMetric(float64(p.Microseconds()), "proxied-"+q.name+"-µs")
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func timeCall(b *testing.B, url string) time.Duration {
	b.Helper()
	started := time.Now()
	if got := call(context.Background(), http.MethodGet, url+"/profiles/7", "", ""); got.status != http.StatusOK {
		b.Errorf("status %d, error %v", got.status, got.err)
	}
	return time.Since(started)
}

// BenchmarkKeyedLatency compares calls without and with a key. A call with a
// key waits until the proxy of another target holds its claim.
func BenchmarkKeyedLatency(b *testing.B) {
	m := newMesh(b, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	for _, id := range []string{"a", "b", "c"} {
		m.add(id, "v1", "zone-"+id, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusCreated) }))
	}
	m.update()
	var plain, keyed []time.Duration
	timePost := func(key string) time.Duration {
		started := time.Now()
		if got := call(context.Background(), http.MethodPost, m.nodes[0].entry+"/pairings", key, "x"); got.status != http.StatusCreated {
			b.Fatalf("status %d, reason %s", got.status, got.header.Get(headerReason))
		}
		return time.Since(started)
	}
	for b.Loop() {
		plain = append(plain, timePost(""))
		keyed = append(keyed, timePost(fmt.Sprint("key", len(keyed))))
	}
	slices.Sort(plain)
	slices.Sort(keyed)
	b.ReportMetric(float64(quantile(plain, 0.5).Microseconds()), "plain-p50-µs")
	b.ReportMetric(float64(quantile(keyed, 0.5).Microseconds()), "keyed-p50-µs")
	b.ReportMetric(float64(quantile(plain, 0.99).Microseconds()), "plain-p99-µs")
	b.ReportMetric(float64(quantile(keyed, 0.99).Microseconds()), "keyed-p99-µs")
}

// BenchmarkOpenConnection reports the memory per open caller connection after
// one call, including the caller's side of the connection.
func BenchmarkOpenConnection(b *testing.B) {
	m := newMesh(b, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.add("a", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "profile") }))
	m.update()
	const connections = 1_000
	for b.Loop() {
		before := memoryInUse()
		open := make([]net.Conn, 0, connections)
		response := make([]byte, 4096)
		for range connections {
			connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", strings.TrimPrefix(n.entry, "http://"))
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, connection)
			_, _ = io.WriteString(connection, "GET /profiles/7 HTTP/1.1\r\nHost: x\r\n\r\n")
			if _, err := connection.Read(response); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
		for _, connection := range open {
			_ = connection.Close()
		}
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
