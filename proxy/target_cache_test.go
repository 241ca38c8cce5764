package proxy

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestTargetCacheKeepsMissingTargets guards against losing targets when all
// control instances restart together: the list is empty at first, then holds one
// target, then both. A target that was listed as gone is not kept, and a missing
// one is dropped after missingRetention.
func TestTargetCacheKeepsMissingTargets(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	a := hornbeamwell.Target{ID: "a", State: hornbeamwell.TargetReady}
	b := hornbeamwell.Target{ID: "b", State: hornbeamwell.TargetReady}
	gone := hornbeamwell.Target{ID: "b", State: hornbeamwell.TargetGone}
	var cache targetCache
	for _, step := range []struct {
		after  time.Duration
		listed []hornbeamwell.Target
		want   int
	}{
		{0, []hornbeamwell.Target{a, b}, 2},
		{time.Second, nil, 2},
		{time.Second, []hornbeamwell.Target{a}, 2},
		{time.Second, []hornbeamwell.Target{a, b}, 2},
		{time.Second, []hornbeamwell.Target{a, gone}, 2},
		{time.Second, []hornbeamwell.Target{a}, 1},
		{time.Second, nil, 1},
		{missingRetention / 2, nil, 1},
		{missingRetention / 2, nil, 0},
	} {
		now = now.Add(step.after)
		if got := cache.merge(now, step.listed); len(got) != step.want {
			t.Errorf("after %s: %d targets from a list of %d, want %d", now.Sub(time.Unix(1000, 0)), len(got), len(step.listed), step.want)
		}
	}
}
