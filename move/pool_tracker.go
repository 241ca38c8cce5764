package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// targetHistory is what the leader recorded about one target during a move.
type targetHistory struct {
	version     string
	incarnation uint64
	isReady     bool
	restarts    int
}

// poolTracker summarizes the targets of both versions of a move and counts their
// restarts.
type poolTracker struct {
	// targets holds the history of each target by id, emptySince the time from
	// which a version had no ready target, by version.
	targets    map[string]*targetHistory
	emptySince map[string]time.Time
}

func newPoolTracker() *poolTracker {
	return &poolTracker{targets: map[string]*targetHistory{}, emptySince: map[string]time.Time{}}
}

// update records the present targets of the service of a move and returns the
// pools of both versions, for which the evacuated zones are given. It is called once for a new move, and then whenever the
// targets or the configuration changed.
func (p *poolTracker) update(now time.Time, m hornbeamwell.Move, targets []hornbeamwell.Target, evacuated map[string]bool) (from, to Pool) {
	pools := map[string]*Pool{m.From: {}, m.To: {}}
	ids := map[string]bool{}
	for i := range targets {
		t := &targets[i]
		pool := pools[t.Version]
		if pool == nil {
			continue
		}
		ids[t.ID] = true
		p.observe(t)
		if t.State != hornbeamwell.TargetReady {
			continue
		}
		pool.Ready++
		if evacuated[t.Zone] {
			pool.Evacuated++
			continue
		}
		pool.Slots += t.Slots
	}
	p.countAbsent(ids)
	p.addHistories(pools)
	return p.setEmptySince(now, m.From, *pools[m.From]), p.setEmptySince(now, m.To, *pools[m.To])
}

// observe counts a restart if the incarnation of a ready target increased, and a
// crash if a ready target is gone without draining.
func (p *poolTracker) observe(t *hornbeamwell.Target) {
	h, ok := p.targets[t.ID]
	if !ok || h.version != t.Version {
		h = &targetHistory{version: t.Version, incarnation: t.Incarnation}
		p.targets[t.ID] = h
	}
	isCrash := h.isReady && t.State == hornbeamwell.TargetGone
	isRestart := t.Incarnation > h.incarnation && h.isReady
	if isCrash || isRestart {
		h.restarts++
	}
	h.incarnation = t.Incarnation
	h.isReady = t.State == hornbeamwell.TargetReady
}

// countAbsent counts a crash of each ready target that is no longer present.
func (p *poolTracker) countAbsent(present map[string]bool) {
	for id, h := range p.targets {
		if !present[id] && h.isReady {
			h.isReady = false
			h.restarts++
		}
	}
}

func (p *poolTracker) addHistories(pools map[string]*Pool) {
	// Targets that are no longer present count as well.
	for _, h := range p.targets {
		pool := pools[h.version]
		if pool == nil {
			continue
		}
		pool.Targets++
		pool.Restarts += h.restarts
		pool.MaxRestarts = max(pool.MaxRestarts, h.restarts)
	}
}

// setEmptySince records since when the version has no ready target and returns the
// pool with that time.
func (p *poolTracker) setEmptySince(now time.Time, version string, pool Pool) Pool {
	if pool.Ready > 0 {
		delete(p.emptySince, version)
		return pool
	}
	if _, ok := p.emptySince[version]; !ok {
		p.emptySince[version] = now
	}
	pool.EmptySince = p.emptySince[version]
	return pool
}
