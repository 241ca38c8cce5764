package soak

import (
	"context"
	"math/rand/v2"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

const (
	// limitDuration is the time for which a target states a rate limit: enough for it
	// to hold, and for a few windows in which calls are counted.
	limitDuration = standin.RateNotice + 2*standin.RateWindow
	// maxStatedRate is the highest rate limit in calls per second, below what a target
	// gets without one.
	maxStatedRate = 12
)

// limitTargets makes targets state rate limits, one after the other, while the events
// take place, and checks that they get no more calls than that.
func (r *runner) limitTargets(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 3))
	for ctx.Err() == nil {
		t := r.site.Targets[random.IntN(len(r.site.Targets))]
		perSecond := 1 + random.Float64()*(maxStatedRate-1)
		running := t.current()
		if running == nil {
			sleep(ctx, watchPeriod)
			continue
		}
		running.StateRateLimit(perSecond)
		sleep(ctx, limitDuration)
		calls, allowed := running.LiftRateLimit()
		r.logf("the target of %s took %.1f calls per second: %d within %s, %d are allowed", t.Proxy.ID, perSecond, calls, standin.RateWindow, allowed)
		if calls > allowed {
			r.addFinding("%d calls within %s reached the target of %s, which took %.1f per second", calls, standin.RateWindow, t.Proxy.ID, perSecond)
		}
	}
}
