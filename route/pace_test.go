package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// paceLoad is a load on targets with changing paces.
type paceLoad struct {
	name             string
	entries, targets int
	// utilisation is the offered work relative to the slots at the usual pace.
	utilisation float64
	// pace is the pace of a target at a time since the start.
	pace func(target int, since time.Duration) float64
	// slowRuns is the share of runs that take seven times as long. The target states the
	// mean of its running calls.
	slowRuns float64
	// speeds are the speeds of the targets, repeated.
	speeds []float64
	// isImproved is true where the paces must make far fewer calls late.
	isImproved bool
}

var even = []float64{1}

var paceLoads = []paceLoad{
	{"many entries, one report", 40, 12, 0.8, func(target int, since time.Duration) float64 {
		if target == int(since/(500*time.Millisecond))%12 {
			return 0.6
		}
		return 1
	}, 0, even, false},
	{"a third of targets at 2.5 x in turn", 12, 12, 0.6, func(target int, since time.Duration) float64 {
		if target%3 == int(since/time.Second)%3 {
			return 2.5
		}
		return 1
	}, 0, even, true},
	{"one in thirty runs seven times as long", 12, 12, 0.75, func(int, time.Duration) float64 { return 1 }, 1.0 / 30, even, false},
	{"a third of targets at 2.5 x in turn, with speeds", 12, 12, 0.55, func(target int, since time.Duration) float64 {
		if target%3 == int(since/time.Second)%3 {
			return 2.5
		}
		return 1
	}, 0, []float64{0.6, 1, 1.6, 1.2}, true},
}

// paceTarget runs calls in the order of their arrival.
type paceTarget struct {
	running  []paceCall
	waiting  []paceCall
	mean     Limit
	meanPace float64
}

type paceCall struct {
	entry           int
	arrived, ending time.Time
	started         time.Time
	factor          float64
}

// paceResult is the result of a run of a load.
type paceResult struct {
	mean     time.Duration
	late     float64
	maxQueue int
}

func (r *paceResult) add(other paceResult) {
	r.mean += other.mean
	r.late += other.late
	r.maxQueue = max(r.maxQueue, other.maxQueue)
}

// run offers the load for 20 s in steps of a millisecond.
func (l paceLoad) run(seed uint64, statesPace bool) paceResult {
	const (
		slots     = 6
		work      = 100 * time.Millisecond
		objective = 400 * time.Millisecond
		steps     = 20_000
	)
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	targets := make([]paceTarget, l.targets)
	groups := make([]*Group, l.entries)
	for i := range groups {
		candidates := make([]*Candidate, 0, len(targets))
		for j := range targets {
			candidates = append(candidates, &Candidate{
				Target: hornbeamwell.Target{ID: fmt.Sprint(j), Zone: "a", Slots: slots}, Load: &Load{}, Health: &Health{},
			})
		}
		groups[i] = NewGroup("a", candidates)
	}
	perStep := l.utilisation * slots * float64(l.targets) * float64(time.Millisecond) / float64(work) / (1 + 6*l.slowRuns)
	var result paceResult
	var sum time.Duration
	calls, late := 0, 0
	for step := range steps {
		since := time.Duration(step) * time.Millisecond
		now := start.Add(since)
		for j := range targets {
			target := &targets[j]
			running := target.running[:0]
			var done []paceCall
			for _, c := range target.running {
				if c.ending.After(now) {
					running = append(running, c)
				} else {
					done = append(done, c)
				}
			}
			target.running = running
			for len(target.running) < slots && len(target.waiting) > 0 {
				c := target.waiting[0]
				target.waiting = target.waiting[1:]
				c.factor = l.pace(j, since)
				if random.Float64() < l.slowRuns {
					c.factor *= 7
				}
				c.started = now
				c.ending = now.Add(time.Duration(float64(work) / l.speeds[j%len(l.speeds)] * c.factor * (0.7 + 0.6*random.Float64())))
				target.running = append(target.running, c)
			}
			for _, c := range done {
				target.mean.Done(now, now.Sub(c.started), false)
				load := groups[c.entry].All[j].Load
				load.End()
				load.Report(now, len(target.running)+len(target.waiting))
				load.ReportDuration(target.mean.Mean())
				if statesPace {
					pace := l.pace(j, since)
					if l.slowRuns > 0 {
						pace = c.factor
						for _, r := range target.running {
							pace += r.factor
						}
						pace /= float64(len(target.running) + 1)
					}
					target.meanPace = MeanPace(target.meanPace, pace)
					load.ReportPace(now, pace/target.meanPace)
				}
				calls++
				sum += now.Sub(c.arrived)
				if now.Sub(c.arrived) > objective {
					late++
				}
			}
			result.maxQueue = max(result.maxQueue, len(target.waiting))
		}
		for due := perStep; due > 0; due-- {
			if random.Float64() >= due {
				continue
			}
			entry := random.IntN(l.entries)
			c := groups[entry].Pick(now, random, LocalityShort, nil)
			c.Load.Begin()
			for j := range targets {
				if groups[entry].All[j] == c {
					targets[j].waiting = append(targets[j].waiting, paceCall{entry: entry, arrived: now})
				}
			}
		}
	}
	result.mean, result.late = sum/time.Duration(calls), float64(late)/float64(calls)
	return result
}

// skipWithRaceDetector skips a simulation in short mode, which is used with the race
// detector. A simulation has a single goroutine and needs some ten times as long with it.
func skipWithRaceDetector(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("a simulation in one goroutine")
	}
}

// TestPaceSteersCalls compares the choice of targets with and without stated paces. It
// guards against a choice that makes calls slower, or that sends the calls of many
// entries to the same target at once.
func TestPaceSteersCalls(t *testing.T) {
	skipWithRaceDetector(t)
	const seeds = 10
	for _, load := range paceLoads {
		var without, with paceResult
		for seed := range uint64(seeds) {
			without.add(load.run(seed, false))
			with.add(load.run(seed, true))
		}
		t.Logf("%s: %v and %.4f late without paces, %v and %.4f late with them; longest queue %d, %d", load.name,
			without.mean/seeds, without.late/seeds, with.mean/seeds, with.late/seeds, without.maxQueue, with.maxQueue)
		if with.mean > without.mean*101/100 || with.late > without.late*1.01+0.0001 || with.maxQueue > without.maxQueue*3/2 {
			t.Errorf("%s: worse with paces", load.name)
		}
		if load.isImproved && with.late > 0.85*without.late {
			t.Errorf("%s: hardly better with paces", load.name)
		}
	}
}
