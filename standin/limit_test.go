package standin

import (
	"net/http"
	"testing"
	"time"
)

func TestLiftRateLimitCountsCallsFromNoticeOn(t *testing.T) {
	t.Parallel()
	target := &Target{}
	target.StateRateLimit(2)
	now := time.Unix(1000, 0)
	h := http.Header{}
	target.rate.setHeader(now, h)
	if got := h.Get(HeaderRateLimit); got != "2" {
		t.Errorf("the stated limit is %q", got)
	}
	// 20 calls before the limit holds, and 18 within a second after that.
	for range 20 {
		target.rate.record(now.Add(RateNotice - time.Millisecond))
	}
	for i := range 18 {
		target.rate.record(now.Add(RateNotice + time.Duration(i)*50*time.Millisecond))
	}
	if calls, allowed := target.LiftRateLimit(); calls != 18 || allowed != 17 {
		t.Errorf("%d calls of %d allowed ones, want 18 of 17", calls, allowed)
	}
	h = http.Header{}
	if target.rate.setHeader(now, h); len(h) > 0 {
		t.Errorf("headers %v after the limit was lifted", h)
	}
}
