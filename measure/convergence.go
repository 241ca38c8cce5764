package measure

import (
	"context"
	"fmt"
	"time"
)

// changesPerPoint is the number of configurations applied for each point.
const changesPerPoint = 5

// convergence measures the time from accepted to in force.
func convergence() Measurement {
	return Measurement{
		Name:     "convergence",
		Usage:    "time from the accepted answer until every proxy has the version in force, and until the leader knows it",
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

// measureConvergence returns the worst of several changes.
func measureConvergence(ctx context.Context, options Options, count int) ([]float64, error) {
	site, err := startSite(ctx, options)
	if err != nil {
		return nil, err
	}
	defer site.stop()
	running, stop := context.WithCancel(ctx)
	defer stop()
	group := site.subscribe(running, count)
	if err := site.awaitInForce(ctx, 1, count+1); err != nil {
		return nil, err
	}
	if err := pause(ctx, options.Duration); err != nil {
		return nil, err
	}
	worst := make([]float64, 2)
	for i := range changesPerPoint {
		inForce, known, err := site.timeChange(ctx, group, count, time.Duration(i+2)*time.Second)
		if err != nil {
			return nil, err
		}
		worst[0] = max(worst[0], milliseconds(inForce))
		worst[1] = max(worst[1], milliseconds(known))
	}
	return worst, nil
}

// timeChange applies a change. It returns the times after the accepted answer
// at which the last proxy had it in force and at which the leader said so. A
// proxy may have it before the answer arrives, which counts as 0.
func (s *site) timeChange(ctx context.Context, group *subscribers, count int, timeout time.Duration) (inForce, known time.Duration, err error) {
	resp, err := s.status(ctx)
	if err != nil {
		return 0, 0, err
	}
	group.want(resp.GetVersion() + 1)
	version, err := s.apply(ctx, timeout)
	if err != nil {
		return 0, 0, err
	}
	accepted := time.Now()
	select {
	case <-group.done:
		inForce = time.Since(accepted)
	case <-time.After(stepTimeout):
		return 0, 0, fmt.Errorf("version %d came to %d of %d proxies", version, group.applied.Load(), count)
	}
	if err := s.awaitInForce(ctx, version, count+1); err != nil {
		return 0, 0, err
	}
	return inForce, time.Since(accepted), nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
