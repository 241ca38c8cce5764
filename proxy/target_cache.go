package proxy

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// missingRetention is the time for which a target that is missing from the list
// is kept. A source that has restarted lists no targets until their proxies
// have connected to it. The lists for proxies omit targets that are gone, so a
// target that left is missing too. One that was last listed as draining is kept
// only for what still refers to it: it gets no new calls, and its proxy no longer
// takes part in quotas.
const missingRetention = 10 * time.Second

// targetCache merges the target lists that a proxy receives from several
// sources.
type targetCache struct {
	targets map[string]cachedTarget
}

type cachedTarget struct {
	hornbeamwell.Target
	// missingSince is zero while the target is listed.
	missingSince time.Time
}

// merge records a list of targets and returns it together with the missing
// targets that are still kept.
func (c *targetCache) merge(now time.Time, listed []hornbeamwell.Target) []hornbeamwell.Target {
	next := make(map[string]cachedTarget, len(listed))
	for _, t := range listed {
		next[t.ID] = cachedTarget{Target: t}
	}
	merged := listed
	for id, t := range c.targets {
		if _, found := next[id]; found || t.State == hornbeamwell.TargetGone {
			continue
		}
		if t.missingSince.IsZero() {
			t.missingSince = now
		}
		if now.Sub(t.missingSince) >= missingRetention {
			continue
		}
		next[id] = t
		merged = append(merged[:len(merged):len(merged)], t.Target)
	}
	c.targets = next
	return merged
}

// maxLeftShare is the share of the targets up to which missing ones have left. A source that
// has restarted lacks most of them.
const maxLeftShare = 0.125

// quotaMembers returns the proxies that take part in quotas. Those of missing targets
// do so for missingRetention where many are missing at once. Few missing targets have left:
// some deregister without draining, so that the last list showed them as ready. A target
// that was draining when it was last listed has left in any case.
func (c *targetCache) quotaMembers() []quotaMember {
	missing := 0
	for _, t := range c.targets {
		if t.isMissingReady() {
			missing++
		}
	}
	haveLeft := float64(missing) <= maxLeftShare*float64(len(c.targets))
	members := make([]quotaMember, 0, len(c.targets))
	for _, t := range c.targets {
		switch {
		case t.State == hornbeamwell.TargetGone:
		case t.missingSince.IsZero():
			members = append(members, quotaMember{exit: t.Exit})
		case t.isMissingReady() && !haveLeft:
			members = append(members, quotaMember{exit: t.Exit, until: t.missingSince.Add(missingRetention)})
		}
	}
	return members
}

func (t *cachedTarget) isMissingReady() bool {
	return !t.missingSince.IsZero() && t.State == hornbeamwell.TargetReady
}
