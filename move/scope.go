package move

// scopeKind is the property that the calls of a scope have in common.
type scopeKind string

const (
	scopeOverall scopeKind = "all routes"
	scopeRoute   scopeKind = "route"
	scopeZone    scopeKind = "zone"
)

// scopeKindCount is the number of kinds of scopes, which have equal parts of the
// false alarm rate.
const scopeKindCount = 3

// scopeKey identifies a scope. The name of the overall scope is empty.
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

// scope is the evidence from all calls, or from those of one route or availability
// zone.
type scope struct {
	// verdict compares both versions within each interval and bounds the gain of
	// one interval. alarm reacts faster: its bound is much higher, it compares
	// with earlier intervals if the old version has no calls, and it restarts with
	// each share.
	verdict, alarm                 eProcesses
	intervalVerdict, intervalAlarm [signalCount]scores
	// total is the proof since the evidence began, stage that at the present share,
	// without calls that may belong to the previous one.
	total, stage proof
	// seen counts every call since the evidence began.
	seen pair
	// idle counts the closed intervals from that of the last call on, which is
	// included.
	idle int
}

func newScope() *scope {
	return &scope{verdict: newEProcesses(), alarm: newEProcesses()}
}

// startStage restarts the proof and the alarm of the stage.
func (s *scope) startStage() {
	s.stage = proof{}
	s.alarm = newEProcesses()
}

// add adds the scores of one cell.
func (s *scope) add(against, alarm *[signalCount]scores) {
	for i := range against {
		s.intervalVerdict[i].add(&against[i])
		s.intervalAlarm[i].add(&alarm[i])
	}
}

// idleIntervals is the number of intervals without calls after which a route needs
// no proof: its calls end when the routes change, and some routes have almost none.
const idleIntervals = 30

// isIdle reports whether there were no calls in the last idleIntervals closed
// intervals.
func (s *scope) isIdle() bool { return s.idle > idleIntervals }

// closeInterval adds the scores of the interval to the e-processes and the proofs.
func (s *scope) closeInterval(maxGain, startWeight float64) {
	s.idle++
	s.verdict.add(&s.intervalVerdict, maxGain, startWeight)
	s.alarm.add(&s.intervalAlarm, maxAlarmGain, startWeight)
	s.total.closeInterval()
	s.stage.closeInterval()
	s.intervalVerdict, s.intervalAlarm = [signalCount]scores{}, [signalCount]scores{}
}

// maxAlarmGain bounds the evidence, in nats, that one interval adds to an alarm,
// to keep it finite.
const maxAlarmGain = 100
