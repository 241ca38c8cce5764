package quota

import (
	"math"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// grantSlot is the slot of the meter of granted rates.
	grantSlot = 2 * time.Second
	// sweepInterval is the time between two looks at all entries of a team,
	// activeTime the time since the last request for which an entry counts as active.
	sweepInterval = 20 * time.Millisecond
	activeTime    = time.Second
	// forgetTime is the silence after which an entry is forgotten. It exceeds the time
	// for which a delayed request may arrive.
	forgetTime = 30 * time.Second
	// maxEntries bounds the entries that are known. Requests of others get no reply for any
	// team.
	maxEntries = 50_000
	// lossTime is the silence of all other entries after which an owner takes itself to
	// be lost. It is shorter than the time until the others have another owner.
	lossTime = time.Second
	// lostTime is the time for which a lost owner refuses its own entry, so that this one
	// spends alone. Afterwards it serves the entry again: there may be no others.
	lostTime = 5 * time.Second
	// minPause and maxPause bound the time that an entry of a team without tokens waits
	// before it asks again.
	minPause = 50 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// Owner grants the tokens of the teams that a proxy owns.
type Owner struct {
	// self is the entry id of the owner's own proxy.
	self    string
	bounds  Bounds
	teams   map[string]*ownedTeam
	entries map[string]*entrySequence
	// sweptAt is the time of the last removal of forgotten entries.
	sweptAt time.Time
	// heardAt is the time of the last request of another proxy.
	heardAt time.Time
	// isCutOff is true while the proxy takes itself to be cut off from most members, from
	// cutOffAt on.
	isCutOff bool
	cutOffAt time.Time
	changes  []OwnerChange
}

type entrySequence struct {
	last    uint64
	heardAt time.Time
}

// ownedTeam is the token bucket of a team.
type ownedTeam struct {
	quota hornbeamwell.Quota
	state OwnerState
	// since is the time from which this proxy settles as the owner.
	since time.Time
	// isSettling is true from since until the first look after settleTime.
	isSettling bool
	// tokens and aside, the sum of what is set aside for entries, are together at most
	// the burst, or 1 if that is lower. tokens is negative while more is set aside than
	// the bucket holds, or entries spent more alone than was set aside for them.
	tokens, aside float64
	refilledAt    time.Time
	clients       map[string]*client
	sweptAt       time.Time
	active        int
	// shortUntil is the time until which tokens are shared out evenly.
	shortUntil time.Time
	// lostAt is the last time at which the proxy took itself to be lost: all other entries
	// with a granted rate fell silent together, or its own requests to others failed. It
	// was frozen or cut off, and another proxy may own the team meanwhile. It is zero
	// while the owner is not lost.
	lostAt time.Time
	// allowance is the number of tokens that are left for entries without a former
	// rate while the owner settles.
	allowance float64
	// stated is the sum of the rates that entries may spend alone. It is at most the
	// quota's rate, unless that was lowered within aloneTime.
	stated float64
	// formerTotal is the sum of the rates that the last owner stated, as far as entries
	// report it, and claimed is the part of it whose entries came to this owner. The
	// others may spend the rest alone until aloneTime after the last of them left the last
	// owner, settleTime after since. Neither is negative.
	formerTotal, claimed float64
}

// client is an entry as the owner of a team knows it.
type client struct {
	heardAt time.Time
	granted meter
	// rate is the rate of the last reply.
	rate float64
	// former is the rate that the last owner stated, formerTokens what is left of it
	// since the first request.
	former, formerTokens float64
	// stated is the part of rate that counts in the sum of the team.
	stated float64
	// setAside is the number of tokens withheld for calls that the entry may let through
	// alone: what it kept at heardAt, and its rate since then as of the last sweep.
	setAside, kept float64
	// isAsideOver is true once the entry may no longer spend what is set aside, which is
	// lost then.
	isAsideOver bool
	// sequence and unacknowledged are the last request with a grant and its grant.
	sequence       uint64
	unacknowledged int
}

// NewOwner returns an owner without teams. The id is that of the entry in the same proxy.
func NewOwner(self string, bounds Bounds) *Owner {
	return &Owner{self: self, bounds: bounds, teams: map[string]*ownedTeam{}, entries: map[string]*entrySequence{}}
}

// OwnerState is the state of a team at an owner.
type OwnerState string

// The states of a team at an owner.
const (
	// OwnerNone means that this proxy does not own the team.
	OwnerNone OwnerState = "none"
	// OwnerSettling means that the proxy became the owner, or was lost and starts anew.
	OwnerSettling OwnerState = "settling"
	// OwnerLost means that the proxy seems to be cut off.
	OwnerLost OwnerState = "lost"
	// OwnerShort means that entries lately got less than they asked for, OwnerGranting
	// that they got all.
	OwnerShort    OwnerState = "short"
	OwnerGranting OwnerState = "granting"
)

// OwnerChange is a change of the state of a team at an owner, with its inputs.
type OwnerChange struct {
	Team     string
	From, To OwnerState
	Quota    hornbeamwell.Quota
	Tokens   float64
	// Active is the number of entries that asked within the last second.
	Active int
}

// TakeChanges returns the changes of state since the last call.
func (o *Owner) TakeChanges() []OwnerChange {
	changes := o.changes
	o.changes = nil
	return changes
}

func (o *Owner) setState(name string, team *ownedTeam, state OwnerState) {
	if team.state == state {
		return
	}
	o.changes = append(o.changes, OwnerChange{Team: name, From: team.state, To: state, Quota: team.quota, Tokens: team.tokens, Active: team.active})
	team.state = state
}

// Update sets the quotas of the owned teams. A new team starts with an empty bucket.
func (o *Owner) Update(now time.Time, owned map[string]hornbeamwell.Quota) {
	for name, team := range o.teams {
		if _, found := owned[name]; !found {
			o.setState(name, team, OwnerNone)
			delete(o.teams, name)
		}
	}
	for name, quota := range owned {
		team := o.teams[name]
		if team == nil {
			team = &ownedTeam{quota: quota, refilledAt: now, state: OwnerNone}
			team.settle(now, o.bounds)
			team.tokens = 0
			o.teams[name] = team
			o.setState(name, team, OwnerSettling)
			continue
		}
		if team.quota != quota {
			team.refill(now)
			team.quota = quota
			team.tokens = min(team.tokens, team.capacity()-team.aside)
		}
	}
}

// SetLost records that the requests of this proxy to others fail. It does nothing if an
// entry of another proxy was heard lately: then those others are cut off, not this one.
func (o *Owner) SetLost(now time.Time) {
	if now.Sub(o.heardAt) < lossTime {
		return
	}
	for _, team := range o.teams {
		team.lostAt = now
	}
}

// SetCutOff sets whether this proxy is cut off from most members, which may have another owner
// for its teams. Then it grants nothing, and starts anew afterwards.
func (o *Owner) SetCutOff(now time.Time, isCutOff bool) {
	if o.isCutOff == isCutOff {
		return
	}
	o.isCutOff, o.cutOffAt = isCutOff, now
	for name, team := range o.teams {
		state := OwnerLost
		if !isCutOff {
			team.refill(now)
			team.settle(now, o.bounds)
			state = OwnerSettling
		}
		o.setState(name, team, state)
	}
}

// Serve decides on a request. A request that is older than another one of the same
// entry gets no tokens: the entry no longer takes the reply.
func (o *Owner) Serve(now time.Time, request Request) Reply {
	o.forget(now)
	reply := Reply{Sequence: request.Sequence}
	entry := o.entries[request.Entry]
	if entry == nil && len(o.entries) >= maxEntries {
		return reply
	}
	if entry == nil {
		entry = &entrySequence{}
		o.entries[request.Entry] = entry
	}
	if request.Sequence <= entry.last {
		return reply
	}
	entry.last, entry.heardAt = request.Sequence, now
	if request.Entry != o.self {
		o.heardAt = now
	}
	reply.Teams = make([]TeamReply, 0, len(request.Teams))
	for _, r := range request.Teams {
		team := o.teams[r.Team]
		if team == nil {
			reply.Teams = append(reply.Teams, TeamReply{Team: r.Team})
			continue
		}
		if o.isCutOff {
			// After a freeze the members have not been asked yet.
			reply.Teams = append(reply.Teams, TeamReply{Team: r.Team, IsCutOff: now.Sub(o.cutOffAt) >= MaxWait})
			continue
		}
		reply.Teams = append(reply.Teams, team.serve(now, o, request, r))
	}
	return reply
}

func (o *Owner) forget(now time.Time) {
	if now.Sub(o.sweptAt) < forgetTime {
		return
	}
	o.sweptAt = now
	for id, entry := range o.entries {
		if now.Sub(entry.heardAt) > forgetTime {
			delete(o.entries, id)
		}
	}
}

func (t *ownedTeam) capacity() float64 { return max(t.quota.Burst, 1) }

func (t *ownedTeam) refill(now time.Time) {
	if settled := t.since.Add(settleTime); t.isSettling && !now.Before(settled) {
		// Until now the last owner may have granted from its own bucket.
		t.isSettling = false
		t.tokens, t.refilledAt = min(t.tokens+t.aside, 0)-t.aside+t.allowance, settled
		t.allowance = 0
	}
	if known := t.since.Add(settleTime + aloneTime); !t.isSettling && t.refilledAt.Before(known) {
		t.fill(minTime(now, known), t.quota.PerSecond-min(max(t.formerTotal-t.claimed, 0), t.quota.PerSecond))
	}
	t.fill(now, t.quota.PerSecond)
}

// fill adds the tokens of the time since the last refill.
func (t *ownedTeam) fill(now time.Time, perSecond float64) {
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.tokens = min(t.tokens+perSecond*elapsed.Seconds(), t.capacity()-t.aside)
		t.refilledAt = now
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// settle starts the ownership anew. What is left in the bucket may have been granted by
// another owner already.
func (t *ownedTeam) settle(now time.Time, bounds Bounds) {
	t.since, t.isSettling, t.lostAt, t.stated, t.claimed, t.formerTotal = now, true, time.Time{}, 0, 0, 0
	t.allowance = bounds.excess(t.quota) / 8
	t.tokens = min(t.tokens, t.allowance)
	t.clients, t.active, t.aside = map[string]*client{}, 0, 0
}

// sweep sets tokens aside for the silent entries and counts the active ones.
func (t *ownedTeam) sweep(now time.Time, self string) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt, t.active = now, 0
	heardOthers, lostOthers := false, false
	for id, c := range t.clients {
		silent := now.Sub(c.heardAt)
		if id != self {
			heardOthers = heardOthers || silent <= lossTime
			lostOthers = lostOthers || silent > lossTime && c.rate > 0
		}
		if silent < activeTime {
			t.active++
		}
		if !c.isAsideOver {
			aside := c.kept + c.rate*min(silent, aloneTime).Seconds()
			t.tokens -= aside - c.setAside
			t.aside += aside - c.setAside
			c.setAside = aside
		}
		if silent > aloneTime && !c.isAsideOver {
			t.stated -= c.stated
			t.aside -= c.setAside
			c.stated, c.isAsideOver = 0, true
		}
		if silent > forgetTime {
			delete(t.clients, id)
		}
	}
	if lostOthers && !heardOthers && t.lostAt.IsZero() {
		t.lostAt = now
	}
}

func (t *ownedTeam) serve(now time.Time, o *Owner, request Request, r TeamRequest) TeamReply {
	t.refill(now)
	t.sweep(now, o.self)
	if !t.lostAt.IsZero() {
		if request.Entry == o.self && now.Sub(t.lostAt) < lostTime {
			o.setState(r.Team, t, OwnerLost)
			return TeamReply{Team: r.Team}
		}
		t.settle(now, o.bounds)
		o.setState(r.Team, t, OwnerSettling)
	}
	r.Recent = min(max(r.Recent, 0), t.quota.PerSecond)
	c := t.clients[request.Entry]
	if c == nil {
		c = &client{heardAt: now, granted: meter{slot: grantSlot}}
		c.granted.seed(now, r.Recent)
		c.former = r.Recent
		t.claimed += r.Recent
		t.clients[request.Entry] = c
		t.active++
	}
	t.formerTotal = max(t.formerTotal, min(r.RecentTotal, t.quota.PerSecond))
	r.SpentAlone = min(r.SpentAlone, t.maxSpentAlone(o.bounds))
	t.settleAccounts(now, c, o.bounds.hold(t.quota), request, r)
	granted := t.grant(now, c, r)
	t.tokens -= float64(granted)
	c.granted.add(now, float64(granted))
	c.heardAt, c.sequence, c.unacknowledged = now, request.Sequence, granted
	t.stated -= c.stated
	c.rate = 0
	if rate := c.granted.perSecond(now); rate >= minAloneRate {
		c.rate = max(min(rateHeadroom*rate, t.quota.PerSecond-t.stated), 0)
	}
	c.stated = c.rate
	t.stated += c.rate
	c.kept = min(max(r.Kept, 0), depth(c.rate))
	t.tokens -= c.kept
	t.aside += c.kept
	c.setAside = c.kept
	reply := TeamReply{Team: r.Team, IsOwner: true, Granted: granted, Rate: c.rate, TotalRate: t.stated}
	if granted < r.Want {
		t.shortUntil = now.Add(activeTime)
		reply.Wait = t.pause()
	}
	o.setState(r.Team, t, t.currentState(now))
	return reply
}

// maxSpentAlone bounds what an entry is charged with at once. What was spent before the
// last window does not count, and a larger number would refuse the calls of all entries
// long after it.
func (t *ownedTeam) maxSpentAlone(bounds Bounds) int {
	return int(min(bounds.Limit(t.quota), math.MaxInt32))
}

func (t *ownedTeam) currentState(now time.Time) OwnerState {
	switch {
	case now.Sub(t.since) < settleTime:
		return OwnerSettling
	case now.Before(t.shortUntil):
		return OwnerShort
	default:
		return OwnerGranting
	}
}

// settleAccounts credits what was set aside for the entry, what it returns and what it
// never received, and charges what it spent alone. What the entry could no longer spend
// is not credited: the bucket has refilled since, and the team would get it twice.
func (t *ownedTeam) settleAccounts(now time.Time, c *client, hold time.Duration, request Request, r TeamRequest) {
	spent := float64(max(r.SpentAlone, 0))
	c.granted.add(now, spent)
	if c.isAsideOver {
		spent = max(spent-c.setAside, 0)
	} else {
		t.tokens += c.setAside
		t.aside -= c.setAside
	}
	c.setAside, c.isAsideOver = 0, false
	t.tokens += float64(max(r.Returned, 0)) - spent
	if c.sequence > request.Acknowledged && now.Sub(c.heardAt) <= hold {
		t.tokens += float64(c.unacknowledged)
	}
	t.tokens = min(t.tokens, t.capacity()-t.aside)
}

func (t *ownedTeam) grant(now time.Time, c *client, r TeamRequest) int {
	granted := max(min(r.Want, int(t.tokens)), 0)
	if now.Before(t.shortUntil) {
		// Twice the rate during a pause, and what is left of the burst, for all entries.
		share := (2*t.quota.PerSecond*t.pause().Seconds() + t.tokens) / float64(max(t.active, 1))
		granted = min(granted, max(int(share), 1))
	}
	if now.Sub(t.since) >= settleTime {
		return granted
	}
	c.formerTokens += c.former * now.Sub(c.heardAt).Seconds()
	fromFormer := min(granted, int(c.formerTokens))
	c.formerTokens -= float64(fromFormer)
	beyond := min(granted-fromFormer, int(t.allowance))
	t.allowance -= float64(beyond)
	return fromFormer + beyond
}

// pause returns the time after which an entry that got too little asks again. All active
// entries together then ask about twice for each token.
func (t *ownedTeam) pause() time.Duration {
	seconds := float64(t.active) / t.quota.PerSecond / 2
	return min(max(time.Duration(min(seconds, 1)*float64(time.Second)), minPause), maxPause)
}
