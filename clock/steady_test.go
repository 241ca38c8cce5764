package clock

import (
	"testing"
	"time"
)

func TestSteadyIgnoresWallClock(t *testing.T) {
	t.Parallel()
	start := time.Date(2001, 2, 3, 4, 5, 6, 0, time.UTC)
	steady, err := NewSteady(start)
	if err != nil {
		t.Fatal(err)
	}
	first := steady.Now()
	time.Sleep(10 * time.Millisecond)
	second := steady.Now()
	if passed := second.Sub(first); passed < 10*time.Millisecond || passed > 10*time.Second {
		t.Errorf("the clock advanced by %s in 10 ms", passed)
	}
	if since := second.Sub(start); since < 10*time.Millisecond || since > time.Minute {
		t.Errorf("the clock is %s after its start time", since)
	}
	if second != second.Round(0) {
		t.Error("the time has a monotonic reading, which stops while the machine is suspended")
	}
}
