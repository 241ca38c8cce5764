package route

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func limitOf(perSecond float64) hornbeamwell.RateLimit {
	return hornbeamwell.RateLimit{IsLimited: true, PerSecond: perSecond}
}

// TestRateLimitOutlivesOlderResponses guards against a limit that is lifted by a
// response which the target sent before it stated the limit and which was read later.
func TestRateLimitOutlivesOlderResponses(t *testing.T) {
	var l RateLimiter
	start := time.Unix(1000, 0)
	sentBefore := start.Add(-50 * time.Millisecond)
	if !l.Observe(start, sentBefore, limitOf(20)) {
		t.Fatal("a stated limit changed nothing")
	}
	if l.Observe(start.Add(time.Millisecond), sentBefore, hornbeamwell.RateLimit{}) || l.Limit() != limitOf(20) {
		t.Errorf("a response to an earlier call changed the limit to %s", l.Limit())
	}
	if !l.Observe(start.Add(2*time.Millisecond), sentBefore, limitOf(10)) {
		t.Error("a stated change of the limit was ignored")
	}
	sentAfter := start.Add(10 * time.Millisecond)
	if !l.Observe(start.Add(60*time.Millisecond), sentAfter, hornbeamwell.RateLimit{}) || l.Limit().IsLimited {
		t.Errorf("the limit is still %s after a response without one to a later call", l.Limit())
	}
}
