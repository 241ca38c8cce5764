package delivery

import "testing"

func TestFollowersComeBackSoonerThanProxies(t *testing.T) {
	upstream := NewUpstream(UpstreamOptions{})
	for range 50 {
		if wait := upstream.link.backoff.next(); wait > sourceBackoffCap {
			t.Fatalf("a follower waits %s for the new leader", wait)
		}
	}
}
