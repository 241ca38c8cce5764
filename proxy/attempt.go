package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// point returns the position of the call within the shares of the versions.
func (s *serviceState) point(p *Proxy, call *entryCall) hornbeamwell.Share {
	if call.key != "" {
		return route.KeyPoint(call.key)
	}
	return hornbeamwell.Share(p.options.Rand.IntN(int(hornbeamwell.FullShare)))
}

// sentAttempt is an attempt from its start. It is immutable.
type sentAttempt struct {
	candidate *route.Candidate
	upstream  *upstream
	started   time.Time
	id        string
	callID    string
	request   *http.Request
	policy    abandonPolicy
	span      trace.Span
	notice    *startNotice
	// deadline, isIdempotent and budget are those of the call and its service.
	deadline     time.Time
	isIdempotent bool
	budget       *route.Budget
	// cancel ends an attempt that may be hedged. It is nil for others.
	cancel context.CancelFunc
}

// attempt sends the call to the candidate once, or to two targets if it is hedged.
func (p *Proxy) attempt(ctx context.Context, r *http.Request, call *entryCall, candidate *route.Candidate) (*targetResponse, *refusal) {
	attempt, refused := p.beginAttempt(ctx, r, call, candidate)
	if refused != nil {
		return nil, refused
	}
	if call.isHedgeable() {
		return p.attemptHedged(ctx, r, call, attempt)
	}
	response, refused := p.run(attempt)
	return p.finishAttempt(call, attemptResult{attempt, response, refused})
}

// beginAttempt prepares an attempt. It must be run.
func (p *Proxy) beginAttempt(ctx context.Context, r *http.Request, call *entryCall, candidate *route.Candidate) (*sentAttempt, *refusal) {
	body, available := call.body.next()
	if !available {
		return nil, unknownOutcome(http.StatusBadGateway, ReasonConnection, defaultRetryAfter)
	}
	call.tried[call.attempts] = candidate
	call.attempts++
	call.exposed.Add(1)
	upstream := call.service.upstreams[candidate.ID]
	started := p.options.Now()
	upstream.load.Begin()
	id := p.nextAttemptID()
	var cancel context.CancelFunc
	if call.service.hedges != nil {
		// The context of the call cancels this one at the end of the call.
		ctx, cancel = context.WithCancel(ctx)
	}
	notice := &startNotice{}
	request := exitRequest(notice.attach(ctx), r, call, body)
	span := p.tracer.start(ctx, trace.SpanKindClient, "entry "+call.rule.Name, request.Header)
	request.Header[headerCall] = []string{formatEnvelope(id, upstream.envelopePart, call.envelopePart(), callerOf(r, call), call.remainingObjective(started), call.deadline.Sub(started), call.fingerprint)}
	request.Header[headerSent] = []string{formatStamp(p.options.LeaseNow())}
	setKnownRateLimit(request.Header, upstream, candidate)
	setServiceColdHeader(request.Header, call.service)
	p.setAlternativeHeader(started, request.Header, call, candidate)
	attempt := &sentAttempt{
		candidate: candidate, upstream: upstream, started: started, id: id, callID: call.id, request: request, span: span, cancel: cancel,
		notice: notice, deadline: call.deadline, isIdempotent: call.rule.Idempotent, budget: call.service.budget,
		policy: abandonPolicyFor(call, upstream, call.deadline.Sub(started)),
	}
	attempt.policy.runsOnce = !call.rule.Idempotent
	if attempt.policy.runsOnce {
		attempt.policy.shouldAbandon = p.abandonsWithdrawn(attempt, attempt.policy.shouldAbandon)
	}
	attempt.policy.isLastTarget = call.attempts >= maxAttempts || !call.hasOtherTarget(candidate)
	attempt.policy.keepsSilent = p.keepsSilent(call, attempt)
	attempt.policy.notice = notice
	attempt.policy.onClose, attempt.policy.onKeep = p.logClose(call, attempt), p.logKeep(call, attempt)
	return attempt, nil
}

// run sends the attempt and reads the response. It does not use the call, so that it may
// run concurrently with another attempt of the same call.
func (p *Proxy) run(a *sentAttempt) (*targetResponse, *refusal) {
	defer p.beginAttemptOfStop(a)()
	// An attempt that a stop which begins now does not find is told here.
	p.setSendByHeader(p.options.Now(), a.request.Header)
	response, refused := p.exchange(a.request.Context(), a.request, a.upstream, a.candidate, a.id, a.policy)
	a.upstream.load.End()
	p.logLost(a, refused)
	if refused != nil && refused.isUnanswered {
		refused = p.settle(a, refused)
	}
	return response, refused
}

// finishAttempt records the end of an attempt.
func (p *Proxy) finishAttempt(call *entryCall, result attemptResult) (*targetResponse, *refusal) {
	response, refused, candidate := result.response, result.refused, result.attempt.candidate
	call.refusedBy = candidate
	if refused == nil || refused.reachedTarget() {
		call.sends++
	} else {
		call.exposed.Add(-1)
	}
	call.recordEnd(result.attempt, refused)
	endAttemptSpan(result.attempt.span, candidate, response, refused)
	if refused != nil && call.body.isTooLarge() {
		refused = unknownOutcome(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	}
	p.recordOutcome(call, candidate, result.attempt.upstream, result.attempt.started, response, refused)
	call.service.hedges.observe(p.options.Now(), refused)
	p.recordThrottle(p.options.Now(), call, refused)
	return response, refused
}

// minObjective represents a missed latency objective, since 0 means no
// objective.
const minObjective = time.Microsecond

// remainingObjective returns the remaining latency objective, 0 if the route
// has none. The time that the caller spent on earlier sends of the call is
// subtracted.
func (c *entryCall) remainingObjective(now time.Time) time.Duration {
	if c.rule.LatencyObjective == 0 {
		return 0
	}
	return max(c.rule.LatencyObjective-c.elapsedBefore-now.Sub(c.arrived), minObjective)
}

// isStalledSince reports whether the target has returned no response since its
// response count had the given value, although other calls to it are
// outstanding or were at an earlier check with the same count.
func (u *upstream) isStalledSince(responses uint64) bool {
	if u.responses.Load() != responses {
		return false
	}
	if u.load.Outstanding() > 1 {
		u.stalledAfter.Store(responses + 1)
		return true
	}
	return u.stalledAfter.Load() == responses+1
}

// hasSendLeft reports whether the call may be sent to another target. The copy of a hedged
// call counts from its beginning.
func (c *entryCall) hasSendLeft() bool { return int(c.exposed.Load()) < c.rule.MaxAttempts }

// slowFactor is the multiple of a route's mean latency after which a missing
// response indicates a problem of the target.
const slowFactor = 8

// abandonPolicyFor returns the policy for abandoning an attempt. A call that
// may be sent elsewhere is abandoned after half of its remaining time if the
// route is usually far faster, the target is stalled as defined by
// isStalledSince, and the budget allows a retry.
func abandonPolicyFor(call *entryCall, u *upstream, remaining time.Duration) abandonPolicy {
	if call.sends+1 >= call.rule.MaxAttempts {
		return abandonPolicy{}
	}
	after := remaining / 2
	if mean := call.state.meanLatency.Load(); mean == 0 || after < time.Duration(slowFactor*mean) {
		return abandonPolicy{}
	}
	before, budget := u.responses.Load(), call.service.budget
	return abandonPolicy{
		after:         after,
		shouldAbandon: func() bool { return call.hasSendLeft() && u.isStalledSince(before) && budget.HasRetry() },
	}
}

// abandonsWithdrawn restricts shouldAbandon for a call that is not idempotent: it can be sent
// elsewhere only if its exit proxy withdraws it.
func (p *Proxy) abandonsWithdrawn(a *sentAttempt, shouldAbandon func() bool) func() bool {
	return func() bool {
		return shouldAbandon() && !a.notice.isStarted.Load() && p.withdraw(a.request.Context(), a) == withdrawalWithdrawn
	}
}

func endAttemptSpan(span trace.Span, candidate *route.Candidate, response *targetResponse, refused *refusal) {
	if span == nil {
		return
	}
	span.SetAttributes(
		attribute.String("hornbeamwell.target", candidate.ID),
		attribute.String("hornbeamwell.version", candidate.Version),
	)
	status := 0
	if response != nil {
		status = response.StatusCode
	}
	endSpan(span, status, refused)
}

// exitRequest converts the caller's request to the request to the exit proxy.
func exitRequest(ctx context.Context, r *http.Request, call *entryCall, body io.ReadCloser) *http.Request {
	// An earlier attempt may still read the headers that this one changes, and a copy is
	// made of the original ones while the first attempt runs.
	request := r.WithContext(ctx)
	if call.attempts > 1 || call.isHedgeable() {
		request = r.Clone(ctx)
	}
	request.Body = body
	request.ContentLength = call.body.length
	request.RequestURI = ""
	request.TransferEncoding = nil
	request.Close = false
	request.Trailer = nil
	request.GetBody = nil
	if call.body.stream == nil {
		request.GetBody = call.body.again
	} else {
		// The exit proxy requests the body once the call has a slot.
		request.Header["Expect"] = expectContinue
	}
	return request
}

var expectContinue = []string{"100-continue"}

// exchange sends the request to the exit proxy and reads the response.
func (p *Proxy) exchange(ctx context.Context, request *http.Request, u *upstream, target *route.Candidate, id string, policy abandonPolicy) (*targetResponse, *refusal) {
	request.URL.Scheme = "http"
	request.URL.Host = u.peer.pool.address
	p.suspects.attach(p.options.Now(), request.Header)
	response, err := u.peer.roundTrip(ctx, p.options.Now, request, policy)
	if err != nil {
		refused := lostExchange(ctx, err)
		refused.err = err
		refused.isUnanswered = refused.reason == ReasonConnection
		return nil, refused
	}
	p.suspects.receive(p.options.Now(), response.Header)
	reply, valid := parseReply(headerValue(response.Header, headerCall))
	if valid && reply.id != id {
		hornbeamwell.ReportViolation("answer_belongs_to_request", "sent call %q, received the reply to %q", id, reply.id)
		valid = false
	}
	if !valid {
		discardReply(response)
		return nil, unknownOutcome(http.StatusBadGateway, ReasonTruncated, 0)
	}
	u.load.Report(p.options.Now(), reply.load)
	u.load.ReportDuration(reply.duration)
	p.readStatementHeaders(p.options.Now(), u, target, reply, response.Header)
	if reply.outcome != route.OutcomeRan || headerValue(response.Header, headerReason) != "" {
		return nil, readRefusal(response, reply.outcome)
	}
	u.responses.Add(1)
	if isCloseDelimited(response) {
		// An exit proxy states the length, or sends chunks.
		responsesTruncated.Inc()
		discardReply(response)
		return nil, unknownOutcome(http.StatusBadGateway, ReasonTruncated, 0)
	}
	buffered, err := newTargetResponse(response)
	if err != nil {
		responsesTruncated.Inc()
		p.countCut(ctx, entrySide, err)
		refused := lostExchange(ctx, err)
		refused.err = err
		return nil, refused
	}
	return buffered, nil
}

// discardReply closes the connection of a reply that is not for its attempt, or has no end.
// The next reply on it may not be for its attempt either.
func discardReply(response *http.Response) {
	if body, isPeer := response.Body.(*peerBody); isPeer {
		body.connection.discard()
	}
	_ = response.Body.Close()
}

// maxRefusalBytes bounds how much of a refusal's body is read.
const maxRefusalBytes = 4 << 10

// readRefusal reads a refusal of the exit proxy.
func readRefusal(response *http.Response, outcome route.Outcome) *refusal {
	// Reading the body to its end makes the connection reusable.
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
	_ = response.Body.Close()
	if outcome != route.OutcomeNotRun && outcome != route.OutcomeRan {
		outcome = route.OutcomeUnknown
	}
	refused := &refusal{status: response.StatusCode, outcome: outcome, reason: Reason(response.Header.Get(headerReason))}
	refused.keyProved = response.Header.Get(headerKeyProved) != ""
	refused.holder = response.Header.Get(headerHolder)
	if after, valid := parseDuration(headerValue(response.Header, headerWait)); valid {
		refused.retryAfter = after
	}
	return refused
}

// lostExchange returns the refusal for an attempt without a complete response.
func lostExchange(ctx context.Context, err error) *refusal {
	switch {
	case errors.Is(err, errLinkBusy):
		return unknownOutcome(http.StatusGatewayTimeout, ReasonLinkBusy, defaultRetryAfter)
	case isUnsent(err) && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRun(http.StatusServiceUnavailable, ReasonDeadline, defaultRetryAfter)
	case isUnsent(err) && isAbandoned(ctx):
		return notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter)
	case isAbandoned(ctx), errors.Is(err, errStopEnds):
		return abandonedCall()
	case isUnsent(err) && ctx.Err() != nil:
		return notRun(http.StatusServiceUnavailable, ReasonCallerGone, 0)
	case isUnsent(err):
		return notRun(http.StatusServiceUnavailable, ReasonUnreachable, defaultRetryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknownOutcome(http.StatusGatewayTimeout, ReasonTimeout, defaultRetryAfter)
	case ctx.Err() != nil:
		return unknownOutcome(http.StatusBadGateway, ReasonCallerGone, 0)
	default:
		return unknownOutcome(http.StatusBadGateway, ReasonConnection, defaultRetryAfter)
	}
}

// recordOutcome records the result of an attempt in the health of the target and
// of its service, and in the evidence of the move.
func (p *Proxy) recordOutcome(call *entryCall, candidate *route.Candidate, u *upstream, started time.Time, response *targetResponse, refused *refusal) {
	now := p.options.Now()
	recordColdOutcome(now, u, refused)
	if refused == nil {
		call.state.addLatency(now.Sub(started))
	}
	if refused != nil && refused.reason == ReasonUnreachable {
		u.health.ReportUnreachable(now)
	}
	failed, counts := classifyOutcome(response, refused)
	if !counts {
		return
	}
	call.service.health.Report(now, failed)
	if u.health.Report(now, failed) {
		ejections.Inc()
	}
	service := call.service
	if service.evidence == nil || (refused != nil && refused.outcome == route.OutcomeNotRun) {
		return
	}
	service.evidence.add(now, sample{
		key: hornbeamwell.EvidenceKey{
			Service: service.Name, Version: candidate.Version, Route: call.rule.Name, Zone: candidate.Zone,
		},
		latency:  now.Sub(started),
		failed:   failed,
		cold:     candidate.IsCold(now),
		isCanary: candidate.Version == service.Canary(),
	})
}

// classifyOutcome reports whether an attempt failed because of the target. If
// counts is false, the attempt says nothing about the target.
func classifyOutcome(response *targetResponse, refused *refusal) (failed, counts bool) {
	if refused == nil {
		return response.StatusCode >= http.StatusInternalServerError, true
	}
	switch refused.reason {
	case ReasonUnreachable, ReasonConnection, ReasonTimeout, ReasonTruncated, ReasonForeignResponse:
		return true, true
	default:
		return false, false
	}
}
