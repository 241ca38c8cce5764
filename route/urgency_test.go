package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// urgencyLoad is a load of short calls of 190 ms with an objective of 500 ms and long calls
// of 1.1 s with an objective of 6 s. The work is relative to the slots.
type urgencyLoad struct {
	name                string
	shortRank, longRank int
	shortWork, longWork float64
	// swing is the amplitude of the demand, with a period of 13 s.
	swing float64
	// minGain is the least increase of the share of calls that meet their objective.
	minGain float64
}

// run offers the load for 40 s and lets the queue empty.
func (l urgencyLoad) run(seed uint64, ordered bool) *queueSimulation {
	const slots = 10
	q := newQueueSimulation(seed, slots)
	q.admission.OrdersByObjective = ordered
	q.work = func(w *Waiter) time.Duration {
		if w.Route == "short" {
			return time.Duration(0.19 * (0.7 + 0.6*q.random.Float64()) * float64(time.Second))
		}
		return time.Duration(1.1 * (0.7 + 0.6*q.random.Float64()) * float64(time.Second))
	}
	arrivals := rand.New(rand.NewPCG(seed, 2))
	for step := range 55_000 {
		q.tick()
		if step > 40_000 {
			continue
		}
		swing := 1 + l.swing*math.Sin(2*math.Pi*float64(step)/13_000)
		if arrivals.Float64() < swing*l.shortWork*slots/0.19/1000 {
			q.offer(&Waiter{Caller: fmt.Sprint(arrivals.IntN(6)), Route: "short", Rank: l.shortRank, Objective: q.now.Add(500 * time.Millisecond), Deadline: q.now.Add(2 * time.Second)})
		}
		if arrivals.Float64() < swing*l.longWork*slots/1.1/1000 {
			q.offer(&Waiter{Caller: fmt.Sprint(arrivals.IntN(6)), Route: "long", Rank: l.longRank, Objective: q.now.Add(6 * time.Second), Deadline: q.now.Add(12 * time.Second)})
		}
	}
	return q
}

// TestOrderByObjective offers short urgent calls beside long patient ones at 1.4 times the
// capacity, and in swings around it. It guards against an order by objective that meets
// fewer objectives than the order by the number of calls of a caller, and that starves
// long calls of a rank of their own.
func TestOrderByObjective(t *testing.T) {
	skipWithRaceDetector(t)
	for _, load := range []urgencyLoad{
		{"one rank", 1, 1, 0.7, 0.7, 0, 0.15},
		{"short before long", 1, 2, 0.7, 0.7, 0, 0.03},
		{"long before short", 2, 1, 0.7, 0.7, 0, 0},
		{"mostly short", 1, 1, 1.1, 0.3, 0, 0.12},
		{"mostly short, before long", 1, 2, 1.1, 0.3, 0, -0.005},
		{"swings", 1, 1, 0.5, 0.5, 0.55, 0.1},
		{"swings, short before long", 1, 2, 0.5, 0.5, 0.55, 0.03},
	} {
		before, after := load.total(false), load.total(true)
		t.Logf("%s: by callers %s; by objective %s", load.name, before, after)
		if after.met < before.met+load.minGain {
			t.Errorf("%s: %.3f of the calls met their objective, %.3f with the order by callers", load.name, after.met, before.met)
		}
		if load.shortRank < load.longRank && after.longRan*load.longWork < 0.8*rankShare {
			t.Errorf("%s: long calls are starved: %.3f ran", load.name, after.longRan)
		}
	}
}

// urgencyTotal is the result of a load as shares of the calls.
type urgencyTotal struct {
	met, shortMet, longMet, longRan float64
	// refusedAfter is the mean time in the queue of the refused calls.
	refusedAfter time.Duration
}

func (u urgencyTotal) String() string {
	return fmt.Sprintf("%.3f met (short %.3f, long %.3f), refused after %s", u.met, u.shortMet, u.longMet, u.refusedAfter.Round(time.Millisecond))
}

func (l urgencyLoad) total(ordered bool) urgencyTotal {
	met, ran, all := map[string]int{}, map[string]int{}, map[string]int{}
	queued, refused := time.Duration(0), 0
	for seed := range uint64(2) {
		q := l.run(seed, ordered)
		for _, name := range []string{"short", "long"} {
			met[name] += q.met[name]
			ran[name] += q.ran[name]
			all[name] += q.ran[name] + q.failed[name]
		}
		queued += q.queuedTime
		refused += q.refused
	}
	share := func(count, total int) float64 { return float64(count) / float64(total) }
	return urgencyTotal{
		met:      share(met["short"]+met["long"], all["short"]+all["long"]),
		shortMet: share(met["short"], all["short"]), longMet: share(met["long"], all["long"]), longRan: share(ran["long"], all["long"]),
		refusedAfter: queued / time.Duration(max(refused, 1)),
	}
}

// TestGreedyCallerYieldsToOthers guards against a caller that takes all slots by stating
// earlier objectives than the others.
func TestGreedyCallerYieldsToOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAdmission(6)
	a.OrdersByObjective = true
	offer := func(caller string, objective time.Duration) *Waiter {
		w := newWaiter(caller, hornbeamwell.ClassInteractive, now.Add(time.Minute))
		w.Objective = now.Add(objective)
		a.Offer(now, w)
		return w
	}
	for range 5 {
		offer("greedy", time.Second)
	}
	offer("greedy", time.Second)
	last := offer("second", time.Second)
	isAdmitted := func(w *Waiter) bool {
		select {
		case <-w.Decided:
			return true
		default:
			return false
		}
	}
	a.Done(now, &Waiter{Caller: "greedy"}, time.Millisecond, false)
	if !isAdmitted(last) {
		t.Fatal("an equally urgent call of the caller with fewer calls was not admitted")
	}
	urgent, patient := offer("greedy", time.Second), offer("second", 10*time.Second)
	a.Done(now, &Waiter{Caller: "second"}, time.Millisecond, false)
	if !isAdmitted(urgent) {
		t.Fatal("the more urgent call of a caller with at most 5.5 of 6 slots was not admitted first")
	}
	another := offer("greedy", time.Second)
	for _, caller := range []string{"third", "fourth"} {
		offer(caller, 20*time.Second)
	}
	a.Done(now, &Waiter{Caller: "greedy"}, time.Millisecond, false)
	if !isAdmitted(patient) || isAdmitted(another) {
		t.Fatal("a caller with 5 of 6 slots was admitted before one of three others")
	}
}
