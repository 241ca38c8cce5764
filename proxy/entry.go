package proxy

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// entryCall is a caller's call at the entry proxy.
type entryCall struct {
	rule  *route.Rule
	state *ruleState
	// team is the team whose key the call carried, nil where the rule needs no key.
	team *hornbeamwell.Team
	// hasUnknownKey is true if the call was refused although it carried one key.
	hasUnknownKey bool
	// service is the service that receives the call. It is the same for all
	// attempts.
	service *serviceState
	// id is the caller's id of the call.
	id string
	// version is the configuration version by which the call was routed.
	version hornbeamwell.ConfigVersion
	body    *requestBody
	key     string
	arrived time.Time
	// deadline is the end of the rule's timeout, or an earlier time set by the
	// caller.
	deadline time.Time
	// elapsedBefore is an estimate of the time that the caller spent on earlier
	// sends of this call.
	elapsedBefore time.Duration
	// attempts counts the attempts, sends those whose target may have received
	// the call.
	attempts, sends int
	// exposed counts the attempts that have reached a target or may still do so. Attempts
	// that run read it.
	exposed atomic.Int32
	// mayHaveRun is true once an attempt ended without a response although its
	// target may have run the call.
	mayHaveRun bool
	// unsettled holds the attempts that were lost without a response and may still be
	// withdrawn.
	unsettled []*sentAttempt
	tried     [maxAttempts]*route.Candidate
	// refusedBy is the target of the attempt that ended last.
	refusedBy *route.Candidate
	// isLinkBusy is true if the reason of the last refusal was the busy link of
	// a target in the local zone.
	isLinkBusy bool
	// fingerprint identifies the request among those suspected to crash
	// targets.
	fingerprint route.Fingerprint
	// evacuated are the zones whose exit refused the call because the zone is
	// evacuated. The call is not sent there again.
	evacuated []string
	// holder is the target of the next attempt if a refusal stated that its
	// proxy has a record of the key. It is empty otherwise.
	holder string
	// throttledShare is the probability with which the last attempt was throttled, 0 if
	// none was.
	throttledShare float64
}

// maxAttempts bounds the attempts of one call.
const maxAttempts = 4

// replyGrace is the time after a call's deadline for which the entry proxy waits for
// the exit proxy, which ends the call at the deadline and knows whether it has run.
const replyGrace = 100 * time.Millisecond

// serveEntry serves a call from a caller.
func (p *Proxy) serveEntry(w http.ResponseWriter, r *http.Request) {
	p.inFlight.begin()
	defer p.inFlight.end()
	w = closingWriter{ResponseWriter: w, proxy: p}
	now := p.options.Now()
	call, refused := p.readEntryCall(now, w, r)
	if refused != nil {
		p.logUnsent(now, r, call, refused)
		refused.forKey(r).write(w, p.options.HeaderCodec)
		return
	}
	ctx, pending := p.beginPending(r.Context(), now, entrySide, call.rule.Name)
	defer pending.release()
	// The deadline is a time of the proxy's clock, which may not be that of the context.
	ctx, cancel := context.WithTimeout(ctx, call.deadline.Add(replyGrace).Sub(p.options.Now()))
	defer cancel()
	defer watchCaller(ctx, r, cancel)()
	if refused := p.takeQuota(ctx, call); refused != nil {
		refused = refused.forKey(r).withJitter(p.options.Rand)
		call.state.countRefusal(refused)
		p.teamCalls.countRefusal(call.team, refused)
		p.logRefused(p.options.Now(), call, refused)
		refused.write(w, p.options.HeaderCodec)
		return
	}
	call.service.budget.Deposit()
	call.service.hedges.deposit()
	prepareEntryHeaders(r)
	p.setCallerHeaders(r.Header, call)
	response, refused := p.sendWithRetries(ctx, r, call)
	if refused == nil {
		refused = p.prepareResponse(ctx, call, pending, response)
	}
	if refused != nil {
		refused = p.settleCall(ctx, call, refused)
		refused = refused.afterAttempts(call.mayHaveRun)
		p.returnQuota(call, refused)
		if call.key != "" {
			refused = refused.forKey(r)
		}
		call.state.countRefusal(refused)
		p.teamCalls.countRefusal(call.team, refused)
		refused = refused.withJitter(p.options.Rand)
		p.nested.reportRefused(p.options.Now(), r, p.local.Load(), refused)
		p.logRefused(p.options.Now(), call, refused)
		refused.keyProved, refused.holder = false, ""
		refused.write(w, p.options.HeaderCodec)
		return
	}
	call.state.ran.Inc()
	p.teamCalls.countRan(call.team)
	p.respondToCaller(ctx, w, r, call, response)
}

// readEntryCall matches the call to a rule and reads a small body.
func (p *Proxy) readEntryCall(now time.Time, w http.ResponseWriter, r *http.Request) (*entryCall, *refusal) {
	if p.draining.Load() || p.refuseForStop(now, 0) != nil {
		return nil, notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter)
	}
	if !isUnambiguous(r) {
		callsAmbiguous.Inc()
		return nil, notRun(http.StatusBadRequest, ReasonBadRequest, 0)
	}
	table := p.table.Load()
	rule := table.Match(r.Host, r.Method, r.URL.Path)
	if rule == nil && table.Version == 0 {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotConfigured, defaultRetryAfter)
	}
	if rule == nil {
		callsWithoutRoute.Inc()
		return nil, notRun(http.StatusNotFound, ReasonNoRoute, 0)
	}
	metadata := p.options.HeaderCodec.ReadCall(r.Header)
	call := &entryCall{
		rule: rule, state: table.rules[rule], id: metadata.ID, version: table.Version, arrived: now, deadline: now.Add(rule.Timeout),
	}
	if refused := p.readTeam(r, table, call); refused != nil {
		return call, refused
	}
	mean := time.Duration(call.state.meanLatency.Load())
	if refused := p.refuseForStop(now, mean); refused != nil {
		return call, refused
	}
	call.service = call.state.nextService()
	timeout := rule.Timeout
	if metadata.Remaining > 0 {
		timeout = min(timeout, metadata.Remaining)
		call.elapsedBefore = call.state.elapsedBefore(metadata.Remaining)
	}
	call.deadline = now.Add(timeout)
	if !rule.Idempotent {
		call.key = r.Header.Get(headerKey)
	}
	setCallerDeadlines(w, r, timeout-p.options.Now().Sub(now))
	if refused := p.readEntryBody(w, r, call); refused != nil {
		return call, refused
	}
	// A slow caller may have taken until now to send the body.
	if refused := p.refuseForStop(p.options.Now(), mean); refused != nil {
		return call, refused
	}
	call.fingerprint = suspectFingerprint(r, call.body)
	return call, p.refuseSuspect(now, call.fingerprint)
}

// readEntryBody reads a small body before the call's deadline.
func (p *Proxy) readEntryBody(w http.ResponseWriter, r *http.Request, call *entryCall) *refusal {
	if r.ContentLength != 0 {
		defer p.stopping.beginBody(w)()
	}
	body, err := readBody(r, call.rule.MaxBodyBytes)
	switch {
	case err == nil:
		call.body = body
		return nil
	case errors.Is(err, errBodyTooLarge):
		return notRun(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case !p.options.Now().Before(call.deadline):
		return notRun(http.StatusRequestTimeout, ReasonTimeout, 0)
	case p.refuseForStop(p.options.Now(), 0) != nil:
		return notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter)
	default:
		return notRun(http.StatusBadRequest, ReasonBadRequest, 0)
	}
}

// setCallerDeadlines sets the deadlines for reading the body from the caller
// and writing the response of a call that has the given time left. They are times of the
// runtime's clock, which may not be that of the proxy.
func setCallerDeadlines(w http.ResponseWriter, r *http.Request, left time.Duration) {
	deadline := time.Now().Add(left)
	control := http.NewResponseController(w)
	// The errors are ignored: a writer that does not support deadlines has no
	// connection to bound.
	_ = control.SetWriteDeadline(deadline.Add(refusalGrace))
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(deadline)
	}
}

// refusalGrace is the time after a call's deadline that is left for writing a
// timeout refusal.
const refusalGrace = 2 * time.Second

// prepareEntryHeaders converts the caller's headers to those for the exit
// proxy.
func prepareEntryHeaders(r *http.Request) {
	h := r.Header
	dropHopHeaders(h)
	dropOwnHeaders(h)
	keepUserAgent(h)
}

// callerOf returns the text that identifies the caller for fair queueing: the team, or
// the caller's address where the call has none.
func callerOf(r *http.Request, call *entryCall) string {
	if call.team != nil {
		return teamCaller(call.team.Name)
	}
	return callerAddress(r)
}

// callerAddress returns the caller's address without the port.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// sendWithRetries sends the call until it has a response or no further attempt
// is allowed.
func (p *Proxy) sendWithRetries(ctx context.Context, r *http.Request, call *entryCall) (*targetResponse, *refusal) {
	var last *refusal
	// failure is the target's response to an attempt that was followed by
	// another one.
	var failure *targetResponse
	for {
		p.refreshEvacuations(call)
		candidate := p.pick(call)
		if candidate == nil && last != nil && last.isConnectionFault() && p.mayTryAgain(call, call.tried[0]) {
			// A new connection to the first target may succeed.
			candidate = call.tried[0]
		}
		if candidate == nil || call.attempts > 0 && !p.mayStart(p.options.Now(), call) {
			return finalResult(call, failure, last)
		}
		if throttled := p.throttle(call); throttled != nil {
			if last != nil || failure != nil {
				return finalResult(call, failure, last)
			}
			return nil, throttled
		}
		if isCallerGone(ctx) {
			return finalResult(call, failure, cmp.Or(last, notRun(http.StatusServiceUnavailable, ReasonCallerGone, 0)))
		}
		assertAttempt(call, last)
		response, refused := p.attempt(ctx, r, call, candidate)
		if refused == nil && failure == nil && p.mayFailOver(ctx, call, response) {
			failure, last = response, nil
			continue
		}
		if refused == nil {
			failure.release()
			return response, nil
		}
		if failure != nil {
			return failure, nil
		}
		refused = refused.withEarlierRetry(last)
		last = refused
		if refused.reason == ReasonEvacuated {
			call.evacuated = append(call.evacuated, call.refusedBy.Zone)
		}
		call.isLinkBusy = refused.reason == ReasonLinkBusy && call.refusedBy.Zone == p.options.Zone
		hasTime := ctx.Err() == nil && p.options.Now().Before(call.deadline)
		if refused.holder != "" && call.attempts < maxAttempts && hasTime {
			call.holder = refused.holder
			continue
		}
		if !call.body.isAvailable() || !p.mayRetry(ctx, call, refused) {
			return nil, refused
		}
	}
}

// finalResult returns the result of a call that has no candidate target left.
func finalResult(call *entryCall, failure *targetResponse, last *refusal) (*targetResponse, *refusal) {
	switch {
	case failure != nil:
		return failure, nil
	case last != nil:
		return nil, last
	case call.service.isEvacuated:
		return nil, notRun(http.StatusServiceUnavailable, ReasonEvacuated, defaultRetryAfter)
	default:
		return nil, notRun(http.StatusServiceUnavailable, ReasonNoTarget, defaultRetryAfter)
	}
}

// serviceFailureThreshold is the failure rate of a service at or above which a
// failure is not attributed to a single target.
const serviceFailureThreshold = 0.2

// mayFailOver reports whether a failure response of a target is followed by an
// attempt at another target, and withdraws that attempt from the retry budget.
// The caller gets the response to that attempt even if it is a failure too. If
// there is none, the caller gets the first response.
func (p *Proxy) mayFailOver(ctx context.Context, call *entryCall, response *targetResponse) bool {
	isFailure := response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
	if !isFailure || !response.complete || !call.rule.Idempotent || ctx.Err() != nil || call.attempts >= maxAttempts {
		return false
	}
	now := p.options.Now()
	if !route.MayRetry(call.rule, call.sends, route.OutcomeUnknown, call.deadline.Sub(now)) {
		return false
	}
	// If the whole service fails, another target would fail too.
	return call.service.health.FailureRate(now) < serviceFailureThreshold && p.withdrawRetry(call)
}

// mayRetry reports whether another attempt is allowed and withdraws it from the
// retry budget. The attempt is free if no earlier one may have reached a target, or if
// it replaces one that an evacuated exit refused or that was withdrawn.
func (p *Proxy) mayRetry(ctx context.Context, call *entryCall, refused *refusal) bool {
	remaining := call.deadline.Sub(p.options.Now())
	if ctx.Err() != nil || p.refuseSuspect(p.options.Now(), call.fingerprint) != nil {
		return false
	}
	if refused.reason == ReasonWithdrawn && p.stopping.schedule.Load() != nil {
		// This proxy withdrew the call, since it stops before another target might run it.
		return false
	}
	if refused.reason == ReasonNestedRefused {
		// The service that the target calls has no room for the calls of others either.
		return false
	}
	if refused.reason == ReasonLinkBusy && refused.outcome != route.OutcomeNotRun {
		// Another run would most probably end too late for its response as well.
		return false
	}
	if call.attempts >= maxAttempts || !route.MayRetry(call.rule, call.sends, refused.outcome, remaining) {
		return false
	}
	return call.sends == 0 || refused.reason == ReasonEvacuated || refused.isWithdrawn || p.withdrawRetry(call)
}

// withdrawRetry withdraws a retry from the budget of the call's service.
func (p *Proxy) withdrawRetry(call *entryCall) bool {
	if !call.service.budget.Withdraw() {
		call.state.retriesDenied.Inc()
		return false
	}
	call.state.retries.Inc()
	return true
}

// pick returns the target of the next attempt, nil if there is none.
func (p *Proxy) pick(call *entryCall) *route.Candidate {
	now := p.options.Now()
	service := call.service
	if holder := call.holder; holder != "" {
		call.holder = ""
		return service.targets[holder]
	}
	point := service.point(p, call)
	// The lease is checked for each call, since the process may have been suspended
	// since it was set.
	canaryAllowed := service.Canary() == "" || (p.isShareLeased(p.options.LeaseNow()) && service.evidence.allowsCanary())
	version := service.Version(point, canaryAllowed)
	if !service.HasShares() {
		version = service.serving
	}
	if version == service.Canary() && len(call.outsideEvacuated(service.owners[version])) == 0 {
		// Without targets, the calls of the canary version go to the stable
		// one.
		version = service.Version(point, false)
	}
	if call.key != "" {
		return route.Owner(call.key, call.outsideEvacuated(service.owners[version]), call.tried[:call.attempts])
	}
	group := service.group(version)
	if group == nil {
		return nil
	}
	if len(call.evacuated) > 0 {
		group = group.Outside(call.evacuated)
	}
	locality := route.LocalityShort
	if p.link.HasLongResponses(call.rule.Name) {
		locality = route.LocalityLong
	}
	picked := group.Pick(now, p.options.Rand, locality, call.tried[:call.attempts])
	// A busy link in the local zone is no reason for a long response to use
	// another zone: cross-zone bandwidth costs more than a later response.
	if call.isLinkBusy && picked != nil && picked.Zone != p.options.Zone {
		return nil
	}
	return picked
}

// group returns the targets of the version. Outside a move, a version without
// targets is replaced by another version with a share.
func (s *serviceState) group(version string) *route.Group {
	if group := s.groups[version]; group != nil || s.Canary() != "" {
		return group
	}
	for _, v := range s.Versions {
		if group := s.groups[v.Name]; v.Share > 0 && group != nil {
			return group
		}
	}
	return nil
}

// assertAttempt checks that a call that is not idempotent is never sent again
// after an attempt that may have run. A proxy that redirects to another holder
// did not run the call.
func assertAttempt(call *entryCall, last *refusal) {
	if last == nil || call.rule.Idempotent || last.outcome == route.OutcomeNotRun || last.reason == ReasonMoved {
		return
	}
	hornbeamwell.ReportViolation("at_most_once", "route %q: retried after an attempt with outcome %q", call.rule.Name, last.outcome)
}
