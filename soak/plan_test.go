package soak

import (
	"slices"
	"testing"
	"time"
)

func TestPlanIsDeterministic(t *testing.T) {
	t.Parallel()
	const duration = time.Minute
	first, again, other := Plan(7, duration), Plan(7, duration), Plan(8, duration)
	if !slices.Equal(first, again) {
		t.Error("the same seed gave two plans")
	}
	if slices.Equal(first, other) {
		t.Error("two seeds gave the same plan")
	}
	longer := Plan(7, 2*duration)
	if !slices.Equal(first, longer[:len(first)]) {
		t.Error("a longer plan does not begin with the shorter one")
	}
}

func TestPlanHasEveryKindAndOverlaps(t *testing.T) {
	t.Parallel()
	seen := map[Kind]bool{}
	overlaps, inBurst := 0, 0
	events := Plan(1, time.Hour)
	for i, e := range events {
		seen[e.Kind] = true
		if e.Duration < minEventDuration || e.Duration > maxEventDuration || e.Delay > maxDelay {
			t.Fatalf("%s is out of bounds", e)
		}
		if i == 0 {
			continue
		}
		before := events[i-1]
		if e.At < before.At {
			t.Fatalf("%s precedes %s", e, before)
		}
		if e.At < before.At+before.Duration {
			overlaps++
		}
		if e.At-before.At < maxBurstPause {
			inBurst++
		}
	}
	for _, k := range kindWeights {
		if !seen[k.kind] {
			t.Errorf("no event of kind %s in a plan of one hour", k.kind)
		}
	}
	for _, kind := range []Kind{KindEvacuate, KindBulkChange, KindFreezeProxy, KindReloadProxy, KindPlannedStopEntry, KindPlannedStopExit, KindPlannedStopControl} {
		if !seen[kind] {
			t.Errorf("no event of kind %s in a plan of one hour", kind)
		}
	}
	if overlaps < len(events)/2 || inBurst < len(events)/10 {
		t.Errorf("of %d events %d overlap and %d follow in a burst", len(events), overlaps, inBurst)
	}
}
