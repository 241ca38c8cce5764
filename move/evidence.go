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
	isSettled bool
	// inForceAt is the time from which every proxy is taken to have the
	// present share in force.
	inForceAt time.Time
	// share is that of the present stage, and fallbacks the number of times
	// that it was lowered.
	share     hornbeamwell.Share
	fallbacks int
	// missed is the number of calls that the new version should have received
	// over the last missedSlots, in which it received next to none.
	missed      float64
	missedSlots int
	open        map[cell]*pair
	// last holds the calls of the last slot that is closed.
	last      pair
	lastFor   time.Duration
	scopes    map[scopeKey]*scope
	baselines map[string]*baseline
	// verdict is the judgement as of the last closed slot.
	verdict Verdict
	// durable holds the figures of the last durable step, which outlive a
	// change of leader.
	durable hornbeamwell.MoveFigures
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
		durable:     m.Figures,
		startWeight: (1 - firstWeight) / float64(slots),
	}
	e.StartStage(now, m.Share)
	return e
}

// StartStage starts the proof of a stage again. Calls of the next Settle may
// belong to the stage before and do not count for it. A share that is not
// above that of the stage before is for a comparison.
func (e *Evidence) StartStage(now time.Time, share hornbeamwell.Share) {
	if e.share > 0 && share <= e.share {
		e.fallbacks++
	}
	e.share = share
	e.missed, e.missedSlots = 0, 0
	e.settledAt = now.Add(e.policy.Settle)
	e.inForceAt = now.Add(e.policy.InForceTimeout)
	e.isSettled = false
	e.restartStage()
}

// InForce says that the share of the present stage is in force on every proxy,
// so that calls of later slots belong to it.
func (e *Evidence) InForce(now time.Time) {
	settled := now.Add(e.policy.Slot)
	if settled.Before(e.settledAt) {
		e.settledAt = settled
	}
	if settled.Before(e.inForceAt) {
		e.inForceAt = settled
	}
}

func (e *Evidence) restartStage() {
	for _, s := range e.scopes {
		s.startStage()
	}
	e.verdict = e.judge()
}

// Add takes observations. Those of other services and versions are ignored.
func (e *Evidence) Add(now time.Time, observations ...hornbeamwell.Observation) {
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
	e.Fold(now)
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
	if !e.isSettled && !e.slotAt.Before(e.settledAt) {
		e.isSettled = true
		e.restartStage()
	}
	e.last = pair{}
	e.lastFor = now.Sub(e.slotAt)
	for _, c := range slices.SortedFunc(maps.Keys(e.open), compareCells) {
		e.score(c, e.open[c], e.comparable(c))
	}
	for _, s := range e.scopes {
		s.closeSlot(e.policy.SlotGain, e.startWeight)
	}
	e.countMissed()
	clear(e.open)
	e.slotAt = now
	e.verdict = e.judge()
}

// comparable returns the calls to compare in a cell. The old version's calls
// of other availability zones stand in where it has none in the cell's own.
func (e *Evidence) comparable(c cell) *pair {
	seen := e.open[c]
	if seen.old.calls > 0 || seen.fresh.calls == 0 {
		return seen
	}
	compared := &pair{fresh: seen.fresh}
	for other, elsewhere := range e.open {
		if other.route == c.route {
			compared.old.merge(&elsewhere.old)
		}
	}
	return compared
}

// score adds the calls of one cell to every scope that they belong to.
func (e *Evidence) score(c cell, seen, compared *pair) {
	base := e.baseline(c.route)
	blocks := e.policy.blocks(compared, base)
	against, alarm := [signalCount]scores{}, [signalCount]scores{}
	for i, s := range e.signals {
		against[i] = s.against(blocks[i])
		alarm[i] = against[i]
		if blocks[i].old.n == 0 && base.knowsFailures() {
			alarm[i] = s.surprise(blocks[i])
		}
	}
	gained := evidenceForHealth(blocks, seen.fresh.calls)
	for _, key := range []scopeKey{{kind: scopeOverall}, {scopeRoute, c.route}, {scopeZone, c.zone}} {
		s := e.scope(key)
		s.seen.merge(seen)
		s.quiet = 0
		s.add(&against, &alarm)
		s.total.slot.add(&gained)
		if e.isSettled {
			s.stage.slot.add(&gained)
		}
	}
	base.fold(&seen.old)
	e.last.merge(seen)
}

func (e *Evidence) baseline(route string) *baseline {
	b, ok := e.baselines[route]
	if !ok {
		b = newBaseline(e.durable)
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
