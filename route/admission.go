package route

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// maxQueuedPerSlot is the number of calls that may wait for each slot. It
	// only bounds memory, because a call that is expected to miss its deadline
	// is refused before the length of the queue is checked.
	maxQueuedPerSlot = 8
	// sweepInterval is the minimum time between two sweeps for queued calls that
	// are expected to miss both their objective and their deadline. It is short
	// compared with an objective.
	sweepInterval = 20 * time.Millisecond
	// minSlotsForBulk is the minimum concurrency limit at which one slot goes to
	// a bulk call although interactive calls wait.
	minSlotsForBulk = 4
	// interactiveReserve is the fraction of the concurrency limit that bulk
	// calls leave free.
	interactiveReserve = 0.25
)

// Verdict is the admission decision for a call.
type Verdict int

// The verdicts of admission.
const (
	// VerdictWait means that the call is queued.
	VerdictWait Verdict = iota
	// VerdictAdmit means that the call has a slot.
	VerdictAdmit
	// VerdictFull means that the queue is full or that the target drains.
	VerdictFull
	// VerdictLate means that the call would not end before its deadline.
	VerdictLate
	// VerdictRateLimited means that the rate limit of the target would delay the call
	// too long. Another target may have no limit.
	VerdictRateLimited
)

// Waiter is a call that requests a slot.
type Waiter struct {
	// Caller is the caller that the call is accounted to.
	Caller string
	Class  hornbeamwell.Class
	// Rank orders the calls of a class. Lower ranks are admitted first.
	Rank int
	// Route is the name of the call's route. The durations of a route's calls
	// are similar.
	Route string
	// Objective is the time until which the response has its full value. It is
	// zero if the value stays the same up to the deadline.
	Objective time.Time
	Deadline  time.Time
	// HasAlternative is true if another target that is not cold has room for the call. At
	// a cold target it waits for at most maxColdWait then.
	HasAlternative bool
	// startedLate is true if the call got its slot too late for its objective.
	startedLate bool
	// offeredAt is the time at which the call requested a slot.
	offeredAt time.Time
	// patience groups calls by their time until the objective when they requested a
	// slot, 0 unless the queue is ordered by objective.
	patience int
	// hasNoRoom is true if the call is set aside in the last plan of the queue.
	hasNoRoom bool
	// Decided receives the verdict on a queued call. Its capacity is one.
	Decided chan Verdict
}

// Admission assigns the slots of one target to calls. It is not safe for
// concurrent use.
type Admission struct {
	Limit Limit
	// OrdersByObjective makes the call whose objective ends first precede the others of
	// its rank, and fairness between callers decide only between calls that are equally
	// urgent, or against a caller that holds far more than its share of the slots.
	OrdersByObjective bool
	// RelatesSheds makes calls that the target sheds reduce the limit only if its load may
	// be the cause.
	RelatesSheds bool
	sheds        sheds
	rate         RateLimiter
	// running counts the calls with a slot, bulkRunning the bulk calls among
	// them. waiting holds the queued calls. No call is in both running and
	// waiting.
	running     int
	bulkRunning int
	waiting     []*Waiter
	// now is the time of the current operation.
	now time.Time
	// durations holds the mean call duration of each route.
	durations map[string]routeDuration
	// usage holds the mean slot usage of each group of calls.
	usage map[precedence]usage
	// sweptAt is the time of the last sweep of the queue.
	sweptAt time.Time
	// callers counts the running and waiting calls of each caller. Callers
	// without a call have no entry.
	callers map[string]int
	// held counts the running calls of each caller, runningOfRank those of each rank.
	// Neither has an entry without a call.
	held          map[string]int
	runningOfRank map[int]int
	// dueRank is the rank that precedes all others if hasDueRank is true.
	dueRank    int
	hasDueRank bool
	plannedAt  time.Time
	// planned and ranksSeen are buffers.
	planned   []*Waiter
	ranksSeen []int
}

// NewAdmission returns an Admission for a target with the given number of
// slots.
func NewAdmission(slots int) *Admission {
	a := &Admission{
		callers: make(map[string]int), durations: make(map[string]routeDuration), usage: make(map[precedence]usage),
		held: make(map[string]int), runningOfRank: make(map[int]int),
	}
	a.Limit.SetSlots(slots)
	return a
}

// Load returns the number of calls that run or wait.
func (a *Admission) Load() int { return a.running + len(a.waiting) }

// Running returns the number of calls that run.
func (a *Admission) Running() int { return a.running }

// Offer requests a slot. When the queue is full, the call takes the place of the
// queued call that is evicted first, if that call yields to it.
func (a *Admission) Offer(now time.Time, w *Waiter) Verdict {
	a.advance(now)
	a.expire(now)
	w.offeredAt = now
	if a.OrdersByObjective {
		w.patience = patienceOf(now, w)
	}
	if len(a.waiting) == 0 && a.mayStart(w.Class) {
		a.start(w)
		return VerdictAdmit
	}
	if a.missesDeadline(w) {
		return VerdictLate
	}
	if a.isDelayedByRate(w) {
		return VerdictRateLimited
	}
	if len(a.waiting) >= a.queueBound() && !a.evictFor(w) {
		return VerdictFull
	}
	a.callers[w.Caller]++
	a.waiting = append(a.waiting, w)
	a.admit()
	return VerdictWait
}

// Done ends a running call and assigns its slot to the next call. It returns why the
// target shed the call if it did.
func (a *Admission) Done(now time.Time, w *Waiter, duration time.Duration, shed bool) ShedCause {
	a.advance(now)
	cause := a.endAtLimit(now, duration, shed)
	a.recordUsage(precedenceOf(w, w.startedLate), duration)
	if !shed {
		a.recordDuration(w.Route, duration)
	}
	a.running--
	decrement(a.held, w.Caller)
	decrement(a.runningOfRank, w.Rank)
	if w.Class == hornbeamwell.ClassBulk {
		a.bulkRunning--
	}
	a.removeCaller(w)
	if a.running < 0 || a.bulkRunning < 0 {
		hornbeamwell.ReportViolation("slots_not_negative", "running %d, bulk %d", a.running, a.bulkRunning)
	}
	a.expire(now)
	a.admit()
	return cause
}

// endAtLimit records the end of a call in the concurrency limit.
func (a *Admission) endAtLimit(now time.Time, duration time.Duration, shed bool) ShedCause {
	if !shed {
		a.sheds.recordPeak(now, a.sheds.accepted(now, settleTime))
		a.sheds.end(now, duration)
		a.Limit.Done(now, duration, false)
		return ShedNone
	}
	a.sheds.end(now, duration)
	cause := ShedByLoad
	if a.RelatesSheds {
		cause = a.sheds.judge(now, duration)
	}
	if cause == ShedByLoad {
		a.Limit.Done(now, duration, true)
	} else if a.sheds.isRegardless() {
		a.Limit.Restore(now)
	}
	return cause
}

// State records what the target stated about its load.
func (a *Admission) State(now time.Time, statement hornbeamwell.LoadStatement) {
	a.sheds.state(now, statement)
}

// SetRateLimit records the rate limit that the target stated in the response to a
// call that was sent to it at the given time, and assigns slots accordingly. It
// returns true if the limit changed.
func (a *Admission) SetRateLimit(now, sent time.Time, stated hornbeamwell.RateLimit) bool {
	if !a.rate.Observe(now, sent, stated) {
		return false
	}
	a.Tick(now)
	return true
}

// AdoptRateLimit records the rate limit that another proxy knows, unless the target has
// responded to this one. It returns true if the limit changed.
func (a *Admission) AdoptRateLimit(now time.Time, known hornbeamwell.RateLimit) bool {
	return a.rate.Adopt(now, known)
}

// ResetRateLimit removes the rate limit, which was that of an earlier incarnation of
// the target.
func (a *Admission) ResetRateLimit(now time.Time) {
	a.rate.reset(now)
	a.Tick(now)
}

// RateLimit returns the rate limit that the target states.
func (a *Admission) RateLimit() hornbeamwell.RateLimit { return a.rate.stated }

// SetCold limits the calls that start to the rate, 0 for any, until the given time, and
// assigns slots accordingly.
func (a *Admission) SetCold(now time.Time, perSecond float64, until time.Time) {
	a.rate.SetCold(now, perSecond, until)
	a.Tick(now)
}

// ColdRate returns the rate of calls that the target accepts because it is cold, and the
// time for which it still holds. The rate is 0 if the target is not cold.
func (a *Admission) ColdRate(now time.Time) (perSecond float64, remaining time.Duration) {
	if !a.rate.IsCold() || !now.Before(a.rate.coldUntil) {
		return 0, 0
	}
	return a.rate.cold.PerSecond, a.rate.coldUntil.Sub(now)
}

// advance begins an operation at the given time.
func (a *Admission) advance(now time.Time) {
	a.now = now
	a.rate.Advance(now)
}

// Tick assigns slots to the queued calls that the rate limit allows to start by now.
func (a *Admission) Tick(now time.Time) {
	a.advance(now)
	a.expire(now)
	a.admit()
}

// NextTick returns the time of the next Tick that is needed. It returns false if none
// is needed before the end of a running call.
func (a *Admission) NextTick() (at time.Time, isNeeded bool) {
	if len(a.waiting) == 0 || a.rate.allows(a.now) {
		return time.Time{}, false
	}
	return a.rate.nextStart(a.now, 1), true
}

// Cancel removes a queued call whose caller has gone. It returns false when the
// call has been decided already; an admitted call must then be ended by Done.
func (a *Admission) Cancel(w *Waiter) bool {
	for i, other := range a.waiting {
		if other == w {
			a.remove(i)
			return true
		}
	}
	return false
}

// RefuseWaiting refuses every queued call. It is used when the target drains.
func (a *Admission) RefuseWaiting() {
	for len(a.waiting) > 0 {
		a.decide(len(a.waiting)-1, VerdictFull)
	}
}

// RetryAfter returns the time after which a slot is expected to be free.
func (a *Admission) RetryAfter() time.Duration {
	return time.Duration(float64(len(a.waiting)+1) * float64(a.Limit.Mean()) / a.capacity())
}

func (a *Admission) queueBound() int { return maxQueuedPerSlot * a.Limit.Slots() }

// mayStart reports whether a call of the class may start now.
func (a *Admission) mayStart(class hornbeamwell.Class) bool {
	return a.hasSlot(class) && a.rate.allows(a.now)
}

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

// evictFor evicts the first queued call in the order of eviction, if that call
// yields to w.
func (a *Admission) evictFor(w *Waiter) bool {
	victim := -1
	for i, other := range a.waiting {
		if victim < 0 || a.isEvictedBefore(other, a.waiting[victim]) {
			victim = i
		}
	}
	if victim < 0 || !a.yieldsTo(a.waiting[victim], w) {
		return false
	}
	a.decide(victim, VerdictFull)
	return true
}

// yieldsTo reports whether the queued call v loses its place to w. The first
// difference between them decides: only v is a bulk call, v has the higher rank,
// only w can still meet its objective, or the caller of w has at least two calls
// fewer than that of v.
func (a *Admission) yieldsTo(v, w *Waiter) bool {
	if a.OrdersByObjective {
		return a.precedes(w, v)
	}
	if v.Class != w.Class {
		return v.Class == hornbeamwell.ClassBulk
	}
	if v.Rank != w.Rank {
		return v.Rank > w.Rank
	}
	if vLate, wLate := a.missesObjective(v), a.missesObjective(w); vLate != wLate {
		return vLate
	}
	return a.callers[v.Caller] >= a.callers[w.Caller]+2
}

// isEvictedBefore reports whether the queued call x is evicted before y.
func (a *Admission) isEvictedBefore(x, y *Waiter) bool {
	if a.OrdersByObjective {
		return a.precedes(y, x)
	}
	if xBulk, yBulk := x.Class == hornbeamwell.ClassBulk, y.Class == hornbeamwell.ClassBulk; xBulk != yBulk {
		return xBulk
	}
	if x.Rank != y.Rank {
		return x.Rank > y.Rank
	}
	if xLate, yLate := a.missesObjective(x), a.missesObjective(y); xLate != yLate {
		return xLate
	}
	if xCalls, yCalls := a.callers[x.Caller], a.callers[y.Caller]; xCalls != yCalls {
		return xCalls > yCalls
	}
	return x.Deadline.After(y.Deadline)
}

// admit assigns free slots to queued calls.
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

// next returns the index of the queued call to admit next, or -1 if there is
// none.
func (a *Admission) next() int {
	best := -1
	if a.OrdersByObjective && len(a.waiting) > 0 {
		a.plan()
		a.findDueRank()
	}
	for i, w := range a.waiting {
		if a.mayStart(w.Class) && (best < 0 || a.precedes(w, a.waiting[best])) {
			best = i
		}
	}
	return best
}

// precedes reports whether the queued call x is admitted before y. Interactive
// calls come before bulk calls, unless no bulk call runs and the limit is at
// least minSlotsForBulk. Within a class, calls are ordered by rank, by whether
// they can still meet their objective, by the number of calls of their caller,
// and by deadline. Urgent calls are ordered by deadline alone, because their
// callers hold slots of other targets while they wait.
func (a *Admission) precedes(x, y *Waiter) bool {
	if xBulk, yBulk := x.Class == hornbeamwell.ClassBulk, y.Class == hornbeamwell.ClassBulk; xBulk != yBulk {
		isBulkDue := a.bulkRunning == 0 && a.Limit.Current() >= minSlotsForBulk
		return xBulk == isBulkDue
	}
	if a.OrdersByObjective {
		return a.precedesByObjective(x, y)
	}
	if x.Rank != y.Rank {
		return x.Rank < y.Rank
	}
	if x.Rank == UrgentRank {
		return x.Deadline.Before(y.Deadline)
	}
	if xLate, yLate := a.missesObjective(x), a.missesObjective(y); xLate != yLate {
		return yLate
	}
	if xCalls, yCalls := a.callers[x.Caller], a.callers[y.Caller]; xCalls != yCalls {
		return xCalls < yCalls
	}
	return x.Deadline.Before(y.Deadline)
}

// expire refuses the queued calls that would miss their deadline even if they
// started now. At most once per sweepInterval it also refuses those that are
// expected to miss both their objective and their deadline.
func (a *Admission) expire(now time.Time) {
	isSweepDue := now.Sub(a.sweptAt) >= sweepInterval
	if isSweepDue {
		a.sweptAt = now
	}
	for i := len(a.waiting) - 1; i >= 0; i-- {
		w := a.waiting[i]
		isExpired := now.Add(a.mean(w)).After(w.Deadline)
		if isExpired || isSweepDue && a.missesObjective(w) && a.missesDeadline(w) {
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
	a.removeCaller(a.waiting[i])
	a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
}

func (a *Admission) start(w *Waiter) {
	w.startedLate = a.missesObjective(w)
	a.rate.take(a.now)
	a.sheds.start(a.now)
	a.running++
	if w.Class == hornbeamwell.ClassBulk {
		a.bulkRunning++
	}
	a.callers[w.Caller]++
	a.held[w.Caller]++
	a.runningOfRank[w.Rank]++
}

func (a *Admission) removeCaller(w *Waiter) {
	decrement(a.callers, w.Caller)
}

// decrement decrements a count and removes it at zero.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}
