package move

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// shortCase is a move of a few seconds at a constant call rate.
type shortCase struct {
	name     string
	rate     float64
	duration time.Duration
	// badFrom is the time from which badFraction of the canary's calls fail, or
	// are eight times slower if isSlow is true.
	badFrom     time.Duration
	badFraction float64
	isSlow      bool
	want        hornbeamwell.Phase
}

// shortResult is the outcome of a shortCase. exposed counts the canary's calls.
type shortResult struct {
	move    hornbeamwell.Move
	exposed int
	calls   int
}

// The bounds on the calls that a bad canary receives, as stated by operators: a
// fraction of all calls, plus a number of calls.
const (
	exposedFraction = 0.1
	exposedSlack    = 50
)

// run decides about the move every 100 ms, with evidence that arrives 300 ms after
// its calls, which is the reporting delay of the proxies of a site.
func (c shortCase) run(seed uint64) shortResult {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	m := hornbeamwell.Move{
		ID: "m", Service: "s", From: "v1", To: "v2", AcceptedAt: start, StageAt: start, Step: 1,
		Deadline: start.Add(c.duration), Hold: 1500 * time.Millisecond,
		Prefer: hornbeamwell.PreferDeadline, Phase: hornbeamwell.PhaseAccepted,
	}
	policy := PolicyFor(m)
	evidence := NewEvidence(policy, m, start)
	result := shortResult{}
	const tick, delay = 100 * time.Millisecond, 300 * time.Millisecond
	reports := map[time.Time][]hornbeamwell.Observation{}
	for now := start; now.Before(m.Deadline.Add(time.Second)) && !m.Phase.IsFinal(); now = now.Add(tick) {
		old, canary := c.observe(random, now.Sub(start), m.Share, tick)
		result.exposed += int(canary.Calls)
		result.calls += int(canary.Calls + old.Calls)
		due := now.Add(delay)
		reports[due] = append(reports[due], old, canary)
		evidence.Add(now, reports[now]...)
		mesh := MeshState{From: Pool{Ready: 3, Slots: 27}, InForce: true}
		if now.Sub(start) > time.Second {
			mesh.To = Pool{Ready: 3, Slots: 27}
		}
		next, changed := policy.Decide(now, m, evidence, mesh)
		if changed && !next.StageAt.Equal(m.StageAt) {
			evidence.StartStage(now, next.Share)
			evidence.MarkInForce(now)
		}
		m = next
	}
	result.move = m
	return result
}

// observe generates the calls of one tick.
func (c shortCase) observe(random *rand.Rand, at time.Duration, share hornbeamwell.Share, tick time.Duration) (old, canary hornbeamwell.Observation) {
	old.Key = hornbeamwell.EvidenceKey{Service: "s", Version: "v1", Route: "r", Zone: "a"}
	canary.Key = hornbeamwell.EvidenceKey{Service: "s", Version: "v2", Route: "r", Zone: "a"}
	calls := int(c.rate * tick.Seconds())
	if random.Float64() < c.rate*tick.Seconds()-float64(calls) {
		calls++
	}
	for range calls {
		latency := time.Duration(100+random.IntN(120)) * time.Millisecond
		if hornbeamwell.Share(random.IntN(int(hornbeamwell.FullShare))) >= share {
			count(&old, random.Float64() < 0.01, latency)
			continue
		}
		isBad := at >= c.badFrom && random.Float64() < c.badFraction
		if isBad && c.isSlow {
			latency *= 8
		}
		count(&canary, isBad && !c.isSlow || random.Float64() < 0.01, latency)
	}
	return old, canary
}

func count(o *hornbeamwell.Observation, failed bool, latency time.Duration) {
	o.Calls++
	if failed {
		o.Failures++
		return
	}
	o.Latency.Add(latency)
}

func TestShortMoves(t *testing.T) {
	t.Parallel()
	rates := []float64{14, 50, 170, 600}
	durations := []time.Duration{10 * time.Second, 12 * time.Second, 16 * time.Second, 20 * time.Second}
	const kinds = 4
	cases := make([]shortCase, 0, kinds*len(rates)*len(durations))
	for _, rate := range rates {
		for _, duration := range durations {
			cases = append(cases,
				shortCase{"good", rate, duration, 0, 0, false, hornbeamwell.PhaseDone},
				shortCase{"failing", rate, duration, 0, 0.5, false, hornbeamwell.PhaseTakenBack},
				shortCase{"failing late", rate, duration, 4 * time.Second, 0.5, false, hornbeamwell.PhaseTakenBack},
			)
			cases = append(cases, shortCase{"slow", rate, duration, 0, 1, true, hornbeamwell.PhaseTakenBack})
		}
	}
	const seeds = 50
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s at %g for %s", c.name, c.rate, c.duration), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				result := c.run(seed)
				if result.move.Phase != c.want {
					t.Errorf("seed %d: the move ended in the wrong phase %s: %s", seed, result.move.Phase, result.move.Reason)
				}
				if result.move.EndedAt.After(result.move.Deadline) {
					t.Errorf("seed %d: ended %s after the deadline", seed, result.move.EndedAt.Sub(result.move.Deadline))
				}
				allowed := int(exposedFraction*c.rate*c.duration.Seconds()) + exposedSlack
				if c.want == hornbeamwell.PhaseTakenBack && result.exposed > allowed {
					t.Errorf("seed %d: the bad canary received %d of %d calls, at most %d are allowed", seed, result.exposed, result.calls, allowed)
				}
			}
		})
	}
}
