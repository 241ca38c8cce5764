package measure

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// warmUpTime is the wait before a measurement, so that the measurement does not
	// include the opening of the sessions.
	warmUpTime = 3 * time.Second
	// announcedTargets is the largest number of targets that churn announces.
	announcedTargets = 20
)

// control returns the measurement of the cost of idle control sessions.
func control() Measurement {
	return Measurement{
		Name:     "control",
		Usage:    "processor time, bytes and memory of idle control sessions, both ends together",
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

// churn returns the measurement of the cost of control sessions while targets
// change.
func churn() Measurement {
	return Measurement{
		Name:     "churn",
		Usage:    "the costs of control sessions while one of 20 targets changes its announcement every 100 ms",
		points:   []int{50, 100, 200, 400},
		duration: 6 * time.Second,
		varied:   "proxies",
		series: []Series{
			{Name: "processor time", Unit: "ms of processor per second"},
			{Name: "bytes", Unit: "bytes per second"},
			{Name: "heap", Unit: "bytes"},
		},
		run: func(ctx context.Context, options Options, x int) ([]float64, error) {
			return measureSessions(ctx, options, x, changeAnnouncements)
		},
	}
}

// measureSessions opens count control sessions and runs the work. It returns the
// processor time and the bytes received, each per second, and the growth of the
// heap.
func measureSessions(ctx context.Context, options Options, count int, work func(context.Context, *subscribers)) ([]float64, error) {
	bed, err := startTestbed(ctx, options)
	if err != nil {
		return nil, err
	}
	defer bed.stop()
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	heapBefore := liveHeap()
	group := bed.subscribe(runCtx, count)
	// The control instance has a proxy too.
	if err := bed.awaitInForce(ctx, 1, count+1); err != nil {
		return nil, err
	}
	workDone := make(chan struct{})
	go func() {
		defer close(workDone)
		work(runCtx, group)
	}()
	values, err := usageRates(ctx, options.Duration)
	if err != nil {
		return nil, err
	}
	heap := float64(liveHeap()) - float64(heapBefore)
	stop()
	<-workDone
	return append(values, heap), nil
}

// usageRates waits for warmUpTime and then measures for the duration. It returns
// the processor time in ms and the bytes received, each per second.
func usageRates(ctx context.Context, duration time.Duration) ([]float64, error) {
	if err := sleep(ctx, warmUpTime); err != nil {
		return nil, err
	}
	before, err := currentUsage()
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, duration); err != nil {
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

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// churnInterval is the time between two changes of an announcement.
const churnInterval = 100 * time.Millisecond

// changeAnnouncements changes the announcement of one target after the other until
// the context ends.
func changeAnnouncements(ctx context.Context, group *subscribers) {
	for sequence := uint64(1); sleep(ctx, churnInterval) == nil; sequence++ {
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
