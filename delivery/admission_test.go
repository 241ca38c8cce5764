package delivery

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAdmissionSpreadsAHerd checks that many subscribers, which arrive evenly
// spread over a time of up to five seconds, are admitted within a bounded time
// and that no second admits more than the rate and the burst allow.
func TestAdmissionSpreadsAHerd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		a := newAdmission(250, 100)
		subscribers := rapid.IntRange(1, 3000).Draw(t, "subscribers")
		window := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "window"))
		admitted := make([]time.Time, 0, subscribers)
		for i := range subscribers {
			at := start.Add(window * time.Duration(i) / time.Duration(subscribers))
			var ticket int64
			for {
				wait, next := a.admit(at, ticket)
				if wait == 0 {
					break
				}
				at, ticket = at.Add(wait), next
			}
			admitted = append(admitted, at)
		}
		slices.SortFunc(admitted, time.Time.Compare)
		for i := range admitted {
			last := i + 250 + 100 + 1
			if last < len(admitted) && admitted[last].Sub(admitted[i]) < time.Second {
				t.Fatalf("more than %d sessions are admitted within a second, which exceeds the rate and the burst", last-i)
			}
		}
		limit := window + time.Duration(subscribers)*time.Second/250 + time.Second
		if took := admitted[len(admitted)-1].Sub(start); took > limit {
			t.Fatalf("the last of %d subscribers is admitted after %v, want at most %v", subscribers, took, limit)
		}
	})
}
