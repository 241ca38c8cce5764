package proxy

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// missingRetention is the time for which a target that is missing from the list stays
// in use. A source that starts again knows no target before the proxies beside
// them have found it; a target that leaves is listed as gone.
const missingRetention = 10 * time.Second

// targetCache is the targets as a proxy knows them over the lists of several
// sources.
type targetCache struct {
	targets map[string]cachedTarget
}

type cachedTarget struct {
	hornbeamwell.Target
	// missingSince is zero while the target is listed.
	missingSince time.Time
}

// merge takes a list of targets and returns it with those that are missing.
func (p *targetCache) merge(now time.Time, listed []hornbeamwell.Target) []hornbeamwell.Target {
	next := make(map[string]cachedTarget, len(listed))
	for _, t := range listed {
		next[t.ID] = cachedTarget{Target: t}
	}
	merged := listed
	for id, t := range p.targets {
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
	p.targets = next
	return merged
}
