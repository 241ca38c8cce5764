package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/quota"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// quotaTimeout bounds an exchange with the owner of a team, and the time for which
	// a call waits for tokens.
	quotaTimeout = quota.MaxWait
	// maxListed bounds the time for which a proxy counts on being listed, and is that time
	// where nothing states one.
	maxListed = time.Minute
	// maxQuotaBytes bounds a request for tokens and its reply.
	maxQuotaBytes = 256 << 10
	// maxQuotaPasses bounds how often one event leads to a request to this proxy
	// itself.
	maxQuotaPasses = 3
	// maxQuotaLines bounds the log lines per second about the states of teams.
	maxQuotaLines = 20
	// maxQuotaTeams is the number of teams, those with the highest rates, that have
	// metrics of their own. The rest share one.
	maxQuotaTeams = 20
	otherTeams    = "other"
)

// teamQuotas keeps the calls of teams within their quotas. Without a team that has a
// quota it runs no timer and sends nothing.
type teamQuotas struct {
	proxy *Proxy
	// isActive is true while a team has a quota.
	isActive atomic.Bool
	lines    *rate.Limiter
	// listedUntil is the time until which the lists contain this proxy, on the clock
	// Options.LeaseNow. It is nil where nothing sets it.
	listedUntil atomic.Pointer[time.Time]

	// mu guards the fields below.
	mu    sync.Mutex
	entry *quota.Entry
	owner *quota.Owner
	// isCutOff is what the owner was told last.
	isCutOff bool
	ring     quota.Ring
	// quotas holds the limits of the teams that have a quota.
	quotas map[string]hornbeamwell.Quota
	// self is the member name of this proxy, empty without a local target.
	self string
	// candidates are the members of the last update, members the names of those that
	// are not over, sorted.
	candidates []quotaMember
	members    []string
	// membersUntil is the time at which the next candidate is over, zero if none will
	// be.
	membersUntil time.Time
	// waiting holds the calls of each team that wait for tokens, in order.
	waiting  map[string][]*quotaWaiter
	counters map[string]*quotaCounters
	// wakeAt is the time of the scheduled timer, zero if there is none.
	wakeAt time.Time
}

// quotaMember is a proxy that takes part in quotas.
type quotaMember struct {
	exit netip.AddrPort
	// until is the end of the membership, zero while the target is listed.
	until time.Time
}

// quotaWaiter is a call that waits for a token.
type quotaWaiter struct {
	// decided receives the decision. It has room for it.
	decided chan quota.Decision
}

func (q *teamQuotas) init(p *Proxy) {
	id := p.options.Instance + "-" + strconv.FormatInt(p.options.Now().UnixNano(), 36)
	q.proxy = p
	q.lines = rate.NewLimiter(maxQuotaLines, maxQuotaLines)
	q.entry = quota.NewEntry(id, p.options.Quota, p.options.Rand)
	q.owner = quota.NewOwner(id, p.options.Quota)
	q.waiting = make(map[string][]*quotaWaiter)
}

// update sets the teams and the members: the proxies of all live targets, including
// draining ones.
func (q *teamQuotas) update(now time.Time, teams []hornbeamwell.Team, members []quotaMember) {
	quotas := make(map[string]hornbeamwell.Quota)
	for _, team := range teams {
		if team.Quota.IsLimited() {
			quotas[team.Name] = team.Quota
		}
	}
	wasActive := q.isActive.Swap(len(quotas) > 0)
	if len(quotas) == 0 && !wasActive {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quotas, q.candidates = quotas, members
	q.self = ""
	if local := q.proxy.local.Load(); local != nil {
		q.self = local.Exit.String()
	}
	q.counters = quotaCountersOf(quotas)
	q.applyMembers(now)
	q.pump(now)
}

// applyMembers assigns the teams to the present members. The caller holds the mutex.
func (q *teamQuotas) applyMembers(now time.Time) {
	var members []string
	members, q.membersUntil = presentMembers(now, q.candidates)
	if len(q.quotas) == 0 {
		q.membersUntil = time.Time{}
	}
	if !slices.Equal(members, q.members) {
		missing := 0
		for _, c := range q.candidates {
			if !c.until.IsZero() && now.Before(c.until) {
				missing++
			}
		}
		q.log("event", "quota_members_changed", "before", len(q.members), "members", len(members), "missing", missing,
			"next_end_ms", max(q.membersUntil.Sub(now), 0).Milliseconds())
		q.members = members
		q.ring.SetMembers(members)
	}
	q.ring.RetainTeams(func(team string) bool { _, found := q.quotas[team]; return found })
	owned := make(map[string]hornbeamwell.Quota)
	for name, limit := range q.quotas {
		if owner := q.ring.Owner(name); owner != "" && owner == q.self {
			owned[name] = limit
		}
	}
	q.owner.Update(now, owned)
	q.entry.Update(now, q.quotas, &q.ring, q.self)
}

// SetListed sets the time until which the lists of other proxies contain this one, on the
// clock Options.LeaseNow. From then on this proxy grants the quotas of teams only if it
// reaches most members. A proxy without such a time takes itself to be listed.
func (p *Proxy) SetListed(until time.Time) { p.quotas.listedUntil.Store(&until) }

// observeReach tells the owner whether this proxy is cut off. The caller holds the mutex.
func (q *teamQuotas) observeReach(now time.Time) {
	if q.entry.IsIsolated(now) {
		q.owner.SetLost(now)
	}
	listed := maxListed
	if until := q.listedUntil.Load(); until != nil {
		listed = min(until.Sub(q.proxy.options.LeaseNow()), maxListed)
	}
	q.entry.SetListed(now.Add(listed))
	if isCutOff := q.entry.IsCutOff(now); isCutOff != q.isCutOff {
		q.isCutOff = isCutOff
		reached, asked := q.entry.Reached(now)
		q.log("event", "quota_owner_reach", "cut_off", isCutOff, "reached", reached, "asked", asked, "listed_ms", listed.Milliseconds())
		q.owner.SetCutOff(now, isCutOff)
	}
}

// presentMembers returns the names of the candidates whose membership is not over,
// sorted, and the time at which the next one is over, zero if none will be.
func presentMembers(now time.Time, candidates []quotaMember) (members []string, next time.Time) {
	for _, c := range candidates {
		if !c.until.IsZero() {
			if !now.Before(c.until) {
				continue
			}
			if next.IsZero() || c.until.Before(next) {
				next = c.until
			}
		}
		members = append(members, c.exit.String())
	}
	slices.Sort(members)
	return slices.Compact(members), next
}

// takeQuota spends a token of the call's team. It waits for the owner's reply where the
// entry has no token yet. It returns nil if the call may be sent.
func (p *Proxy) takeQuota(ctx context.Context, call *entryCall) *refusal {
	if call.team == nil || !call.team.Quota.IsLimited() {
		return nil
	}
	decision, waiter := p.quotas.take(p.options.Now(), call.team.Name)
	if waiter != nil {
		decision = p.quotas.wait(ctx, call.team.Name, waiter)
	}
	if decision.Verdict == quota.VerdictSpend {
		return nil
	}
	return notRun(http.StatusTooManyRequests, ReasonQuotaExceeded, decision.RetryAfter)
}

// returnQuota returns the token of a call that no target received.
func (p *Proxy) returnQuota(call *entryCall, refused *refusal) {
	if call.team == nil || !call.team.Quota.IsLimited() || refused.reachedTarget() || call.sends > 0 {
		return
	}
	p.quotas.mu.Lock()
	defer p.quotas.mu.Unlock()
	now := p.options.Now()
	p.quotas.entry.Return(now, call.team.Name)
	p.quotas.pump(now)
}

// take decides on a call. The waiter is nil unless the call waits.
func (q *teamQuotas) take(now time.Time, team string) (quota.Decision, *quotaWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.entry.Take(now, team)
	switch decision.Verdict {
	case quota.VerdictRefuse:
		// Nothing is due after a refusal, which is the frequent case of a hot team.
		return decision, nil
	case quota.VerdictSpend:
		q.pump(now)
		return decision, nil
	default:
		waiter := &quotaWaiter{decided: make(chan quota.Decision, 1)}
		q.waiting[team] = append(q.waiting[team], waiter)
		q.pump(now)
		return decision, waiter
	}
}

// wait waits for the decision on a call for at most quotaTimeout.
func (q *teamQuotas) wait(ctx context.Context, team string, waiter *quotaWaiter) quota.Decision {
	timer := time.NewTimer(quotaTimeout)
	defer timer.Stop()
	select {
	case decision := <-waiter.decided:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case decision := <-waiter.decided:
		return decision
	default:
	}
	q.waiting[team] = slices.DeleteFunc(q.waiting[team], func(w *quotaWaiter) bool { return w == waiter })
	return q.entry.Cancel(q.proxy.options.Now(), team)
}

// pump sends what is due, decides on waiting calls and schedules the next look. The
// caller holds the mutex.
func (q *teamQuotas) pump(now time.Time) {
	if !q.membersUntil.IsZero() && !now.Before(q.membersUntil) {
		q.applyMembers(now)
	}
	q.observeReach(now)
	for range maxQuotaPasses {
		askedSelf := false
		for _, batch := range q.entry.Next(now) {
			if batch.Owner == q.self {
				q.entry.Receive(now, batch.Owner, q.owner.Serve(now, batch.Request))
				askedSelf = true
				continue
			}
			go q.exchange(batch)
		}
		q.resolve(now)
		if !askedSelf {
			break
		}
	}
	q.report()
	q.schedule(now)
}

// resolve decides on the waiting calls.
func (q *teamQuotas) resolve(now time.Time) {
	for team, waiters := range q.waiting {
		decided := 0
		for _, w := range waiters {
			decision := q.entry.Resolve(now, team)
			if decision.Verdict == quota.VerdictWait {
				break
			}
			w.decided <- decision
			decided++
		}
		if decided == len(waiters) {
			delete(q.waiting, team)
			continue
		}
		q.waiting[team] = waiters[decided:]
	}
}

func (q *teamQuotas) schedule(now time.Time) {
	at, isNeeded := q.entry.NextAt(now)
	if !q.membersUntil.IsZero() && (!isNeeded || q.membersUntil.Before(at)) {
		at, isNeeded = q.membersUntil, true
	}
	if !isNeeded || !q.wakeAt.IsZero() && !at.Before(q.wakeAt) {
		return
	}
	at = maxTime(at, now.Add(time.Millisecond))
	q.wakeAt = at
	time.AfterFunc(at.Sub(now), func() { q.wake(at) })
}

func maxTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// wake runs at the scheduled time. A timer that an earlier one replaced does nothing.
func (q *teamQuotas) wake(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.wakeAt.Equal(at) {
		return
	}
	q.wakeAt = time.Time{}
	q.pump(q.proxy.options.Now())
}

// exchange sends a request to an owner and takes its reply.
func (q *teamQuotas) exchange(batch quota.Batch) {
	reply, err := q.request(batch)
	if err != nil {
		if len(batch.Request.Teams) > 0 {
			quotaOwnersUnreachable.Inc()
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.proxy.options.Now()
	if err != nil {
		q.entry.Fail(now, batch.Owner, batch.Request.Sequence)
	} else {
		q.entry.Receive(now, batch.Owner, reply)
	}
	q.pump(now)
}

func (q *teamQuotas) request(batch quota.Batch) (quota.Reply, error) {
	// A context with a deadline would make the pool close its idle connections, which
	// calls with longer deadlines can still use.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := time.AfterFunc(quotaTimeout, cancel)
	defer timer.Stop()
	body, err := json.Marshal(wire.FromQuotaRequest(batch.Request))
	if err != nil {
		return quota.Reply{}, fmt.Errorf("encode quota request: %w", err)
	}
	reply, err := q.send(ctx, batch.Owner, body)
	if errors.Is(err, errUnsent) && ctx.Err() == nil {
		// The owner closed the idle connection.
		return q.send(ctx, batch.Owner, body)
	}
	return reply, err
}

func (q *teamQuotas) send(ctx context.Context, owner string, body []byte) (quota.Reply, error) {
	address, err := netip.ParseAddrPort(owner)
	if err != nil {
		return quota.Reply{}, fmt.Errorf("parse owner address: %w", err)
	}
	peer := q.proxy.peers.get(address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.pool.address+"/", bytes.NewReader(body))
	if err != nil {
		return quota.Reply{}, fmt.Errorf("create quota request: %w", err)
	}
	request.Header[headerQuota] = valueTrue
	response, err := peer.exchange(ctx, q.proxy.options.Now, request)
	if err != nil {
		return quota.Reply{}, fmt.Errorf("send quota request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxQuotaBytes))
	if err != nil {
		return quota.Reply{}, fmt.Errorf("read quota reply: %w", err)
	}
	// A proxy of an earlier version takes the request for a call and refuses it.
	if response.StatusCode != http.StatusOK || response.Header[headerQuota] == nil {
		return quota.Reply{}, fmt.Errorf("quota request: %w %d", errQuotaStatus, response.StatusCode)
	}
	var reply wire.QuotaReply
	if err := json.Unmarshal(content, &reply); err != nil {
		return quota.Reply{}, fmt.Errorf("decode quota reply: %w", err)
	}
	return reply.ToQuotaReply(), nil
}

var errQuotaStatus = errors.New("reply with status")

// serveQuota serves the request of an entry for tokens of the teams that this proxy
// owns.
func (p *Proxy) serveQuota(w http.ResponseWriter, r *http.Request) {
	w.Header()[headerQuota] = valueTrue
	content, release, err := readPeerBody(r, maxQuotaBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer release()
	// A request of empty teams takes many times its size.
	releaseTeams, err := connection.Retain(r.Context(), connection.DocumentBytes(content))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer releaseTeams()
	var request wire.QuotaRequest
	if err := json.Unmarshal(content, &request); err != nil || !areNames(request.Entry) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(wire.FromQuotaReply(p.quotas.serve(p.options.Now(), request.ToQuotaRequest())))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	// An entry that gets no reply asks again.
	_, _ = w.Write(body)
}

func (q *teamQuotas) serve(now time.Time, request quota.Request) quota.Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observeReach(now)
	reply := q.owner.Serve(now, request)
	q.report()
	return reply
}
