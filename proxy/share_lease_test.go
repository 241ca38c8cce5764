package proxy

import (
	"testing"
	"time"
)

// TestShareLeaseEndsWhileSuspended suspends the machine of a proxy: the clock by
// which calls are timed stands still, that of the lease does not.
func TestShareLeaseEndsWhileSuspended(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	leaseNow := start
	p := New(Options{
		Instance: "a", Zone: "north", LeaseNow: func() time.Time { return leaseNow },
		Now: func() time.Time { return start },
	})
	if p.isShareLeased(p.options.LeaseNow()) {
		t.Error("leased before the first lease")
	}
	p.SetShareLease(start.Add(time.Second))
	if !p.isShareLeased(p.options.LeaseNow()) {
		t.Error("not leased within the lease")
	}
	leaseNow = start.Add(5 * time.Second)
	if p.isShareLeased(p.options.LeaseNow()) {
		t.Error("leased after the lease ended during the suspension")
	}
}
