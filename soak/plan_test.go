package soak

import (
	"slices"
	"testing"
	"time"
)

func TestPlanFollowsFromTheSeed(t *testing.T) {
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
		t.Error("a longer run does not begin like a shorter one")
	}
}

func TestPlanOverlapsAndHasEveryKind(t *testing.T) {
	t.Parallel()
	seen := map[Kind]bool{}
	overlaps, series := 0, 0
	events := Plan(1, time.Hour)
	for i, e := range events {
		seen[e.Kind] = true
		if e.For < shortest || e.For > longest || e.Delay > mostDelay {
			t.Fatalf("%s is out of its bounds", e)
		}
		if i == 0 {
			continue
		}
		before := events[i-1]
		if e.At < before.At {
			t.Fatalf("%s comes before %s", e, before)
		}
		if e.At < before.At+before.For {
			overlaps++
		}
		if e.At-before.At < seriesPause {
			series++
		}
	}
	for _, k := range kindWeights {
		if !seen[k.kind] {
			t.Errorf("no %s in an hour", k.kind)
		}
	}
	if overlaps < len(events)/2 || series < len(events)/10 {
		t.Errorf("of %d events %d overlap and %d follow in a series", len(events), overlaps, series)
	}
}
