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

// cellLatencies are the latencies of both versions in a cell.
type cellLatencies struct {
	old, canary hornbeamwell.LatencyHistogram
}

// Evidence is what the leader collected about one move since it became leader.
// The evidence against the canary accumulates over all stages; the proof of a
// stage restarts with each share.
type Evidence struct {
	policy                          Policy
	signals                         [signalCount]signal
	service, oldVersion, newVersion string
	// intervalAt is the start of the open interval. Calls are compared per
	// interval of Policy.Interval.
	intervalAt time.Time
	// settledAt is the time from which calls count for the present stage, and
	// isSettled is true once an interval that began at or after it was closed.
	settledAt time.Time
	isSettled bool
	// inForceAt is the time from which every live proxy is expected to apply the
	// present share. Calls that the canary lacked before it are not counted.
	inForceAt time.Time
	// share is that of the present stage. fallbacks counts the stages whose share
	// was not above the previous one, such as those for a comparison.
	share     hornbeamwell.Share
	fallbacks int
	// missedIntervals is the number of consecutive intervals up to the last closed
	// one in which the canary received at most the starved fraction of its expected
	// calls, also if none were expected. missed is the number of calls that it
	// lacked in them.
	missed          float64
	missedIntervals int
	// open holds the calls of the open interval, last those of the last closed
	// one, which took lastDuration.
	open         map[cell]*pair
	last         pair
	lastDuration time.Duration
	scopes       map[scopeKey]*scope
	// cells holds the latencies of each cell since the evidence began.
	cells map[cell]*cellLatencies
	// slowness is the evidence after the last closed interval. It is measured only where the
	// policy has a bound for it.
	slowness  slowness
	baselines map[string]*baseline
	// verdict is the verdict after the last closed interval or, if it is later, the
	// last start of a stage.
	verdict Verdict
	// durable holds the figures that an earlier leader committed with the move
	// before this evidence began.
	durable hornbeamwell.MoveFigures
	// startWeight is the prior weight of a fault that starts in one interval.
	startWeight float64
}

// NewEvidence returns empty evidence about a move.
func NewEvidence(policy Policy, m hornbeamwell.Move, now time.Time) *Evidence {
	// The prior weight is spread over at least 60 intervals.
	intervals := max(int64(m.Deadline.Add(m.Hold).Sub(now)/policy.Interval), 60)
	e := &Evidence{
		policy:      policy,
		signals:     policy.signals(),
		service:     m.Service,
		oldVersion:  m.From,
		newVersion:  m.To,
		intervalAt:  now,
		open:        map[cell]*pair{},
		scopes:      map[scopeKey]*scope{},
		cells:       map[cell]*cellLatencies{},
		baselines:   map[string]*baseline{},
		durable:     m.Figures,
		startWeight: (1 - initialWeight) / float64(intervals),
	}
	e.StartStage(now, m.Share)
	return e
}

// StartStage restarts the proof and the alarm for a new stage. Calls within the next
// SettleTime may belong to the previous stage and do not count for the new one. A
// share that is not above the previous one counts as a fallback.
func (e *Evidence) StartStage(now time.Time, share hornbeamwell.Share) {
	if e.share > 0 && share <= e.share {
		e.fallbacks++
	}
	e.share = share
	e.missed, e.missedIntervals = 0, 0
	e.settledAt = now.Add(e.policy.SettleTime)
	e.inForceAt = now.Add(e.policy.InForceTimeout)
	e.isSettled = false
	e.restartStage()
}

// MarkInForce records that every live proxy applies the share of the present stage.
// Intervals that begin at least Policy.Interval later count for the stage.
func (e *Evidence) MarkInForce(now time.Time) {
	settled := now.Add(e.policy.Interval)
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

// Add adds observations to the open interval and closes it if its time is over.
// Observations of other services and versions are ignored.
func (e *Evidence) Add(now time.Time, observations ...hornbeamwell.Observation) {
	for i := range observations {
		o := &observations[i]
		if o.Key.Service != e.service || o.Key.Version != e.oldVersion && o.Key.Version != e.newVersion {
			continue
		}
		seen := e.openPair(cell{route: o.Key.Route, zone: o.Key.Zone})
		if o.Key.Version == e.newVersion {
			seen.canary.add(o)
		} else {
			seen.old.add(o)
		}
	}
	e.CloseInterval(now)
}

func (e *Evidence) openPair(c cell) *pair {
	seen, ok := e.open[c]
	if !ok {
		seen = &pair{}
		e.open[c] = seen
	}
	return seen
}

// CloseInterval closes the open interval if its time is over: it scores its calls
// and updates the verdict.
func (e *Evidence) CloseInterval(now time.Time) {
	if now.Sub(e.intervalAt) < e.policy.Interval {
		return
	}
	if !e.isSettled && !e.intervalAt.Before(e.settledAt) {
		e.isSettled = true
		e.restartStage()
	}
	e.last = pair{}
	e.lastDuration = now.Sub(e.intervalAt)
	for _, c := range slices.SortedFunc(maps.Keys(e.open), compareCells) {
		e.score(c, e.open[c], e.callsToCompare(c))
	}
	for _, s := range e.scopes {
		s.closeInterval(e.policy.MaxIntervalGain, e.startWeight)
	}
	if e.policy.PartThresholds.MinSlowness > 0 && e.last.canary.calls > 0 {
		e.slowness = measureSlowness(e.comparisons())
	}
	e.countMissed()
	clear(e.open)
	e.intervalAt = now
	e.verdict = e.judge()
}

// callsToCompare returns the calls to compare in a cell. If the old version has
// no calls in the availability zone of the cell, its calls on the route in all
// zones are used.
func (e *Evidence) callsToCompare(c cell) *pair {
	seen := e.open[c]
	if seen.old.calls > 0 || seen.canary.calls == 0 {
		return seen
	}
	compared := &pair{canary: seen.canary}
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
		against[i] = s.compare(blocks[i])
		alarm[i] = against[i]
		if blocks[i].old.n == 0 && base.hasFailureRate() {
			alarm[i] = s.compareHistory(blocks[i])
		}
	}
	gained := scoreHealth(blocks, seen.canary.calls)
	for _, key := range []scopeKey{{kind: scopeOverall}, {scopeRoute, c.route}, {scopeZone, c.zone}} {
		s := e.scope(key)
		s.seen.merge(seen)
		s.idle = 0
		s.add(&against, &alarm)
		s.total.interval.add(&gained)
		if e.isSettled {
			s.stage.interval.add(&gained)
		}
	}
	e.addLatencies(c, seen)
	base.add(&seen.old)
	e.last.merge(seen)
}

// addLatencies adds the calls of a cell to its latencies.
func (e *Evidence) addLatencies(c cell, seen *pair) {
	l, found := e.cells[c]
	if !found {
		l = &cellLatencies{}
		e.cells[c] = l
	}
	l.old.Merge(&seen.old.latency)
	l.canary.Merge(&seen.canary.latency)
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

// sortedScopes returns the keys of the scopes of a kind, sorted by name.
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
