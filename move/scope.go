package move

// scopeKind is what the calls of a scope have in common.
type scopeKind string

const (
	scopeOverall scopeKind = "all routes"
	scopeRoute   scopeKind = "route"
	scopeZone    scopeKind = "zone"
)

// scopeKindCount shares the false alarms equally among the kinds of scopes.
const scopeKindCount = 3

// scopeKey names a scope.
type scopeKey struct {
	kind scopeKind
	name string
}

func (k scopeKey) String() string {
	if k.name == "" {
		return string(k.kind)
	}
	return string(k.kind) + " " + k.name
}

// scope is the evidence from a part of the calls.
type scope struct {
	// verdict compares both versions within each interval and bounds the gain of
	// one interval. alarm is quicker: it has no such bound, compares with earlier
	// intervals where the old version has no calls, and starts again with each
	// share.
	verdict, alarm         eProcesses
	intervalVerdict, intervalAlarm [signalCount]scores
	// total is the proof since the evidence began, stage since the last
	// change of share.
	total, stage proof
	// seen counts every call since the evidence began.
	seen pair
	// idle is the number of intervals since the last call.
	idle int
}

func newScope() *scope {
	return &scope{verdict: newEProcesses(), alarm: newEProcesses()}
}

// startStage starts what belongs to one share again.
func (s *scope) startStage() {
	s.stage = proof{}
	s.alarm = newEProcesses()
}

// add scores the calls of one cell.
func (s *scope) add(against, alarm *[signalCount]scores) {
	for i := range against {
		s.intervalVerdict[i].add(&against[i])
		s.intervalAlarm[i].add(&alarm[i])
	}
}

// idleIntervals is the number of intervals without calls after which a route counts as
// gone: its calls end when the routes change, and some routes have next to none.
const idleIntervals = 30

// isIdle reports whether there were no calls for long.
func (s *scope) isIdle() bool { return s.idle > idleIntervals }

// closeInterval moves the scores of the interval into the processes.
func (s *scope) closeInterval(gain, startWeight float64) {
	s.idle++
	s.verdict.add(&s.intervalVerdict, gain, startWeight)
	s.alarm.add(&s.intervalAlarm, maxAlarmGain, startWeight)
	s.total.closeInterval()
	s.stage.closeInterval()
	s.intervalVerdict, s.intervalAlarm = [signalCount]scores{}, [signalCount]scores{}
}

// maxAlarmGain keeps the evidence of an alarm finite.
const maxAlarmGain = 100
