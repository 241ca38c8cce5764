package proxy

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// missingRetention is the time for which a target that is missing from the list
// is kept. A source that has restarted lists no targets until their proxies
// have connected to it. A target that leaves is listed as gone.
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
