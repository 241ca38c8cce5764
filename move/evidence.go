package move

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// cell is one route in one availability zone.
type cell struct {
	route, zone string
}

// Evidence is what the leader collected about one move since it began to lead.
// The evidence against the new version goes on over the stages; the proof of a
// stage starts again with each share.
type Evidence struct {
	policy                    Policy
	signals                   [signalCount]signal
	service, oldName, newName string
	// slotAt is the start of the open slot.
	slotAt time.Time
	// settledAt is the time from which calls count for the present stage.
	settledAt time.Time
	open      map[cell]*pair
	// last holds the calls of the last slot that is closed.
	last      pair
	lastFor   time.Duration
	scopes    map[scopeKey]*scope
	baselines map[string]*baseline
	// verdict is the judgement as of the last closed slot.
	verdict Verdict
	// startWeight is the weight of badness that starts in one slot.
	startWeight float64
}

// NewEvidence returns empty evidence about a move.
func NewEvidence(policy Policy, m hornbeamwell.Move, now time.Time) *Evidence {
	slots := max(int64(m.Deadline.Add(m.Hold).Sub(now)/policy.Slot), 60)
	e := &Evidence{
		policy:      policy,
		signals:     policy.signals(),
		service:     m.Service,
		oldName:     m.From,
		newName:     m.To,
		slotAt:      now,
		open:        map[cell]*pair{},
		scopes:      map[scopeKey]*scope{},
		baselines:   map[string]*baseline{},
		startWeight: (1 - firstWeight) / float64(slots),
	}
	e.StartStage(now)
	e.verdict = e.judge()
	return e
}

// StartStage starts the proof of a stage again. Calls of the next Settle may
// belong to the stage before and do not count for it.
func (e *Evidence) StartStage(now time.Time) {
	e.settledAt = now.Add(e.policy.Settle)
	for _, s := range e.scopes {
		s.stage = proof{}
	}
}

// Add takes observations. Those of other services and versions are ignored.
func (e *Evidence) Add(now time.Time, observations ...hornbeamwell.Observation) {
	e.Fold(now)
	for i := range observations {
		o := &observations[i]
		if o.Key.Service != e.service || o.Key.Version != e.oldName && o.Key.Version != e.newName {
			continue
		}
		seen := e.openPair(cell{route: o.Key.Route, zone: o.Key.Zone})
		if o.Key.Version == e.newName {
			seen.fresh.add(o)
		} else {
			seen.old.add(o)
		}
	}
}

func (e *Evidence) openPair(c cell) *pair {
	seen, ok := e.open[c]
	if !ok {
		seen = &pair{}
		e.open[c] = seen
	}
	return seen
}

// Fold closes the open slot once its time is over.
func (e *Evidence) Fold(now time.Time) {
	if now.Sub(e.slotAt) < e.policy.Slot {
		return
	}
	e.last = pair{}
	e.lastFor = now.Sub(e.slotAt)
	for _, c := range slices.SortedFunc(maps.Keys(e.open), compareCells) {
		e.score(c, e.open[c], !e.slotAt.Before(e.settledAt))
	}
	for _, s := range e.scopes {
		s.closeSlot(e.policy.SlotGain, e.startWeight)
	}
	clear(e.open)
	e.slotAt = now
	e.verdict = e.judge()
}

// score adds the calls of one cell to every scope that they belong to.
func (e *Evidence) score(c cell, seen *pair, isSettled bool) {
	base := e.baseline(c.route)
	blocks := e.policy.blocks(seen, base)
	against := [signalCount]scores{}
	for i, s := range e.signals {
		against[i] = s.against(blocks[i])
	}
	gained := proof{}
	gained.fold(blocks, seen.fresh.calls)
	for _, key := range []scopeKey{{kind: scopeOverall}, {scopeRoute, c.route}, {scopeZone, c.zone}} {
		s := e.scope(key)
		s.seen.merge(seen)
		for i := range against {
			s.slot[i].add(&against[i])
		}
		s.total.merge(&gained)
		if isSettled {
			s.stage.merge(&gained)
		}
	}
	base.fold(&seen.old)
	e.last.merge(seen)
}

func (e *Evidence) baseline(route string) *baseline {
	b, ok := e.baselines[route]
	if !ok {
		b = &baseline{}
		e.baselines[route] = b
	}
	return b
}

func (e *Evidence) scope(key scopeKey) *scope {
	s, ok := e.scopes[key]
	if !ok {
		s = newScope()
		e.scopes[key] = s
	}
	return s
}

// sortedScopes returns the scopes of a kind by name.
func (e *Evidence) sortedScopes(kind scopeKind) []scopeKey {
	keys := []scopeKey{}
	for key := range e.scopes {
		if key.kind == kind {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b scopeKey) int { return strings.Compare(a.name, b.name) })
	return keys
}

func compareCells(a, b cell) int {
	return cmp.Or(strings.Compare(a.route, b.route), strings.Compare(a.zone, b.zone))
}
