package route

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// The methods in this file order the queue of an Admission with OrdersByObjective.

const (
	// urgencyStep is the difference between two objectives up to which calls may count
	// as equally urgent.
	urgencyStep = 50 * time.Millisecond
	// longWait is the time after which a waiting call entitles its rank to rankShare.
	longWait = 500 * time.Millisecond
	// rankShare is the fraction of the slots that a rank with long waiting calls gets
	// although calls of lower ranks wait.
	rankShare = 0.1
	// overShareFactor is the multiple of its share of the slots, plus one, up to which a
	// caller is not held back. With the share alone, six equal callers were over it by
	// chance so often that 0.49 of the short calls met their objective, not 0.86.
	overShareFactor = 1.5
)

// latest returns the time until which the response has its full value.
func (w *Waiter) latest() time.Time {
	if w.Objective.IsZero() {
		return w.Deadline
	}
	return w.Objective
}

// patienceOf groups calls by the time that they have until their objective, in powers of
// two.
func patienceOf(now time.Time, w *Waiter) int {
	return bits.Len64(uint64(max(w.latest().Sub(now), 0) / urgencyStep))
}

// precedesByObjective reports whether the queued call x is admitted before y of the same
// class. A rank that is due comes first, then the lower rank. Within a rank, calls that
// can still meet their objective come first, then those for which there is room, those
// whose caller does not hold far more than its share of the slots, those whose objective ends first,
// and those of the caller with fewer calls.
func (a *Admission) precedesByObjective(x, y *Waiter) bool {
	if x.Rank != y.Rank {
		if xDue, yDue := a.isDue(x.Rank), a.isDue(y.Rank); xDue != yDue {
			return xDue
		}
		return x.Rank < y.Rank
	}
	if x.Rank == UrgentRank {
		return x.Deadline.Before(y.Deadline)
	}
	if xLate, yLate := a.missesObjective(x), a.missesObjective(y); xLate != yLate {
		return yLate
	}
	if x.hasNoRoom != y.hasNoRoom {
		return y.hasNoRoom
	}
	if xOver, yOver := a.isOverShare(x.Caller), a.isOverShare(y.Caller); xOver != yOver {
		return yOver
	}
	if c := x.latest().Truncate(urgencyStep).Compare(y.latest().Truncate(urgencyStep)); c != 0 {
		return c < 0
	}
	if xCalls, yCalls := a.callers[x.Caller], a.callers[y.Caller]; xCalls != yCalls {
		return xCalls < yCalls
	}
	return x.Deadline.Before(y.Deadline)
}

// isOverShare reports whether the caller holds far more slots than its share among the
// callers that have calls here.
func (a *Admission) isOverShare(caller string) bool {
	share := float64(a.Limit.Current()) / float64(max(len(a.callers), 1))
	return float64(a.held[caller]) > overShareFactor*share+1
}

func (a *Admission) isDue(rank int) bool { return a.hasDueRank && rank == a.dueRank }

// findDueRank determines the rank that is due: the highest whose oldest call has waited
// for longWait while its calls got less than rankShare of the slots.
func (a *Admission) findDueRank() {
	a.hasDueRank = false
	a.ranksSeen = a.ranksSeen[:0]
	share := rankShare * a.capacity()
	for _, w := range a.waiting {
		if slices.Contains(a.ranksSeen, w.Rank) || w.Class == hornbeamwell.ClassBulk {
			continue
		}
		// The first call of each rank is its oldest.
		a.ranksSeen = append(a.ranksSeen, w.Rank)
		if a.now.Sub(w.offeredAt) < longWait || a.hasDueRank && w.Rank < a.dueRank {
			continue
		}
		if float64(a.runningOfRank[w.Rank]) < share && a.usageOfRank(w.Rank) < share {
			a.dueRank, a.hasDueRank = w.Rank, true
		}
	}
}

// usageOfRank returns the recent mean number of slots that the calls of the rank used.
func (a *Admission) usageOfRank(rank int) float64 {
	slots := 0.0
	for group, u := range a.usage {
		if group.rank == rank {
			slots += u.at(a.now)
		}
	}
	return slots
}

// plan determines the queued calls for which there is no room. It runs at most once per
// sweepInterval.
//
// In the order of their objectives, the calls of a rank take the slots that the ranks
// before them leave. Where a call would miss its objective, the longest of the calls up
// to it is set aside, because it takes the room of several short ones. For one slot this
// is the method of Moore and Hodgson, which meets as many objectives as possible.
func (a *Admission) plan() {
	if a.now.Sub(a.plannedAt) < sweepInterval {
		return
	}
	a.plannedAt = a.now
	a.planned = a.planned[:0]
	for _, w := range a.waiting {
		w.hasNoRoom = false
		if w.Rank != UrgentRank && !a.missesObjective(w) {
			a.planned = append(a.planned, w)
		}
	}
	slices.SortFunc(a.planned, func(x, y *Waiter) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Rank, y.Rank), x.latest().Compare(y.latest()))
	})
	for begin := 0; begin < len(a.planned); {
		end := begin + 1
		for end < len(a.planned) && a.planned[end].Rank == a.planned[begin].Rank && a.planned[end].Class == a.planned[begin].Class {
			end++
		}
		a.planRank(a.planned[begin:end])
		begin = end
	}
}

// planRank sets aside calls of one class and rank that are sorted by objective.
func (a *Admission) planRank(calls []*Waiter) {
	slots := a.availableSlots(precedence{rank: calls[0].Rank})
	// work is the time that the calls before take on one slot.
	work := time.Duration(0)
	for i, w := range calls {
		ends := a.now.Add(time.Duration(float64(work)/slots) + a.paddedMean(w))
		work += a.mean(w)
		if !ends.After(w.latest()) {
			continue
		}
		longest := w
		for _, other := range calls[:i] {
			if !other.hasNoRoom && a.mean(other) > a.mean(longest) {
				longest = other
			}
		}
		longest.hasNoRoom = true
		work -= a.mean(longest)
	}
}
