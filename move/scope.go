package move

// scopeKind is what the calls of a scope have in common.
type scopeKind string

const (
	scopeOverall scopeKind = "all routes"
	scopeRoute   scopeKind = "route"
	scopeZone    scopeKind = "zone"
)

// scopeKinds shares the false alarms equally among the kinds of scopes.
const scopeKinds = 3

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
	// verdict compares both versions within each slot and bounds the gain of
	// one slot. alarm is quicker: it has no such bound, compares with earlier
	// slots where the old version has no calls, and starts again with each
	// share.
	verdict, alarm         processes
	slotVerdict, slotAlarm [signalCount]scores
	// total is the proof since the evidence began, stage since the last
	// change of share.
	total, stage proof
	// seen counts every call since the evidence began.
	seen pair
	// quiet is the number of slots since the last call.
	quiet int
}

func newScope() *scope {
	return &scope{verdict: newProcesses(), alarm: newProcesses()}
}

// startStage starts what belongs to one share again.
func (s *scope) startStage() {
	s.stage = proof{}
	s.alarm = newProcesses()
}

// add scores the calls of one cell.
func (s *scope) add(against, alarm *[signalCount]scores) {
	for i := range against {
		s.slotVerdict[i].add(&against[i])
		s.slotAlarm[i].add(&alarm[i])
	}
}

// quietSlots is the number of slots without calls after which a route counts as
// gone: its calls end when the routes change, and some routes have next to none.
const quietSlots = 30

// isQuiet reports whether there were no calls for long.
func (s *scope) isQuiet() bool { return s.quiet > quietSlots }

// closeSlot moves the scores of the slot into the processes.
func (s *scope) closeSlot(gain, startWeight float64) {
	s.quiet++
	s.verdict.fold(&s.slotVerdict, gain, startWeight)
	s.alarm.fold(&s.slotAlarm, maxAlarmGain, startWeight)
	s.total.closeSlot()
	s.stage.closeSlot()
	s.slotVerdict, s.slotAlarm = [signalCount]scores{}, [signalCount]scores{}
}

// maxAlarmGain keeps the evidence of an alarm finite.
const maxAlarmGain = 100
