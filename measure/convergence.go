package measure

import (
	"context"
	"fmt"
	"time"
)

// changesPerPoint is the number of configurations applied for each point.
const changesPerPoint = 5

// convergence returns the measurement of the time from the acceptance of a
// configuration until it is in force on all proxies.
func convergence() Measurement {
	return Measurement{
		Name:     "convergence",
		Usage:    "time from the acceptance of a configuration until it is in force on every proxy, and until the leader reports that",
		points:   []int{50, 100, 200, 400, 800},
		duration: time.Second,
		varied:   "proxies",
		series: []Series{
			{Name: "in force on the last proxy", Unit: "ms"},
			{Name: "known to be in force everywhere", Unit: "ms"},
		},
		run: measureConvergence,
	}
}

// measureConvergence returns the longest times of several changes.
func measureConvergence(ctx context.Context, options Options, count int) ([]float64, error) {
	bed, err := startTestbed(ctx, options)
	if err != nil {
		return nil, err
	}
	defer bed.stop()
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	group := bed.subscribe(runCtx, count)
	if err := bed.awaitInForce(ctx, 1, count+1); err != nil {
		return nil, err
	}
	if err := sleep(ctx, options.Duration); err != nil {
		return nil, err
	}
	worst := make([]float64, 2)
	for i := range changesPerPoint {
		inForce, known, err := bed.timeChange(ctx, group, count, time.Duration(i+2)*time.Second)
		if err != nil {
			return nil, err
		}
		worst[0] = max(worst[0], milliseconds(inForce))
		worst[1] = max(worst[1], milliseconds(known))
	}
	return worst, nil
}

// timeChange applies a configuration. It returns the times from the response to
// Apply until the last proxy had the configuration in force and until the leader
// reported that. The first is close to 0 if all proxies have it before the
// response arrives.
func (b *testbed) timeChange(ctx context.Context, group *subscribers, count int, timeout time.Duration) (inForce, known time.Duration, err error) {
	resp, err := b.status(ctx)
	if err != nil {
		return 0, 0, err
	}
	group.expect(resp.GetVersion() + 1)
	version, err := b.apply(ctx, timeout)
	if err != nil {
		return 0, 0, err
	}
	accepted := time.Now()
	select {
	case <-group.done:
		inForce = time.Since(accepted)
	case <-time.After(stepTimeout):
		return 0, 0, fmt.Errorf("version %d was applied by %d of %d proxies", version, group.applied.Load(), count)
	}
	if err := b.awaitInForce(ctx, version, count+1); err != nil {
		return 0, 0, err
	}
	return inForce, time.Since(accepted), nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
