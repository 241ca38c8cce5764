package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// reach tells which members reply to an owner that may be listed no more. Then the others may
// have another owner for its teams: a zone that is cut off from the control instances still
// reaches the owners in it.
type reach struct {
	// listedUntil is the time until which the lists of all proxies contain this one.
	listedUntil time.Time
	// members are those that were asked at askedAt, without this proxy, repliedAt the times
	// of their last replies.
	members   []string
	askedAt   time.Time
	repliedAt map[string]time.Time
}

// SetListed sets the time until which the lists of all proxies contain this one, since a
// control instance that follows the leader heard from it.
func (e *Entry) SetListed(until time.Time) { e.reach.listedUntil = until }

// IsCutOff reports whether this proxy is listed no more as far as it knows, and half of the
// members or fewer reply, itself included. Then it must not act as an owner.
func (e *Entry) IsCutOff(now time.Time) bool {
	if !e.ownsTeam || e.ring.Size() <= 1 || now.Before(e.reach.listedUntil.Add(cutOffTime)) {
		return false
	}
	return 2*e.reach.count(now) <= len(e.reach.members)+1
}

// Reached returns how many members were asked for a reply after the end of the listing, and how
// many of them replied lately.
func (e *Entry) Reached(now time.Time) (reached, asked int) {
	return e.reach.count(now) - 1, len(e.reach.members)
}

// probes returns the members to ask for a reply. Without a listing, an owner asks all of them,
// or some of very many.
func (e *Entry) probes(now time.Time) []string {
	if at, isNeeded := e.nextProbeAt(); !isNeeded || now.Before(at) {
		return nil
	}
	e.reach.ask(now, e.ring.sample(e.self, maxProbed))
	return e.reach.members
}

func (e *Entry) nextProbeAt() (at time.Time, isNeeded bool) {
	at = e.reach.askedAt.Add(e.reach.interval())
	if at.Before(e.reach.listedUntil) {
		at = e.reach.listedUntil
	}
	return at, e.ownsTeam && e.ring.Size() > 1
}

// interval returns the time from the last requests to the next ones.
func (r *reach) interval() time.Duration {
	if r.askedAt.After(r.listedUntil.Add(settleTime)) {
		return slowProbeInterval
	}
	return probeInterval
}

func (r *reach) ask(now time.Time, members []string) {
	before := r.repliedAt
	r.members, r.askedAt, r.repliedAt = members, now, make(map[string]time.Time, len(members))
	for _, m := range members {
		r.repliedAt[m] = before[m]
	}
}

// add records the reply of a member.
func (r *reach) add(now time.Time, member string) {
	if _, isAsked := r.repliedAt[member]; isAsked {
		r.repliedAt[member] = now
	}
}

// count returns the number of members that replied lately, with this proxy.
func (r *reach) count(now time.Time) int {
	count := 1
	for _, at := range r.repliedAt {
		if now.Sub(at) <= r.interval()-probeInterval+cutOffTime {
			count++
		}
	}
	return count
}

// sample returns up to count members other than self, sorted. Those of one proxy stay mostly
// the same when the members change.
func (r *Ring) sample(self string, count int) []string {
	members := slices.Sorted(maps.Keys(r.members))
	members = slices.DeleteFunc(members, func(m string) bool { return m == self })
	if len(members) <= count {
		return members
	}
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Compare(route.HashWeight(self, a), route.HashWeight(self, b))
	})
	members = members[:count]
	slices.Sort(members)
	return members
}
