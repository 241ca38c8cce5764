package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestNestedShortage offers look-ups that each make a nested call beside orders that make
// none, at 1.4 times the slots, while there is room for 40% of the nested calls from the
// fifth to the fifteenth second. It guards against runs in vain that take the slots of
// other calls, and against look-ups that stay refused after the shortage.
func TestNestedShortage(t *testing.T) {
	skipWithRaceDetector(t)
	const (
		slots                = 12
		lookups, orders      = 110, 77
		nestedInShortage     = lookups * 40 / 100
		from, until, seconds = 5, 15, 20
	)
	run := func(seed uint64, isGated bool) (useful, usefulAfter, ordersRefused int) {
		q := newQueueSimulation(seed, slots)
		start := q.now
		second := func() float64 { return q.now.Sub(start).Seconds() }
		isShort := func() bool { return second() >= from && second() < until }
		arrivals, random := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
		var shortage NestedShortage
		nested := 0.0
		q.ended = func(w *Waiter) {
			if w.Route == "order" {
				useful++
				return
			}
			inVain := isShort() && nested < 1
			if isShort() && !inVain {
				nested--
			}
			shortage.Record(q.now, w.Route, inVain)
			if !inVain {
				useful++
				if second() >= until+2 {
					usefulAfter++
				}
			}
		}
		offer := func(name string) {
			if isGated && !shortage.Admits(shortage.Share(q.now, name), random) {
				return
			}
			q.offer(&Waiter{Caller: "c", Route: name, Rank: 1, Objective: q.now.Add(300 * time.Millisecond), Deadline: q.now.Add(700 * time.Millisecond)})
		}
		for range seconds * int(time.Second/simulationTick) {
			q.tick()
			nested = min(nested+float64(nestedInShortage)*simulationTick.Seconds(), nestedInShortage/10)
			if arrivals.Float64() < lookups*simulationTick.Seconds() {
				offer("look-up")
			}
			if arrivals.Float64() < orders*simulationTick.Seconds() {
				offer("order")
			}
		}
		return useful, usefulAfter, q.failed["order"]
	}
	sumWithout, sumWith := 0, 0
	for seed := range uint64(3) {
		without, withoutAfter, refusedWithout := run(seed, false)
		with, withAfter, refusedWith := run(seed, true)
		t.Logf("seed %d: %d useful runs, %d with the gate; %d and %d orders refused; %d and %d look-ups after the shortage",
			seed, without, with, refusedWithout, refusedWith, withoutAfter, withAfter)
		if with < without*104/100 || refusedWith > refusedWithout*3/4 {
			t.Errorf("seed %d: runs in vain still take the slots of others", seed)
		}
		sumWithout += withoutAfter
		sumWith += withAfter
	}
	// The calls of one seed differ by some 10% with the order of the random numbers.
	if sumWith < sumWithout*95/100 {
		t.Errorf("look-ups are refused after the shortage: %d ran, %d without the gate", sumWith, sumWithout)
	}
}

func TestNestedShortageHasAFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	var s NestedShortage
	for range 1000 {
		s.Record(now, "a", true)
	}
	random, admitted := testRandom(), 0
	for range 1000 {
		if s.Admits(s.Share(now, "a"), random) {
			admitted++
		}
	}
	if admitted < 60 || admitted > 150 {
		t.Errorf("%d of 1000 calls were admitted, want about a tenth", admitted)
	}
	if share := s.Share(now, "b"); share != 0 {
		t.Errorf("another route has the share %v", share)
	}
	if share := s.Share(now.Add(10*time.Second), "a"); share > 0.03 {
		t.Errorf("the share is %v ten seconds later", share)
	}
}
