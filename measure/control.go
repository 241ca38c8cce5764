package measure

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// settleTime lets the opening of sessions end before a measurement.
	settleTime = 3 * time.Second
	// announcedTargets is the number of targets that churn announces.
	announcedTargets = 20
)

// control measures what quiet sessions cost.
func control() Measurement {
	return Measurement{
		Name:     "control",
		Usage:    "processor time, bytes and memory of quiet control sessions, both ends together",
		points:   []int{50, 100, 200, 400, 800},
		duration: 6 * time.Second,
		varied:   "proxies",
		series: []Series{
			{Name: "processor time", Unit: "ms of processor per second"},
			{Name: "bytes", Unit: "bytes per second"},
			{Name: "heap", Unit: "bytes"},
		},
		run: func(ctx context.Context, options Options, x int) ([]float64, error) {
			return measureSessions(ctx, options, x, func(context.Context, *subscribers) {})
		},
	}
}

// churn measures what sessions cost while targets come and go.
func churn() Measurement {
	return Measurement{
		Name:     "churn",
		Usage:    "the same while one of 20 targets changes its announcement every 100 ms",
		points:   []int{50, 100, 200, 400},
		duration: 6 * time.Second,
		varied:   "proxies",
		series: []Series{
			{Name: "processor time", Unit: "ms of processor per second"},
			{Name: "bytes", Unit: "bytes per second"},
			{Name: "heap", Unit: "bytes"},
		},
		run: func(ctx context.Context, options Options, x int) ([]float64, error) {
			return measureSessions(ctx, options, x, announceInTurn)
		},
	}
}

// measureSessions opens so many sessions and returns their cost per second
// while the work goes on.
func measureSessions(ctx context.Context, options Options, count int, work func(context.Context, *subscribers)) ([]float64, error) {
	site, err := startSite(ctx, options)
	if err != nil {
		return nil, err
	}
	defer site.stop()
	running, stop := context.WithCancel(ctx)
	defer stop()
	heapBefore := liveHeap()
	group := site.subscribe(running, count)
	// The proxy of the control instance is one more.
	if err := site.awaitInForce(ctx, 1, count+1); err != nil {
		return nil, err
	}
	worked := make(chan struct{})
	go func() {
		defer close(worked)
		work(running, group)
	}()
	values, err := cost(ctx, options.Duration)
	if err != nil {
		return nil, err
	}
	heap := float64(liveHeap()) - float64(heapBefore)
	stop()
	<-worked
	return append(values, heap), nil
}

// cost returns the processor time in ms and the bytes, each per second.
func cost(ctx context.Context, duration time.Duration) ([]float64, error) {
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	before, err := currentUsage()
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, duration); err != nil {
		return nil, err
	}
	after, err := currentUsage()
	if err != nil {
		return nil, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return []float64{
		float64(after.cpu-before.cpu) / float64(time.Millisecond) / seconds,
		float64(after.received-before.received) / seconds,
	}, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// churnPeriod is the time between two changes of announcements.
const churnPeriod = 100 * time.Millisecond

// announceInTurn changes the announcement of one target after another.
func announceInTurn(ctx context.Context, group *subscribers) {
	for sequence := uint64(1); pause(ctx, churnPeriod) == nil; sequence++ {
		i := int(sequence) % min(announcedTargets, len(group.all))
		group.all[i].Announce(hornbeamwell.Target{
			ID:          fmt.Sprintf("proxy-%d", i),
			Service:     service,
			Version:     version,
			Zone:        zone,
			Exit:        netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(30_000+i)),
			Slots:       1 + int(sequence)%8,
			Connections: 100,
			Incarnation: 1,
			Sequence:    sequence,
			State:       hornbeamwell.TargetReady,
			ReadyAt:     time.Now(),
		})
	}
}
