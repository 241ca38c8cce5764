package route

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// queuePerSlot is the number of calls that may wait for each slot. It bounds
	// memory; what can't end in time is refused before.
	queuePerSlot = 8
	// hopelessInterval is the time between two looks for waiting calls past their
	// objective that won't get a slot. It is short beside an objective.
	hopelessInterval = 20 * time.Millisecond
	// slotsForBulkFloor is the number of slots from which on one is given to a
	// bulk call although interactive calls wait.
	slotsForBulkFloor = 4
	// interactiveReserve is the part of the slots that bulk calls leave free.
	interactiveReserve = 0.25
)

// Verdict is the decision about a call that asks for a slot.
type Verdict int

// The verdicts.
const (
	// VerdictWait means that the call waits in the queue.
	VerdictWait Verdict = iota
	// VerdictAdmit means that the call has a slot.
	VerdictAdmit
	// VerdictFull means that the queue has no room for the call.
	VerdictFull
	// VerdictLate means that the call would not end before its deadline.
	VerdictLate
)

// Waiter is a call that asks for a slot.
type Waiter struct {
	// Caller names who the call is counted for.
	Caller string
	Class  hornbeamwell.Class
	// Rank orders the calls; lower ones go first.
	Rank int
	// Route names the route of the call, whose calls last about as long.
	Route string
	// Objective is the time up to which the answer has its full worth, zero where
	// it has the same worth up to the deadline.
	Objective time.Time
	Deadline  time.Time
	// ranLate is true where the call got its slot too late for its objective.
	ranLate bool
	// Decided receives the verdict of a waiter that waited. It has room for
	// one.
	Decided chan Verdict
}

// Admission gives the slots of one target to calls. It is not safe for use by
// several goroutines at once.
type Admission struct {
	Limit Limit
	// running and waiting count each call of callers once.
	running     int
	bulkRunning int
	waiting     []*Waiter
	// now is the time of the present operation.
	now time.Time
	// durations holds the mean duration of the calls of each route.
	durations map[string]routeDuration
	// usage holds the use of slots by order.
	usage map[order]usage
	// hopelessAt is the time of the last look for hopeless calls.
	hopelessAt time.Time
	// callers counts the running and waiting calls of each caller. It holds no
	// caller without a call.
	callers map[string]int
}

// NewAdmission returns an admission for a target with the slots.
func NewAdmission(slots int) *Admission {
	a := &Admission{callers: make(map[string]int), durations: make(map[string]routeDuration), usage: make(map[order]usage)}
	a.Limit.SetSlots(slots)
	return a
}

// Load returns the number of calls that run or wait.
func (a *Admission) Load() int { return a.running + len(a.waiting) }

// Running returns the number of calls that run.
func (a *Admission) Running() int { return a.running }

// Offer asks for a slot. When the queue is full, the caller with the most
// calls loses its last waiting call to a caller with fewer.
func (a *Admission) Offer(now time.Time, w *Waiter) Verdict {
	a.now = now
	a.expire(now)
	if len(a.waiting) == 0 && a.hasSlot(w.Class) {
		a.start(w)
		return VerdictAdmit
	}
	if a.isHopeless(w) {
		return VerdictLate
	}
	if len(a.waiting) >= a.queueBound() && !a.evictFor(w) {
		return VerdictFull
	}
	a.callers[w.Caller]++
	a.waiting = append(a.waiting, w)
	a.admit()
	return VerdictWait
}

// Done ends a running call and gives its slot to the next.
func (a *Admission) Done(now time.Time, w *Waiter, duration time.Duration, shed bool) {
	a.now = now
	a.Limit.Done(now, duration, shed)
	a.use(orderOf(w, w.ranLate), duration)
	if !shed {
		a.learn(w.Route, duration)
	}
	a.running--
	if w.Class == hornbeamwell.ClassBulk {
		a.bulkRunning--
	}
	a.forget(w)
	if a.running < 0 || a.bulkRunning < 0 {
		hornbeamwell.ReportViolation("slots_not_negative", "running %d, bulk %d", a.running, a.bulkRunning)
	}
	a.expire(now)
	a.admit()
}

// Cancel takes back a waiting call whose caller has gone. It returns false when
// the call is decided already; an admitted call must then be ended by Done.
func (a *Admission) Cancel(w *Waiter) bool {
	for i, other := range a.waiting {
		if other == w {
			a.remove(i)
			return true
		}
	}
	return false
}

// RefuseWaiting refuses every waiting call, for a target that drains.
func (a *Admission) RefuseWaiting() {
	for len(a.waiting) > 0 {
		a.decide(len(a.waiting)-1, VerdictFull)
	}
}

// RetryAfter returns the time after which a slot is expected to be free.
func (a *Admission) RetryAfter() time.Duration {
	return time.Duration(len(a.waiting)+1) * a.Limit.Mean() / time.Duration(a.Limit.Current())
}

func (a *Admission) queueBound() int { return queuePerSlot * a.Limit.Slots() }

func (a *Admission) hasSlot(class hornbeamwell.Class) bool {
	limit := a.Limit.Current()
	if a.running >= limit {
		return false
	}
	if class != hornbeamwell.ClassBulk {
		return true
	}
	reserve := int(interactiveReserve * float64(limit))
	return a.bulkRunning < max(limit-reserve, 1)
}

// evictFor makes room for a call that goes before the last of the waiting ones,
// or whose caller has at least two calls fewer.
func (a *Admission) evictFor(w *Waiter) bool {
	victim := -1
	for i, other := range a.waiting {
		if victim < 0 || a.yieldsBefore(other, a.waiting[victim]) {
			victim = i
		}
	}
	if victim < 0 || !a.givesWay(a.waiting[victim], w) {
		return false
	}
	a.decide(victim, VerdictFull)
	return true
}

// givesWay reports whether a waiting call loses its place to another one.
func (a *Admission) givesWay(v, w *Waiter) bool {
	if v.Class != w.Class {
		return v.Class == hornbeamwell.ClassBulk
	}
	if v.Rank != w.Rank {
		return v.Rank > w.Rank
	}
	if vLate, wLate := a.isLate(v), a.isLate(w); vLate != wLate {
		return vLate
	}
	return a.callers[v.Caller] >= a.callers[w.Caller]+2
}

// yieldsBefore orders waiting calls by who gives up its place first.
func (a *Admission) yieldsBefore(x, y *Waiter) bool {
	if xBulk, yBulk := x.Class == hornbeamwell.ClassBulk, y.Class == hornbeamwell.ClassBulk; xBulk != yBulk {
		return xBulk
	}
	if x.Rank != y.Rank {
		return x.Rank > y.Rank
	}
	if xLate, yLate := a.isLate(x), a.isLate(y); xLate != yLate {
		return xLate
	}
	if xCalls, yCalls := a.callers[x.Caller], a.callers[y.Caller]; xCalls != yCalls {
		return xCalls > yCalls
	}
	return x.Deadline.After(y.Deadline)
}

// admit gives free slots to waiting calls.
func (a *Admission) admit() {
	for {
		next := a.next()
		if next < 0 {
			return
		}
		w := a.waiting[next]
		a.waiting = append(a.waiting[:next], a.waiting[next+1:]...)
		a.callers[w.Caller]--
		a.start(w)
		w.Decided <- VerdictAdmit
	}
}

// next returns the index of the waiting call that goes first, -1 if none can.
func (a *Admission) next() int {
	best := -1
	for i, w := range a.waiting {
		if a.hasSlot(w.Class) && (best < 0 || a.goesBefore(w, a.waiting[best])) {
			best = i
		}
	}
	return best
}

// goesBefore orders waiting calls: the class, the rank, those that can still meet
// their objective, the caller with fewer calls, the earlier deadline. Urgent calls
// are ordered by their deadlines alone: whoever waits for them holds a slot.
func (a *Admission) goesBefore(x, y *Waiter) bool {
	if xBulk, yBulk := x.Class == hornbeamwell.ClassBulk, y.Class == hornbeamwell.ClassBulk; xBulk != yBulk {
		isBulkDue := a.bulkRunning == 0 && a.Limit.Current() >= slotsForBulkFloor
		return xBulk == isBulkDue
	}
	if x.Rank != y.Rank {
		return x.Rank < y.Rank
	}
	if x.Rank == UrgentRank {
		return x.Deadline.Before(y.Deadline)
	}
	if xLate, yLate := a.isLate(x), a.isLate(y); xLate != yLate {
		return yLate
	}
	if xCalls, yCalls := a.callers[x.Caller], a.callers[y.Caller]; xCalls != yCalls {
		return xCalls < yCalls
	}
	return x.Deadline.Before(y.Deadline)
}

// expire refuses the waiting calls that can no longer end in time, and now and
// then those past their objective that are not expected to.
func (a *Admission) expire(now time.Time) {
	looks := now.Sub(a.hopelessAt) >= hopelessInterval
	if looks {
		a.hopelessAt = now
	}
	for i := len(a.waiting) - 1; i >= 0; i-- {
		w := a.waiting[i]
		isOver := now.Add(a.mean(w)).After(w.Deadline)
		if isOver || looks && a.isLate(w) && a.isHopeless(w) {
			a.decide(i, VerdictLate)
		}
	}
}

func (a *Admission) decide(i int, verdict Verdict) {
	w := a.waiting[i]
	a.remove(i)
	w.Decided <- verdict
}

func (a *Admission) remove(i int) {
	a.forget(a.waiting[i])
	a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
}

func (a *Admission) start(w *Waiter) {
	w.ranLate = a.isLate(w)
	a.running++
	if w.Class == hornbeamwell.ClassBulk {
		a.bulkRunning++
	}
	a.callers[w.Caller]++
}

func (a *Admission) forget(w *Waiter) {
	if a.callers[w.Caller]--; a.callers[w.Caller] <= 0 {
		delete(a.callers, w.Caller)
	}
}
