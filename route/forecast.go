package route

import (
	"math"
	"time"
)

// The methods in this file forecast when a queued call will have run, from the
// mean call duration of its route, the calls that precede it, and the slots that
// these leave.

// routeDuration is the mean duration of the calls of a route.
type routeDuration struct {
	mean time.Duration
	// calls is the number of calls in the mean, at most maxMeanCalls.
	calls int
	asOf  time.Time
}

const (
	// maxMeanCalls is the number of calls after which each new call has the
	// weight durationWeight. Before that, all calls have the same weight.
	maxMeanCalls = int(1 / durationWeight)
	// meanHalfLife is the half-life of a mean without new calls. While a mean
	// is too long, the calls that would correct it are refused. A second of
	// decay, a short delay for refused callers, reduces the mean to a quarter.
	meanHalfLife = 500 * time.Millisecond
	// meanDecayDelay is the time before a mean begins to decay. It is longer
	// than most calls last.
	meanDecayDelay = 200 * time.Millisecond
)

// at returns the mean decayed to the given time.
func (d routeDuration) at(now time.Time) time.Duration {
	age := now.Sub(d.asOf) - meanDecayDelay
	if age <= 0 {
		return d.mean
	}
	return time.Duration(float64(d.mean) * math.Exp2(-float64(age)/float64(meanHalfLife)))
}

// recordDuration adds the duration of a call to the mean of its route.
func (a *Admission) recordDuration(route string, duration time.Duration) {
	if _, known := a.durations[route]; !known && len(a.durations) >= maxMeans {
		clear(a.durations)
	}
	d := a.durations[route]
	d.calls = min(d.calls+1, maxMeanCalls)
	before := d.at(a.now)
	if a.OrdersByObjective {
		// Otherwise each of a route's rare calls would add only a part of its duration
		// to a mean that has decayed to nothing.
		before = d.mean
	}
	d.mean = before + (duration-before)/time.Duration(d.calls)
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

// paddingFactor multiplies the mean duration of a route's calls. Most of the
// calls take less than the product.
const paddingFactor = 1.25

// paddedMean returns a duration that most calls of the route stay below.
func (a *Admission) paddedMean(w *Waiter) time.Duration {
	return time.Duration(paddingFactor * float64(a.mean(w)))
}

// missesObjective reports whether the call would miss its objective if it
// started now. It is false for urgent calls and for calls without an objective.
func (a *Admission) missesObjective(w *Waiter) bool {
	if w.Rank == UrgentRank || w.Objective.IsZero() {
		return false
	}
	return a.now.Add(a.durationForObjective(w)).After(w.Objective)
}

// durationForObjective returns the padded mean. It does not decay if the queue is ordered
// by objective: rare calls would seem to be short and start too late. A mean that is
// too long then only makes calls count as late, which may still run.
func (a *Admission) durationForObjective(w *Waiter) time.Duration {
	d, known := a.durations[w.Route]
	if !a.OrdersByObjective || !known {
		return a.paddedMean(w)
	}
	return time.Duration(paddingFactor * float64(d.mean))
}

// missesDeadline reports whether the call is expected to miss its deadline. A
// call that would miss its objective is queued behind all later calls that can
// still meet theirs.
func (a *Admission) missesDeadline(w *Waiter) bool {
	isLate := a.missesObjective(w)
	ends := a.now.Add(a.timeToCompletion(w, isLate))
	if !isLate && w.Rank != UrgentRank && !w.Objective.IsZero() && ends.After(w.Objective) {
		ends = a.now.Add(a.timeToCompletion(w, true))
	}
	return ends.After(w.Deadline)
}

// timeToCompletion returns the expected time until the call has run, after the
// queued calls that precede it.
func (a *Admission) timeToCompletion(w *Waiter, isLate bool) time.Duration {
	// Of n slots in use, the next becomes free after one n-th of the mean
	// duration of a call.
	queued := a.Limit.Mean()
	for _, other := range a.waiting {
		if other != w && !a.precedes(w, other) {
			queued += a.mean(other)
		}
	}
	return time.Duration(float64(queued)/a.availableSlots(precedenceOf(w, isLate))) + a.paddedMean(w)
}

// maxColdWait is the time for which a call waits at a cold target although another target
// has room. It is about the time that another attempt takes.
const maxColdWait = 20 * time.Millisecond

// isDelayedByRate reports whether the rate limit delays the call too long, so that it
// is better sent to another target: past its objective, or for more than half of its
// time if it has none. It is false for a call that is late already.
func (a *Admission) isDelayedByRate(w *Waiter) bool {
	if !a.rate.Limit().IsLimited {
		return false
	}
	if w.HasAlternative && a.rate.IsCold() && a.timeToToken(w) > maxColdWait {
		return true
	}
	if a.missesObjective(w) {
		return false
	}
	latest := w.Objective
	if latest.IsZero() {
		latest = a.now.Add(w.Deadline.Sub(a.now) / 2)
	}
	if a.now.Add(a.timeToToken(w) + a.paddedMean(w)).After(latest) {
		return true
	}
	isRateBound := a.capacity() < float64(a.Limit.Current())
	return isRateBound && a.now.Add(a.timeToCompletion(w, false)).After(latest)
}

// timeToToken returns the time until the rate limit has allowed the queued calls that
// precede the call, and then the call itself, to start.
func (a *Admission) timeToToken(w *Waiter) time.Duration {
	starts := 1
	for _, other := range a.waiting {
		if other != w && !a.precedes(w, other) {
			starts++
		}
	}
	return a.rate.nextStart(a.now, starts).Sub(a.now)
}

// capacity returns the mean number of calls that can run concurrently: the
// concurrency limit, or what the rate limit leaves of it. It is greater than zero.
func (a *Admission) capacity() float64 {
	limit := float64(a.Limit.Current())
	mean := a.Limit.Mean()
	if !a.rate.Limit().IsLimited || mean <= 0 {
		return limit
	}
	return min(limit, concurrencyAt(a.rate.Limit(), mean))
}

// precedence groups calls by their order of admission. Calls of a lower rank
// come first, and within a rank those that can meet their objective. If the queue is
// ordered by objective, these are followed by the less patient calls first.
type precedence struct {
	rank     int
	isLate   bool
	patience int
}

func precedenceOf(w *Waiter, isLate bool) precedence {
	return precedence{rank: w.Rank, isLate: isLate, patience: w.patience}
}

func (p precedence) precedes(other precedence) bool {
	if p.rank != other.rank {
		return p.rank < other.rank
	}
	if p.isLate != other.isLate {
		return other.isLate
	}
	return p.patience < other.patience
}

// minSlotFraction is the minimum fraction of the slots that is assumed to be
// available to a call behind those that precede it.
const minSlotFraction = 0.1

// availableSlots returns the number of slots that the calls of preceding groups
// leave free, but at least minSlotFraction of the limit.
func (a *Admission) availableSlots(p precedence) float64 {
	limit := a.capacity()
	remaining := limit
	for used, u := range a.usage {
		if used.precedes(p) {
			remaining -= u.at(a.now)
		}
	}
	return max(remaining, minSlotFraction*limit)
}

// usage is the recent mean number of slots in use by one group of calls.
type usage struct {
	slots float64
	asOf  time.Time
}

// maxMeans bounds the number of routes and of groups of calls with means of their own. Their
// names and ranks are those of other proxies.
const maxMeans = 10_000

// usageWindow is the time constant of the mean slot usage.
const usageWindow = time.Second

// at returns the mean decayed to the given time.
func (u usage) at(now time.Time) float64 {
	return u.slots * math.Exp(-float64(now.Sub(u.asOf))/float64(usageWindow))
}

// recordUsage adds a call that has ended to the slot usage of its group.
func (a *Admission) recordUsage(p precedence, duration time.Duration) {
	if _, known := a.usage[p]; !known && len(a.usage) >= maxMeans {
		clear(a.usage)
	}
	u := a.usage[p]
	a.usage[p] = usage{slots: u.at(a.now) + float64(duration)/float64(usageWindow), asOf: a.now}
}

// RouteMean returns the mean duration of the route's calls at this target, or that of all
// calls if none of the route has ended. Unlike the means of forecasts it does not decay.
func (a *Admission) RouteMean(route string) time.Duration {
	if d, known := a.durations[route]; known {
		return d.mean
	}
	return a.Limit.Mean()
}
