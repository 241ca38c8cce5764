package delivery

import "testing"

func TestFollowerBackoffIsShorter(t *testing.T) {
	upstream := NewUpstream(UpstreamOptions{})
	for range 50 {
		if wait := upstream.link.backoff.next(); wait > maxSourceBackoff {
			t.Fatalf("a follower waits %s before the next attempt, which is more than maxSourceBackoff", wait)
		}
	}
}
