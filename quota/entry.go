package quota

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// demandSlot is the slot of the meter of calls.
	demandSlot = time.Second
	// minAhead is the number of tokens below which an entry asks for none ahead of the
	// calls. With 1, the entries of 71 proxies held a good part of a team's burst: 45 of
	// 1,837 calls per second were refused without a fault.
	minAhead = 3
	// lateReply is the age of a request without a reply from which on the owner counts as
	// out of reach for a call that has waited in vain.
	lateReply = MaxWait / 2
	// minRetry and maxRetry bound the time after which an entry asks an owner again
	// that did not reply twice. After the first failure it asks at once: most often a
	// single message was lost.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// MaxWait is the time for which a call may wait for tokens. It is also the time-out of
	// a request.
	MaxWait = 100 * time.Millisecond
	// isolationTime is the time without a reply of any other proxy after which an
	// entry whose requests fail takes itself to be cut off.
	isolationTime = time.Second
	// shortTime is the time after a reply with too few tokens for which a team stays in
	// the state EntryShort. A hot team gets some tokens in between.
	shortTime = 2 * time.Second
	// randomSteps is the resolution of random fractions.
	randomSteps = 1 << 16
)

// Verdict is the decision on a call.
type Verdict int

// The verdicts.
const (
	// VerdictSpend lets the call through. Its token is spent.
	VerdictSpend Verdict = iota
	// VerdictRefuse refuses the call.
	VerdictRefuse
	// VerdictWait makes the call wait for the reply of the owner.
	VerdictWait
)

// Decision is a verdict with its inputs.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused call may come back.
	RetryAfter time.Duration
}

// EntryState is the state of a team at an entry.
type EntryState string

// The states of a team at an entry.
const (
	// EntryGranted means that the owner grants what the entry asks for.
	EntryGranted EntryState = "granted"
	// EntryShort means that the owner lately granted less than the entry asked for.
	EntryShort EntryState = "short"
	// EntryAlone means that the owner is out of reach.
	EntryAlone EntryState = "alone"
)

// EntryChange is a change of the state of a team at an entry, with its inputs.
type EntryChange struct {
	Team, Owner string
	From, To    EntryState
	// Rate is the rate of the owner's last reply, SinceReply the age of that reply, 0
	// if there was none.
	Rate       float64
	SinceReply time.Duration
	Wait       time.Duration
}

// EntryCounts are the numbers of tokens of a team at an entry since the last take.
type EntryCounts struct {
	Asked, Granted, Spent, SpentAlone, Returned, Expired, Refused int
}

// Batch is a request that is due to an owner.
type Batch struct {
	Owner   string
	Request Request
}

// Entry decides on the calls at one proxy.
type Entry struct {
	id string
	// self is the member name of this proxy.
	self   string
	bounds Bounds
	random route.Random
	teams  map[string]*entryTeam
	// order holds the teams by name, so that a seed repeats a course of decisions.
	order []*entryTeam
	links map[string]*ownerLink
	ring  *Ring
	// sequence is that of the last request to any owner.
	sequence uint64
	// ownsTeam is true if this proxy owns a team.
	ownsTeam bool
	// reach tells which members reply after the end of the listing of this proxy.
	reach reach
	// succeededAt and failedAt are the times of the last exchange with another proxy
	// that succeeded or failed.
	succeededAt, failedAt time.Time
	changes               []EntryChange
}

// entryTeam is a team at an entry.
type entryTeam struct {
	name  string
	quota hornbeamwell.Quota
	owner string
	// held are the tokens that can be spent, the oldest first.
	held  []heldTokens
	calls meter
	state EntryState
	// waiting counts the calls that wait for the reply of the owner, asked the tokens of
	// the request in flight.
	waiting, asked int
	// blockedUntil is the time until which the owner asked not to be asked.
	blockedUntil time.Time
	// toReturn and spentAlone are reported to the owner with the next request.
	toReturn, spentAlone int
	// reportedAlone is the part of spentAlone that the request in flight reports.
	reportedAlone int
	// shortAt is the time of the last reply with fewer tokens than asked for.
	shortAt time.Time
	// calledAt is the time of the last call.
	calledAt time.Time
	// rate and totalRate are those of the owner's last reply at repliedAt.
	rate, totalRate float64
	repliedAt       time.Time
	// credit is the number of calls that may be let through alone at creditAt.
	credit   float64
	creditAt time.Time
	counts   EntryCounts
}

// heldTokens are tokens of one grant.
type heldTokens struct {
	owner   string
	count   int
	expires time.Time
}

// ownerLink is the exchange with one owner.
type ownerLink struct {
	inFlight     bool
	sentAt       time.Time
	sequence     uint64
	acknowledged uint64
	failures     int
	retryAt      time.Time
}

// NewEntry returns an entry without teams. The id must be unique among all processes
// there ever were.
func NewEntry(id string, bounds Bounds, random route.Random) *Entry {
	return &Entry{
		id: id, bounds: bounds, random: random,
		teams: map[string]*entryTeam{}, links: map[string]*ownerLink{}, ring: &Ring{},
	}
}

// Update sets the teams with a quota, the ring of the members, and the member name of
// this proxy, which is empty while it is no member.
func (e *Entry) Update(now time.Time, quotas map[string]hornbeamwell.Quota, ring *Ring, self string) {
	e.ring, e.self = ring, self
	for name := range e.teams {
		if _, found := quotas[name]; !found {
			delete(e.teams, name)
		}
	}
	owners := make(map[string]bool)
	for name, quota := range quotas {
		team := e.teams[name]
		if team == nil {
			team = &entryTeam{name: name, calls: meter{slot: demandSlot}, state: EntryGranted, creditAt: now}
			e.teams[name] = team
		}
		team.quota = quota
		if owner := ring.Owner(name); owner != team.owner {
			team.owner, team.asked, team.toReturn = owner, 0, 0
			team.spentAlone, team.reportedAlone = 0, 0
			team.blockedUntil = time.Time{}
		}
		owners[team.owner] = true
	}
	e.ownsTeam = self != "" && owners[self]
	e.order = slices.SortedFunc(maps.Values(e.teams), func(a, b *entryTeam) int { return strings.Compare(a.name, b.name) })
	for owner, link := range e.links {
		if !owners[owner] && !link.inFlight {
			delete(e.links, owner)
		}
	}
}

// Take decides on a new call. After VerdictWait, Next must be called, and Resolve or
// Cancel later.
func (e *Entry) Take(now time.Time, name string) Decision {
	team := e.teams[name]
	if team == nil {
		return Decision{Verdict: VerdictSpend}
	}
	team.calls.add(now, 1)
	team.calledAt = now
	if decision := e.decide(now, team); decision.Verdict != VerdictWait {
		return decision
	}
	team.waiting++
	return Decision{Verdict: VerdictWait}
}

// Resolve decides on a waiting call after a reply or a failed exchange. The call goes on
// waiting if the verdict is VerdictWait.
func (e *Entry) Resolve(now time.Time, name string) Decision {
	team := e.teams[name]
	if team == nil {
		return Decision{Verdict: VerdictSpend}
	}
	decision := e.decide(now, team)
	if decision.Verdict != VerdictWait {
		team.waiting = max(team.waiting-1, 0)
	}
	return decision
}

// Cancel ends the wait of a call that got no verdict in time. The call may be let through
// alone if the owner has not replied.
func (e *Entry) Cancel(now time.Time, name string) Decision {
	team := e.teams[name]
	if team == nil {
		return Decision{Verdict: VerdictRefuse, RetryAfter: minPause}
	}
	team.waiting = max(team.waiting-1, 0)
	if decision := e.decide(now, team); decision.Verdict != VerdictWait {
		return decision
	}
	if link := e.links[team.owner]; team.state != EntryAlone && link != nil && link.inFlight && now.Sub(link.sentAt) >= lateReply {
		e.goAlone(now, team)
		if e.spendAlone(now, team) {
			return Decision{Verdict: VerdictSpend}
		}
	}
	return team.refuse(now)
}

func (e *Entry) decide(now time.Time, team *entryTeam) Decision {
	if team.spend(now) || e.spendOwn(now, team) {
		return Decision{Verdict: VerdictSpend}
	}
	if now.Before(team.blockedUntil) {
		return team.refuse(now)
	}
	if team.state != EntryAlone {
		return Decision{Verdict: VerdictWait}
	}
	if e.spendAlone(now, team) {
		return Decision{Verdict: VerdictSpend}
	}
	if link := e.links[team.owner]; link != nil && (link.inFlight || link.retryAt.Sub(now) < MaxWait) {
		return Decision{Verdict: VerdictWait}
	}
	return team.refuse(now)
}

// refuse returns the refusal of a call. Refused calls of a hot team come back no sooner
// than the entry asks again.
func (t *entryTeam) refuse(now time.Time) Decision {
	t.counts.Refused++
	return Decision{Verdict: VerdictRefuse, RetryAfter: max(t.blockedUntil.Sub(now), minPause)}
}

// want returns the number of tokens to ask for.
func (e *Entry) want(now time.Time, team *entryTeam) int {
	if now.Before(team.blockedUntil) {
		return 0
	}
	target := team.waiting
	if ahead := int(team.calls.perSecond(now) * e.bounds.hold(team.quota).Seconds() / 2); ahead >= minAhead && !team.hasOwnRate(now) {
		target += ahead
	}
	have := team.heldCount() + team.asked
	if have >= target || team.waiting == 0 && 2*have > target {
		return 0
	}
	return target - have
}

// Next returns the requests that are due, at most one for each owner. The caller passes
// the results to Receive or Fail.
func (e *Entry) Next(now time.Time) []Batch {
	var due []string
	for _, team := range e.order {
		if e.isDue(now, team) && !slices.Contains(due, team.owner) {
			due = append(due, team.owner)
		}
	}
	batches := make([]Batch, 0, len(due))
	for _, owner := range due {
		batches = append(batches, e.batch(now, owner))
	}
	for _, member := range e.probes(now) {
		batches = append(batches, Batch{Owner: member, Request: Request{Entry: e.id}})
	}
	return batches
}

func (e *Entry) link(owner string) *ownerLink {
	link := e.links[owner]
	if link == nil {
		link = &ownerLink{}
		e.links[owner] = link
	}
	return link
}

func (e *Entry) isDue(now time.Time, team *entryTeam) bool {
	if team.owner == "" {
		return false
	}
	if link := e.links[team.owner]; link != nil && (link.inFlight || now.Before(link.retryAt)) {
		return false
	}
	team.expire(now)
	if team.toReturn > 0 || team.isKeepAliveDue(now) {
		return true
	}
	return e.want(now, team) > 0 || team.state == EntryAlone
}

func (t *entryTeam) isKeepAliveDue(now time.Time) bool {
	return t.rate > 0 && now.Sub(t.repliedAt) >= keepAliveInterval
}

// batch builds the request for all teams of the owner that have something to say.
func (e *Entry) batch(now time.Time, owner string) Batch {
	link := e.link(owner)
	e.sequence++
	request := Request{Entry: e.id, Sequence: e.sequence, Acknowledged: link.acknowledged}
	for _, team := range e.order {
		if team.owner != owner {
			continue
		}
		want := e.want(now, team)
		if want == 0 && team.toReturn == 0 && team.state != EntryAlone && team.rate == 0 {
			continue
		}
		request.Teams = append(request.Teams, TeamRequest{
			Team: team.name, Want: want, Returned: team.toReturn, SpentAlone: team.spentAlone, Kept: e.kept(now, team),
			Recent: team.recent(now, team.rate), RecentTotal: team.recent(now, team.totalRate),
		})
		team.asked, team.reportedAlone = want, team.spentAlone
		team.counts.Asked += want
		team.counts.Returned += team.toReturn
		// A lost request loses the returned tokens: they are never returned twice.
		team.toReturn = 0
	}
	link.inFlight, link.sentAt, link.sequence = true, now, e.sequence
	return Batch{Owner: owner, Request: request}
}

// recent returns the rate if an owner stated it lately.
func (t *entryTeam) recent(now time.Time, rate float64) float64 {
	if now.Sub(t.repliedAt) > aloneTime {
		return 0
	}
	return rate
}

// Receive takes the reply of an owner. It returns false for a reply to an earlier
// request, whose tokens are not taken.
func (e *Entry) Receive(now time.Time, owner string, reply Reply) bool {
	e.reach.add(now, owner)
	link := e.links[owner]
	if link == nil || !link.inFlight || link.sequence != reply.Sequence {
		return false
	}
	link.inFlight, link.failures, link.retryAt, link.acknowledged = false, 0, time.Time{}, reply.Sequence
	if owner != e.self {
		e.succeededAt = now
	}
	for _, r := range reply.Teams {
		team := e.teams[r.Team]
		if team == nil || team.owner != owner {
			continue
		}
		team.asked = 0
		if !r.IsOwner {
			if r.IsCutOff {
				team.rate, team.totalRate, team.repliedAt = 0, 0, time.Time{}
			}
			link.retryAt = now.Add(e.jitter(minRetry))
			e.goAlone(now, team)
			continue
		}
		e.receiveTeam(now, link, team, r)
	}
	return true
}

func (e *Entry) receiveTeam(now time.Time, link *ownerLink, team *entryTeam, r TeamReply) {
	if r.Granted > 0 {
		// Tokens are held from the time of the request, before which none was granted.
		expires := link.sentAt.Add(e.bounds.hold(team.quota))
		if soonest := now.Add(minHold); expires.Before(soonest) {
			expires = soonest
		}
		team.held = append(team.held, heldTokens{owner: team.owner, count: r.Granted, expires: expires})
	}
	team.counts.Granted += r.Granted
	team.rate, team.totalRate = max(min(r.Rate, team.quota.PerSecond), 0), max(min(r.TotalRate, team.quota.PerSecond), 0)
	team.repliedAt = now
	team.spentAlone -= min(team.reportedAlone, team.spentAlone)
	if team.state == EntryAlone || !team.hasOwnRate(now) {
		team.credit = 0
	}
	team.credit = min(team.credit, depth(team.rate))
	team.creditAt = now
	team.blockedUntil = time.Time{}
	state := EntryGranted
	if r.Wait > 0 {
		team.blockedUntil = now.Add(e.jitter(min(r.Wait, maxPause)))
		team.shortAt = now
	}
	if now.Sub(team.shortAt) < shortTime {
		state = EntryShort
	}
	e.setState(now, team, state, r.Wait)
}

// Fail records that the request got no reply.
func (e *Entry) Fail(now time.Time, owner string, sequence uint64) {
	link := e.links[owner]
	if link == nil || !link.inFlight || link.sequence != sequence {
		return
	}
	link.inFlight = false
	link.failures++
	link.retryAt = now
	if link.failures > 1 {
		link.retryAt = now.Add(e.jitter(min(minRetry<<min(link.failures-2, 5), maxRetry)))
	}
	if owner != e.self {
		e.failedAt = now
	}
	e.failTeams(now, owner)
}

func (e *Entry) failTeams(now time.Time, owner string) {
	for _, team := range e.order {
		if team.owner == owner {
			team.asked = 0
			e.goAlone(now, team)
		}
	}
}

func (e *Entry) goAlone(now time.Time, team *entryTeam) {
	if team.state == EntryAlone {
		return
	}
	// A random start makes the sum over all entries right where each may let through
	// less than one call.
	team.credit, team.creditAt = float64(e.random.IntN(randomSteps))/randomSteps, now
	if link := e.links[team.owner]; link != nil && team.rate > 0 && !link.sentAt.Before(team.repliedAt) {
		// The owner sets the rate aside since the last request that it heard.
		team.creditAt = link.sentAt
	}
	if !now.Before(team.repliedAt.Add(aloneTime)) || team.rate == 0 {
		team.credit *= min(e.bounds.reserveRate(team.quota, e.ring.Size())*e.bounds.Window.Seconds(), 1)
	}
	team.blockedUntil = time.Time{}
	e.setState(now, team, EntryAlone, 0)
}

// IsIsolated reports whether requests to other proxies fail and none succeeds. Then the
// others may have another owner for the teams of this proxy.
func (e *Entry) IsIsolated(now time.Time) bool {
	return e.failedAt.After(e.succeededAt) && now.Sub(e.succeededAt) > isolationTime && now.Sub(e.failedAt) < 2*isolationTime
}

// jitter returns a time of 0.75 to 1.25 times the given one, so that entries that were
// refused together do not ask together.
func (e *Entry) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*float64(e.random.IntN(randomSteps))/randomSteps))
}

// NextAt returns the time at which Next may have something without another call.
func (e *Entry) NextAt(now time.Time) (at time.Time, isNeeded bool) {
	for _, team := range e.order {
		when, found := e.teamNextAt(now, team)
		if found && (!isNeeded || when.Before(at)) {
			at, isNeeded = when, true
		}
	}
	if when, found := e.nextProbeAt(); found && (!isNeeded || when.Before(at)) {
		at, isNeeded = when, true
	}
	return at, isNeeded
}

func (e *Entry) teamNextAt(now time.Time, team *entryTeam) (at time.Time, isNeeded bool) {
	link := e.links[team.owner]
	if link == nil || link.inFlight {
		return time.Time{}, false
	}
	switch {
	case team.state == EntryAlone:
		// Without calls, an owner out of reach is not asked any more.
		if now.Sub(team.calledAt) > aloneTime {
			team.rate = 0
			e.setState(now, team, EntryGranted, 0)
			return time.Time{}, false
		}
		at = link.retryAt
	case len(team.held) > 0:
		at = team.held[0].expires
	case team.toReturn > 0 || team.waiting > 0:
		at = now
	case team.rate > 0:
		at = team.repliedAt.Add(keepAliveInterval)
	default:
		return time.Time{}, false
	}
	if at.Before(link.retryAt) {
		at = link.retryAt
	}
	if at.Before(now) {
		at = now
	}
	return at, true
}

func (e *Entry) setState(now time.Time, team *entryTeam, state EntryState, wait time.Duration) {
	if state == team.state {
		return
	}
	change := EntryChange{Team: team.name, Owner: team.owner, From: team.state, To: state, Rate: team.rate, Wait: wait}
	if !team.repliedAt.IsZero() {
		change.SinceReply = now.Sub(team.repliedAt)
	}
	e.changes = append(e.changes, change)
	team.state = state
}

// TakeChanges returns the changes of state since the last call.
func (e *Entry) TakeChanges() []EntryChange {
	changes := e.changes
	e.changes = nil
	return changes
}

// TakeCounts passes the counts of each team since the last call to the function.
func (e *Entry) TakeCounts(add func(team string, counts EntryCounts)) {
	for _, team := range e.order {
		if team.counts != (EntryCounts{}) {
			add(team.name, team.counts)
			team.counts = EntryCounts{}
		}
	}
}
