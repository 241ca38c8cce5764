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

// readEntryBody reads a small body under the call's deadline.
func (p *Proxy) readEntryBody(r *http.Request, call *entryCall) *refusal {
	body, err := readBody(r, call.rule.MaxBodyBytes)
	switch {
	case err == nil:
		call.body = body
		return nil
	case errors.Is(err, errBodyTooLarge):
		return notRun(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case !p.options.Now().Before(call.deadline):
		return notRun(http.StatusRequestTimeout, ReasonTimeout, 0)
	default:
		return notRun(http.StatusBadRequest, ReasonBadRequest, 0)
	}
}

// setCallerDeadlines bounds the time that a caller takes for its body and the answer.
func setCallerDeadlines(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	control := http.NewResponseController(w)
	// A writer without deadlines has no connection to bound.
	_ = control.SetWriteDeadline(deadline.Add(refusalGrace))
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(deadline)
	}
}

// refusalGrace is the time after a call's deadline for the refusal that says
// so.
const refusalGrace = 2 * time.Second

// point returns the place of the call among the shares of the versions.
func (s *serviceState) point(p *Proxy, call *entryCall) hornbeamwell.Share {
	if call.key != "" {
		return route.KeyPoint(call.key)
	}
	return hornbeamwell.Share(p.options.Rand.IntN(int(hornbeamwell.FullShare)))
}

// attempt sends the call to the candidate once.
func (p *Proxy) attempt(ctx context.Context, r *http.Request, call *entryCall, candidate *route.Candidate) (*targetResponse, *refusal) {
	body, available := call.body.next()
	if !available {
		return nil, unknownOutcome(http.StatusBadGateway, ReasonConnection, defaultRetryAfter)
	}
	call.tried[call.attempts] = candidate
	call.attempts++
	upstream := call.service.upstreams[candidate.ID]
	started := p.options.Now()
	upstream.load.Begin()
	id := p.nextCall()
	request := exitRequest(ctx, r, call, body)
	span := p.spans.start(ctx, trace.SpanKindClient, "entry "+call.rule.Name, request.Header)
	request.Header[headerCall] = []string{formatEnvelope(id, upstream.envelopePart, call.state.envelopePart, callerAddress(r), call.remainingObjective(started), call.deadline.Sub(started), call.fingerprint)}
	response, refused := p.exchange(ctx, request, upstream, id, abandonPolicyFor(call, upstream, call.deadline.Sub(started)))
	upstream.load.End()
	if refused == nil || refused.reachedTarget() {
		call.sends++
	}
	endAttemptSpan(span, candidate, response, refused)
	if refused != nil && call.body.isTooLarge() {
		refused = unknownOutcome(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	}
	p.recordOutcome(call, candidate, upstream, started, response, refused)
	return response, refused
}

// minObjective stands for an objective that was missed, since none is 0.
const minObjective = time.Microsecond

// remainingObjective returns what is left of the latency objective, 0 where the route
// has none. A caller that sent the call before has less time left for it than its
// others, and the difference is gone from the objective too.
func (c *entryCall) remainingObjective(now time.Time) time.Duration {
	if c.rule.LatencyObjective == 0 {
		return 0
	}
	return max(c.rule.LatencyObjective-c.elapsedBefore-now.Sub(c.arrived), minObjective)
}

// isStalledSince reports whether the target answered nothing since it had given so
// many answers, and holds or held other calls meanwhile.
func (u *upstream) isStalledSince(answers uint64) bool {
	if u.responses.Load() != answers {
		return false
	}
	if u.load.Outstanding() > 1 {
		u.stalledAfter.Store(answers + 1)
		return true
	}
	return u.stalledAfter.Load() == answers+1
}

// slowFactor is the number of mean latencies of a route from which on a wait tells
// something about the target.
const slowFactor = 8

// abandonPolicyFor returns the patience with an attempt. A call that may be sent
// elsewhere is given up halfway where its target holds other calls too and
// answered none meanwhile, on a route that is usually far faster.
func abandonPolicyFor(call *entryCall, u *upstream, remaining time.Duration) abandonPolicy {
	if !call.rule.Idempotent || call.sends+1 >= call.rule.MaxAttempts {
		return abandonPolicy{}
	}
	after := remaining / 2
	if mean := call.state.mean.Load(); mean == 0 || after < time.Duration(slowFactor*mean) {
		return abandonPolicy{}
	}
	before := u.responses.Load()
	return abandonPolicy{
		after:         after,
		shouldAbandon: func() bool { return u.isStalledSince(before) && call.service.budget.HasRetry() },
	}
}

// endAttemptSpan ends the span of an attempt.
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

// exitRequest turns the caller's request into that for the exit proxy.
func exitRequest(ctx context.Context, r *http.Request, call *entryCall, body io.ReadCloser) *http.Request {
	// An earlier attempt may still read the headers that this one changes.
	request := r.WithContext(ctx)
	if call.attempts > 1 {
		request = r.Clone(ctx)
	}
	request.Body = body
	request.ContentLength = call.body.length
	request.RequestURI = ""
	request.TransferEncoding = nil
	request.Close = false
	request.Trailer = nil
	request.GetBody = nil
	if call.body.stream != nil {
		// The exit proxy asks for the body once it has a slot for the call.
		request.Header["Expect"] = expectContinue
	}
	return request
}

var expectContinue = []string{"100-continue"}

// exchange sends the request to the exit proxy and reads its answer.
func (p *Proxy) exchange(ctx context.Context, request *http.Request, u *upstream, id string, policy abandonPolicy) (*targetResponse, *refusal) {
	request.URL.Scheme = "http"
	request.URL.Host = u.peer.pool.address
	p.suspects.writeHeader(p.options.Now(), request.Header)
	response, err := u.peer.roundTrip(ctx, p.options.Now, request, policy)
	if err != nil {
		return nil, lostExchange(ctx, err)
	}
	p.suspects.readHeader(p.options.Now(), response.Header)
	reply, valid := parseReply(headerValue(response.Header, headerCall))
	if valid && reply.id != id {
		hornbeamwell.ReportViolation("answer_belongs_to_request", "sent %q, got an answer to %q", id, reply.id)
		valid = false
	}
	if !valid {
		_ = response.Body.Close()
		return nil, unknownOutcome(http.StatusBadGateway, ReasonTruncated, 0)
	}
	u.load.Report(p.options.Now(), reply.load)
	u.load.ReportDuration(reply.duration)
	if reply.outcome != route.OutcomeRan || headerValue(response.Header, headerReason) != "" {
		return nil, readRefusal(response, reply.outcome)
	}
	u.responses.Add(1)
	buffered, err := newTargetResponse(response)
	if err != nil {
		responsesTruncated.Inc()
		return nil, lostExchange(ctx, err)
	}
	return buffered, nil
}

// maxRefusalBytes bounds the body of a refusal that is read.
const maxRefusalBytes = 4 << 10

// readRefusal reads the exit proxy's refusal.
func readRefusal(response *http.Response, outcome route.Outcome) *refusal {
	// A refusal read to its end leaves its connection to the next call.
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
	_ = response.Body.Close()
	if outcome != route.OutcomeNotRun && outcome != route.OutcomeRan {
		outcome = route.OutcomeUnknown
	}
	refused := &refusal{status: response.StatusCode, outcome: outcome, reason: Reason(response.Header.Get(headerReason))}
	refused.keyProved = response.Header.Get(headerKeyProved) != ""
	refused.holder = response.Header.Get(headerHolder)
	if after, valid := parseTimeout(headerValue(response.Header, headerWait)); valid {
		refused.retryAfter = after
	}
	return refused
}

// lostExchange returns the refusal for an attempt without an answer.
func lostExchange(ctx context.Context, err error) *refusal {
	if isUnsent(err) {
		return notRun(http.StatusServiceUnavailable, ReasonUnreachable, defaultRetryAfter)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknownOutcome(http.StatusGatewayTimeout, ReasonTimeout, defaultRetryAfter)
	case ctx.Err() != nil:
		return unknownOutcome(http.StatusBadGateway, ReasonCallerGone, 0)
	default:
		return unknownOutcome(http.StatusBadGateway, ReasonConnection, defaultRetryAfter)
	}
}

// learn takes the end of an attempt into the target's health and the evidence.
func (p *Proxy) recordOutcome(call *entryCall, candidate *route.Candidate, u *upstream, started time.Time, response *targetResponse, refused *refusal) {
	now := p.options.Now()
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
		latency: now.Sub(started),
		failed:  failed,
		cold:    candidate.IsCold(now),
		canary:  candidate.Version == service.Canary(),
	})
}

// judge reports whether an attempt failed by the target's fault. It returns
// false for counts where the attempt says nothing about the target.
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
