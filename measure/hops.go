package measure

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

// hops returns the measurement of the latency that the two proxies add to a call.
func hops() Measurement {
	return Measurement{
		Name:     "hops",
		Usage:    "latency of calls through two proxies compared with direct calls, in one run",
		points:   []int{100, 250, 500, 1000, 2000},
		duration: 5 * time.Second,
		varied:   "calls per second",
		series: []Series{
			{Name: "direct p50", Unit: "ms"},
			{Name: "direct p99", Unit: "ms"},
			{Name: "proxied p50", Unit: "ms"},
			{Name: "proxied p99", Unit: "ms"},
			{Name: "added p50", Unit: "ms"},
			{Name: "added p99", Unit: "ms"},
			{Name: "ratio p50", Unit: "proxied to direct"},
			{Name: "ratio p99", Unit: "proxied to direct"},
		},
		run: measureHops,
	}
}

// targetDelay is the time that the stand-in target takes for a call.
const targetDelay = time.Millisecond

func measureHops(ctx context.Context, options Options, rate int) ([]float64, error) {
	bed, err := startTestbed(ctx, options)
	if err != nil {
		return nil, err
	}
	defer bed.stop()
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	entry, target, err := bed.startPair(runCtx)
	if err != nil {
		return nil, err
	}
	if err := bed.awaitCall(ctx, entry); err != nil {
		return nil, err
	}
	// Both loads run concurrently, so that the state of the machine affects
	// both.
	type outcome struct {
		report load.Report
		err    error
	}
	proxied := make(chan outcome, 1)
	go func() {
		report, err := sendLoad(ctx, entry, rate, options.Duration)
		proxied <- outcome{report, err}
	}()
	direct, err := sendLoad(ctx, target, rate, options.Duration)
	proxiedOutcome := <-proxied
	if err != nil {
		return nil, err
	}
	if proxiedOutcome.err != nil {
		return nil, proxiedOutcome.err
	}
	return compareLatencies(direct.Latency, proxiedOutcome.report.Latency), nil
}

func compareLatencies(direct, proxied load.Latency) []float64 {
	return []float64{
		milliseconds(direct.P50), milliseconds(direct.P99),
		milliseconds(proxied.P50), milliseconds(proxied.P99),
		milliseconds(proxied.P50 - direct.P50), milliseconds(proxied.P99 - direct.P99),
		float64(proxied.P50) / float64(direct.P50), float64(proxied.P99) / float64(direct.P99),
	}
}

// startPair starts an entry proxy, and an exit proxy with a target beside it. It
// returns the address on which the entry proxy accepts calls and that of the
// target.
func (b *testbed) startPair(ctx context.Context) (entry, target netip.AddrPort, err error) {
	for _, id := range []string{"entry", "exit"} {
		addresses, err := standin.FreeAddresses(ctx, portsPerProcess)
		if err != nil {
			return entry, target, err
		}
		process := settings.Settings{
			Instance: id,
			Zone:     zone,
			Proxy:    settings.Proxy{Callers: addresses[0], Exit: addresses[1], Announce: addresses[2]},
			Sources:  b.settings.Sources,
			Move:     b.settings.Move,
		}
		if err := b.start(ctx, process); err != nil {
			return entry, target, err
		}
		if id == "entry" {
			entry = process.Proxy.Callers
			continue
		}
		target, err = b.startTarget(ctx, process.Proxy.Announce)
		if err != nil {
			return entry, target, err
		}
	}
	return entry, target, nil
}

func (b *testbed) startTarget(ctx context.Context, announce netip.AddrPort) (netip.AddrPort, error) {
	target, err := standin.New(ctx, standin.Options{
		Service: service, Version: version, Announce: announce, Delay: targetDelay, Slots: 64, Connections: 512,
		DrainGrace: time.Millisecond,
	})
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("start a target: %w", err)
	}
	b.running.Go(func() { _ = target.Run(ctx) })
	return target.Address(), nil
}

// awaitCall waits until calls through the proxies are answered.
func (b *testbed) awaitCall(ctx context.Context, entry netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		report, err := sendLoad(ctx, entry, 20, 100*time.Millisecond)
		if err == nil && report.Verdicts[load.VerdictAnswered] == report.Sent {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("wait for an answered call through the proxies: %w", err)
		}
	}
}

// sendLoad sends idempotent calls without a body. It returns an error if one of
// them is not answered.
func sendLoad(ctx context.Context, address netip.AddrPort, rate int, duration time.Duration) (load.Report, error) {
	l, err := load.New(load.Options{
		Entries:  []netip.AddrPort{address},
		Calls:    []load.Call{{Weight: 1, Method: http.MethodGet, Path: readPath, Idempotent: true, ResponseBytes: 1024}},
		Rate:     float64(rate),
		Duration: duration,
		Timeout:  5 * time.Second,
	})
	if err != nil {
		return load.Report{}, err
	}
	report, err := l.Run(ctx)
	if err != nil {
		return report, err
	}
	if answered := report.Verdicts[load.VerdictAnswered]; answered != report.Sent {
		return report, fmt.Errorf("only %d of %d calls were answered", answered, report.Sent)
	}
	return report, nil
}
