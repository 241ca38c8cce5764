package ledger

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestElectionTimeAfterPowerLoss repeatedly starts five instances spread over
// 450 ms, as after a power loss. After its start an instance grants no vote for
// ElectionMin, because it may have promised that before it stopped. Once these
// promises of a quorum have ended, a leader must follow soon.
func TestElectionTimeAfterPowerLoss(t *testing.T) {
	t.Parallel()
	const (
		instances   = 5
		powerLosses = 60
		startSpread = 450 * time.Millisecond
	)
	s := newSimulation(t, 1, instances, 0)
	s.timing = SiteTiming()
	s.delay, s.resolution = 3*time.Millisecond, time.Millisecond
	for _, n := range s.nodes {
		n.diskDelay = time.Millisecond
	}
	s.startAll()
	s.run(3 * time.Second)
	random := rand.New(rand.NewPCG(2, 2))
	waits := make([]time.Duration, 0, powerLosses)
	for range powerLosses {
		for i := range s.nodes {
			s.crash(i)
		}
		s.run(time.Second)
		starts := make([]time.Duration, instances)
		for i := range starts {
			starts[i] = s.now + time.Duration(random.Int64N(int64(startSpread)))
		}
		sorted := slices.Sorted(slices.Values(starts))
		promisesEnd := sorted[instances/2] + s.timing.ElectionMin
		for s.leader() < 0 {
			for i, at := range starts {
				if s.nodes[i].core == nil && s.now >= at {
					s.start(i)
				}
			}
			s.run(s.resolution)
		}
		waits = append(waits, s.now-promisesEnd)
		s.run(time.Second)
	}
	p50, p90 := quantileOf(waits, 0.5), quantileOf(waits, 0.9)
	t.Logf("time from the end of a quorum's promises to a leader: p50 %s, p90 %s, max %s", p50, p90, slices.Max(waits))
	if p50 > 100*time.Millisecond || p90 > 250*time.Millisecond {
		t.Errorf("time from the end of a quorum's promises to a leader: p50 %s, p90 %s", p50, p90)
	}
}

func quantileOf(durations []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[int(q*float64(len(sorted)-1))]
}
