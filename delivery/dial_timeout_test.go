package delivery

import (
	"testing"
	"time"
)

// TestDialTimeoutGrowsWhileNoSourceResponds guards against a proxy that never connects
// again because a round trip on its congested link takes longer than the dial timeout.
// The first two dials stay short, for the case that a minority of the sources is cut off.
func TestDialTimeoutGrowsWhileNoSourceResponds(t *testing.T) {
	l := &link{timing: SiteTiming()}
	for failures, want := range []time.Duration{
		300 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 1200 * time.Millisecond,
	} {
		l.dialFailures = failures
		if got := l.dialTimeout(); got != want {
			t.Errorf("dial timeout after %d failures is %s, want %s", failures, got, want)
		}
	}
}
