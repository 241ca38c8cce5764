package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// life is what a leader saw of one target during a move.
type life struct {
	version     string
	incarnation uint64
	isReady     bool
	restarts    int
}

// fleets watches the targets of a move.
type fleets struct {
	lives        map[string]*life
	missingSince map[string]time.Time
}

func newFleets() *fleets {
	return &fleets{lives: map[string]*life{}, missingSince: map[string]time.Time{}}
}

// watch takes the present targets of the service of a move. It is called when
// they changed.
func (f *fleets) watch(now time.Time, m hornbeamwell.Move, targets []hornbeamwell.Target) (from, to Fleet) {
	present := map[string]*Fleet{m.From: {}, m.To: {}}
	ids := map[string]bool{}
	for i := range targets {
		t := &targets[i]
		fleet := present[t.Version]
		if fleet == nil {
			continue
		}
		ids[t.ID] = true
		f.see(t)
		if t.State == hornbeamwell.TargetReady {
			fleet.Ready++
			fleet.Slots += t.Slots
		}
	}
	f.loseAbsent(ids)
	f.count(present)
	return f.since(now, m.From, *present[m.From]), f.since(now, m.To, *present[m.To])
}

// see counts a restart when the incarnation of a target grew, and a crash when
// a ready target is gone without draining.
func (f *fleets) see(t *hornbeamwell.Target) {
	l, ok := f.lives[t.ID]
	if !ok || l.version != t.Version {
		l = &life{version: t.Version, incarnation: t.Incarnation}
		f.lives[t.ID] = l
	}
	isCrash := l.isReady && t.State == hornbeamwell.TargetGone
	isRestart := t.Incarnation > l.incarnation && l.isReady
	if isCrash || isRestart {
		l.restarts++
	}
	l.incarnation = t.Incarnation
	l.isReady = t.State == hornbeamwell.TargetReady
}

// loseAbsent counts a crash of each ready target that is no longer present.
func (f *fleets) loseAbsent(present map[string]bool) {
	for id, l := range f.lives {
		if !present[id] && l.isReady {
			l.isReady = false
			l.restarts++
		}
	}
}

func (f *fleets) count(present map[string]*Fleet) {
	for _, l := range f.lives {
		fleet := present[l.version]
		if fleet == nil {
			continue
		}
		fleet.Targets++
		fleet.Restarts += l.restarts
		fleet.MaxRestarts = max(fleet.MaxRestarts, l.restarts)
	}
}

// since keeps the time since when no target of the version was ready.
func (f *fleets) since(now time.Time, version string, fleet Fleet) Fleet {
	if fleet.Ready > 0 {
		delete(f.missingSince, version)
		return fleet
	}
	if _, ok := f.missingSince[version]; !ok {
		f.missingSince[version] = now
	}
	fleet.MissingSince = f.missingSince[version]
	return fleet
}
