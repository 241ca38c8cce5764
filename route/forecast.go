package route

import (
	"math"
	"time"
)

// The methods below say when a waiting call would have run: from the mean duration
// of its route, the calls before it, and the slots that these leave.

// routeDuration is the mean duration of the calls of a route.
type routeDuration struct {
	mean time.Duration
	// calls counts the calls in the mean, up to the number from which on each
	// has the same weight.
	calls int
	asOf  time.Time
}

const (
	// mostCalls is the number of calls from which on each has the weight
	// durationWeight; before, all count the same.
	mostCalls = int(1 / durationWeight)
	// fadeTime is the time in which a mean that no call renews falls to half. A
	// mean that is too long refuses the very calls that would correct it; a
	// second, in which it falls to a quarter, is short for those who are refused.
	fadeTime = 500 * time.Millisecond
	// freshTime is the time in which a mean does not fall, longer than most
	// calls last.
	freshTime = 200 * time.Millisecond
)

// at returns the mean at a later time.
func (d routeDuration) at(now time.Time) time.Duration {
	age := now.Sub(d.asOf) - freshTime
	if age <= 0 {
		return d.mean
	}
	return time.Duration(float64(d.mean) * math.Exp2(-float64(age)/float64(fadeTime)))
}

// learn takes the duration of a call into the mean of its route.
func (a *Admission) learn(route string, duration time.Duration) {
	d := a.durations[route]
	d.calls = min(d.calls+1, mostCalls)
	faded := d.at(a.now)
	d.mean = faded + (duration-faded)/time.Duration(d.calls)
	d.asOf = a.now
	a.durations[route] = d
}

// mean returns the expected duration of the call.
func (a *Admission) mean(w *Waiter) time.Duration {
	if d, known := a.durations[w.Route]; known {
		return d.at(a.now)
	}
	return a.Limit.Mean()
}

// likelyFactor times the mean duration is longer than most calls of a route last.
const likelyFactor = 1.25

// likely returns a duration that most calls like this one stay under.
func (a *Admission) likely(w *Waiter) time.Duration {
	return time.Duration(likelyFactor * float64(a.mean(w)))
}

// isLate reports whether the call would miss its objective if it ran now.
func (a *Admission) isLate(w *Waiter) bool {
	return w.Rank != UrgentRank && !w.Objective.IsZero() && a.now.Add(a.likely(w)).After(w.Objective)
}

// isHopeless reports whether the call is not expected to end before its deadline.
// One that would miss its objective waits behind all that come later and can
// still meet theirs.
func (a *Admission) isHopeless(w *Waiter) bool {
	isLate := a.isLate(w)
	ends := a.now.Add(a.expectedWait(w, isLate))
	if !isLate && w.Rank != UrgentRank && !w.Objective.IsZero() && ends.After(w.Objective) {
		ends = a.now.Add(a.expectedWait(w, true))
	}
	return ends.After(w.Deadline)
}

// expectedWait returns the time until the call would have run, behind the waiting
// calls that go first.
func (a *Admission) expectedWait(w *Waiter, isLate bool) time.Duration {
	// The next slot is free after a part of a call.
	ahead := a.Limit.Mean()
	for _, other := range a.waiting {
		if other != w && !a.goesBefore(w, other) {
			ahead += a.mean(other)
		}
	}
	return time.Duration(float64(ahead)/a.slotsFor(orderOf(w, isLate))) + a.likely(w)
}

// order is the place of calls among those that wait: calls of a lower one go
// first.
type order struct {
	rank   int
	isLate bool
}

func orderOf(w *Waiter, isLate bool) order { return order{rank: w.Rank, isLate: isLate} }

func (o order) goesBefore(other order) bool {
	if o.rank != other.rank {
		return o.rank < other.rank
	}
	return !o.isLate && other.isLate
}

// leastSlots is the least part of the slots that is expected for a call behind
// those that go before it.
const leastSlots = 0.1

// slotsFor returns the number of slots that calls which go before leave.
func (a *Admission) slotsFor(o order) float64 {
	limit := float64(a.Limit.Current())
	left := limit
	for used, u := range a.usage {
		if used.goesBefore(o) {
			left -= u.at(a.now)
		}
	}
	return max(left, leastSlots*limit)
}

// usage is the mean number of slots that calls of one order held lately.
type usage struct {
	slots float64
	asOf  time.Time
}

// usageSpan is the time over which the use of slots is averaged.
const usageSpan = time.Second

// at returns the mean at a later time.
func (u usage) at(now time.Time) float64 {
	return u.slots * math.Exp(-float64(now.Sub(u.asOf))/float64(usageSpan))
}

// use takes a call that has ended into the use of slots.
func (a *Admission) use(o order, duration time.Duration) {
	u := a.usage[o]
	a.usage[o] = usage{slots: u.at(a.now) + float64(duration)/float64(usageSpan), asOf: a.now}
}
