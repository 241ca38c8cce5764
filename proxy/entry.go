package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// entryCall is a caller's call at the entry proxy.
type entryCall struct {
	rule  *route.Rule
	state *ruleState
	// service takes the call. It stays the same over all attempts.
	service *serviceState
	// id is the caller's name of the call.
	id string
	// version is the configuration version that routed the call.
	version hornbeamwell.ConfigVersion
	body    *requestBody
	key     string
	arrived time.Time
	// deadline is the end of the rule's timeout, or earlier at the caller's
	// wish.
	deadline time.Time
	// elapsedBefore is the time that the caller spent on the call before this one
	// came.
	elapsedBefore time.Duration
	// attempts counts the exit proxies that were asked, sends those of them
	// whose target may have seen the call.
	attempts, sends int
	tried           [maxAttempts]*route.Candidate
	// isLinkBusy is true where the last attempt was refused since the link of a
	// target in the own zone is busy.
	isLinkBusy bool
	// fingerprint identifies the request among those that crash targets.
	fingerprint route.Fingerprint
	// holder is the target whose proxy knows of the key, empty if it is not
	// known.
	holder string
}

// maxAttempts bounds the targets of one call.
const maxAttempts = 4

// serveEntry serves a caller.
func (p *Proxy) serveEntry(w http.ResponseWriter, r *http.Request) {
	p.inFlight.begin()
	defer p.inFlight.end()
	p.setConnectionClose(w)
	now := p.options.Now()
	call, refused := p.readEntryCall(now, w, r)
	if refused != nil {
		p.logUnrouted(now, r, call, refused)
		refused.forKey(r).write(w, p.options.HeaderCodec)
		return
	}
	call.service.budget.Deposit()
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	prepareEntryHeaders(r)
	p.options.HeaderCodec.SetCaller(r.Header, p.options.Service)
	response, refused := p.sendWithRetries(ctx, r, call)
	if refused != nil {
		if call.key != "" {
			refused = refused.forKey(r)
		}
		call.state.countRefusal(refused)
		refused = refused.withJitter(p.options.Rand)
		p.logRefused(p.options.Now(), call, refused)
		refused.keyProved, refused.holder = false, ""
		refused.write(w, p.options.HeaderCodec)
		return
	}
	call.state.ran.Inc()
	p.respondToCaller(ctx, w, call, response)
}

// readEntryCall finds the rule of the call and reads a small body.
func (p *Proxy) readEntryCall(now time.Time, w http.ResponseWriter, r *http.Request) (*entryCall, *refusal) {
	if p.draining.Load() {
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
	call := &entryCall{rule: rule, state: table.rules[rule], id: metadata.ID, version: table.Version, arrived: now}
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
	setCallerDeadlines(w, r, call.deadline)
	if refused := p.readEntryBody(r, call); refused != nil {
		return call, refused
	}
	call.fingerprint = suspectFingerprint(r, call.body)
	return call, p.refuseSuspect(now, call.fingerprint)
}

// prepareEntryHeaders turns the caller's headers into those for the exit.
func prepareEntryHeaders(r *http.Request) {
	h := r.Header
	dropHopHeaders(h)
	dropOwnHeaders(h)
	keepUserAgent(h)
}

// callerAddress names the caller for the fair share: its address without the port.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// sendWithRetries sends the call until it has an answer or is given up.
func (p *Proxy) sendWithRetries(ctx context.Context, r *http.Request, call *entryCall) (*targetResponse, *refusal) {
	var last *refusal
	// failure is the target's own answer of an attempt that was followed by
	// another one.
	var failure *targetResponse
	for {
		candidate := p.pick(call)
		if candidate == nil && last != nil && last.isConnectionFault() {
			// A new connection to the same target may do.
			candidate = call.tried[0]
		}
		if candidate == nil {
			return finalResult(failure, last)
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
		last = refused
		call.isLinkBusy = refused.reason == ReasonLinkBusy && call.tried[call.attempts-1].Zone == p.options.Zone
		if refused.holder != "" && call.attempts < maxAttempts && ctx.Err() == nil {
			call.holder = refused.holder
			continue
		}
		if !p.mayRetry(ctx, call, refused) {
			return nil, refused
		}
	}
}

// finalResult returns the end of a call for which no target is left.
func finalResult(failure *targetResponse, last *refusal) (*targetResponse, *refusal) {
	switch {
	case failure != nil:
		return failure, nil
	case last != nil:
		return nil, last
	default:
		return nil, notRun(http.StatusServiceUnavailable, ReasonNoTarget, defaultRetryAfter)
	}
}

// serviceFailureThreshold is the failing part of a service's calls from which on a failure is
// no fault of the target alone.
const serviceFailureThreshold = 0.2

// mayReplace decides whether a target's failure is followed by an attempt at
// another target and takes it from the budget. The failure is passed on where
// that attempt fails too.
func (p *Proxy) mayFailOver(ctx context.Context, call *entryCall, response *targetResponse) bool {
	isFailure := response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
	if !isFailure || !response.complete || !call.rule.Idempotent || ctx.Err() != nil || call.attempts >= maxAttempts {
		return false
	}
	now := p.options.Now()
	if !route.MayRetry(call.rule, call.sends, route.OutcomeUnknown, call.deadline.Sub(now)) {
		return false
	}
	// Where the whole service fails, another target would fail too.
	return call.service.health.FailureRate(now) < serviceFailureThreshold && p.withdrawRetry(call)
}

// mayRetry decides about another attempt and takes it from the budget. An
// attempt that reached no target costs none.
func (p *Proxy) mayRetry(ctx context.Context, call *entryCall, refused *refusal) bool {
	remaining := call.deadline.Sub(p.options.Now())
	if ctx.Err() != nil || p.refuseSuspect(p.options.Now(), call.fingerprint) != nil {
		return false
	}
	if call.attempts >= maxAttempts || !route.MayRetry(call.rule, call.sends, refused.outcome, remaining) {
		return false
	}
	return call.sends == 0 || p.withdrawRetry(call)
}

// withdrawRetry takes a retry from the budget of the call's service.
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
	allowed := service.Canary() == "" || (p.isShareLeased(now) && service.evidence.allowsCanary())
	version := service.Version(point, allowed)
	if !service.IsSettled() {
		version = service.incumbent
	}
	if version == service.Canary() && len(service.owners[version]) == 0 {
		// Without a target the unproved version's calls go to the proved one.
		version = service.Version(point, false)
	}
	if call.key != "" {
		return route.Owner(call.key, service.owners[version], call.tried[:call.attempts])
	}
	group := service.group(version)
	if group == nil {
		return nil
	}
	locality := route.LocalityShort
	if p.link.HasLongResponses(call.rule.Name) {
		locality = route.LocalityLong
	}
	picked := group.Pick(now, p.options.Rand, locality, call.tried[:call.attempts])
	if call.isLinkBusy && picked != nil && picked.Zone != p.options.Zone {
		// Bytes between zones are dearer than a later answer.
		return nil
	}
	return picked
}

// group returns the targets of the version. Outside a move another version with
// a share stands in for one without a target.
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

// answerCaller passes a whole answer on. A cut one ends the connection, so
// that the caller never takes it for whole.
func (p *Proxy) respondToCaller(ctx context.Context, w http.ResponseWriter, call *entryCall, response *targetResponse) {
	defer response.release()
	dropHopHeaders(response.Header)
	dropOwnHeaders(response.Header)
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	w.WriteHeader(response.StatusCode)
	p.link.RecordSize(call.rule.Name, response.ContentLength)
	err := response.copyTo(ctx, w, p.link, p.options.Now)
	p.logResponse(p.options.Now(), call, response, err)
	if err != nil {
		responsesTruncated.Inc()
		panic(http.ErrAbortHandler)
	}
	response.copyTrailers(h)
}

// assertAttempt checks that a call that is not idempotent follows no attempt
// that may have run. A proxy that points at another did not run the call.
func assertAttempt(call *entryCall, last *refusal) {
	if last == nil || call.rule.Idempotent || last.outcome == route.OutcomeNotRun || last.reason == ReasonMoved {
		return
	}
	hornbeamwell.ReportViolation("at_most_once", "route %q: an attempt follows one with the outcome %q", call.rule.Name, last.outcome)
}
