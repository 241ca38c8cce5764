package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// exitRun is the result of forwarding a call to the target.
type exitRun struct {
	response   *targetResponse
	connection *pooledConnection
	refused    *refusal
	// bytes is the size of what the entry proxy was sent of the body, cutErr why that was
	// not all, nil for a whole response.
	bytes  int64
	cutErr error
	// cutCause is the cause of cutErr.
	cutCause cutCause
}

// status returns the status of the target's response, 0 without a response.
func (e *exitRun) status() int {
	if e.refused != nil {
		return 0
	}
	return e.response.StatusCode
}

// isShed reports whether the target shed the call. A response with status 503 or
// 429 counts as that.
func (e *exitRun) isShed() bool {
	if e.refused != nil {
		return e.refused.reason == ReasonShed
	}
	status := e.response.StatusCode
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// endPending ends the wait for the response.
func (e *exitRun) endPending(c *pendingCall) {
	if e.refused != nil {
		return
	}
	if e.refused = c.claim(e.response); e.refused != nil {
		e.response.release()
		e.connection.discard()
	}
}

// cut records that the response was not sent to its end.
func (e *exitRun) cut(cause cutCause, err error) {
	e.cutCause, e.cutErr = cause, err
	e.connection.discard()
	responsesCut.Inc()
	if !errors.Is(err, errCallerWrite) {
		responsesTruncated.Inc()
	}
}

// forwardResponse writes the target's response to the entry proxy.
func (p *Proxy) forwardResponse(ctx context.Context, w http.ResponseWriter, call *exitCall, run *exitRun) {
	defer run.response.release()
	if err := run.response.waitForLink(ctx, p.link, call.route, p.options.Now, p.exitEnd(call)); err != nil {
		run.cut(p.countCut(ctx, exitSide, err), err)
		p.refuseAtExit(w, call.id, lostExchange(ctx, err))
		return
	}
	// This ends the interim responses.
	h := w.Header()
	dropHopHeaders(run.response.Header)
	dropOwnHeaders(run.response.Header)
	for name, values := range run.response.Header {
		h[name] = values
	}
	h[headerCall] = []string{call.ranReply()}
	setStatementHeaders(p.options.Now(), h, call.local)
	p.suspects.attach(p.options.Now(), h)
	w.WriteHeader(run.response.StatusCode)
	var err error
	run.bytes, err = run.response.copyTo(ctx, w, p.link, p.options.Now)
	if err != nil {
		run.cut(p.countCut(ctx, exitSide, err), err)
		panic(http.ErrAbortHandler)
	}
	run.response.recordSize(p.link, call.route, run.bytes)
	run.response.copyTrailers(h)
	run.connection.finish(p.options.Now())
}

// forward sends the call to the target. If no byte of a call without a body was
// sent, it sends the call once more. The second send uses a new connection or
// one that became idle after now.
func (p *Proxy) forward(ctx context.Context, r *http.Request, call *exitCall, now time.Time) *exitRun {
	request := p.targetRequest(ctx, r, call, now)
	maxIdle := nonIdempotentIdleTimeout
	if call.idempotent {
		maxIdle = poolIdleTimeout
	}
	span := p.tracer.start(ctx, trace.SpanKindServer, "exit "+call.route, request.Header)
	call.local.crashDetector.begin(call)
	run := p.send(ctx, request, call, now, maxIdle)
	hasNoBody := request.Body == nil || request.Body == http.NoBody
	if run.refused != nil && run.refused.reason == ReasonConnection &&
		run.refused.outcome == route.OutcomeNotRun && hasNoBody && ctx.Err() == nil {
		run = p.send(ctx, request, call, now, -1)
	}
	if run.refused != nil && run.refused.outcome == route.OutcomeNotRun {
		p.attemptRecords.takeBack(call.attempt)
	}
	p.endCall(call, run)
	endSpan(span, run.status(), run.refused)
	return run
}

// send sends the request on one connection, unless its caller has gone or its
// deadline has passed.
func (p *Proxy) send(ctx context.Context, request *http.Request, call *exitCall, now time.Time, maxIdle time.Duration) *exitRun {
	pool := call.local.pool
	connection, err := pool.get(ctx, now, maxIdle, !call.idempotent)
	// The process may have been delayed since the call got its slot, and net/http
	// writes a request whose context has ended.
	refused := refuseEnded(ctx, p.options.Now(), call.waiter.Deadline)
	if refused == nil {
		refused = p.refuseEvacuated(call.local)
	}
	if refused == nil {
		refused = p.refuseToStart(p.options.Now(), call)
	}
	if refused == nil && isEntryGone(ctx) && !call.outlivesEntry() {
		refused = notRun(http.StatusServiceUnavailable, ReasonCallerGone, 0)
	}
	if refused == nil && err == nil && !p.attemptRecords.handOver(call.attempt) {
		refused = withdrawnRefusal()
	}
	if refused != nil {
		if err == nil {
			connection.putBack()
		}
		return &exitRun{refused: refused}
	}
	if err != nil {
		return &exitRun{refused: notRun(http.StatusServiceUnavailable, ReasonUnreachable, defaultRetryAfter)}
	}
	response, err := connection.client.RoundTrip(request)
	if err != nil {
		isUnsent := connection.raw.seal()
		connection.discard()
		refused := p.lostCall(ctx, pool, isUnsent)
		refused.err = err
		return &exitRun{refused: refused}
	}
	metadata := p.options.HeaderCodec.ReadResponse(response.StatusCode, response.Header)
	refused = checkResponse(call, connection, response, metadata)
	if !metadata.IsOtherTarget && (refused == nil || refused.reason != ReasonForeignResponse) {
		p.recordStatement(call, now, metadata)
	}
	if refused != nil {
		connection.discard()
		return &exitRun{refused: refused}
	}
	pool.recordKeepAlive(response.Header)
	buffered, err := newTargetResponse(response)
	if err != nil {
		connection.discard()
		responsesTruncated.Inc()
		p.countCut(ctx, exitSide, err)
		refused := p.lostResponse(ctx, pool)
		refused.err = err
		return &exitRun{refused: refused}
	}
	return &exitRun{response: buffered, connection: connection}
}

// refuseEnded refuses a call that was not sent and whose caller has gone or whose
// deadline has passed. The deadline is compared with the clock, because the timer of
// the context may be late.
func refuseEnded(ctx context.Context, now, deadline time.Time) *refusal {
	switch {
	case !now.Before(deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRun(http.StatusServiceUnavailable, ReasonDeadline, defaultRetryAfter)
	case isAbandoned(ctx):
		return notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter)
	case ctx.Err() != nil:
		return notRun(http.StatusServiceUnavailable, ReasonCallerGone, 0)
	default:
		return nil
	}
}

// outlivesEntry reports whether the call is run although its entry proxy has gone. A
// resend of a key gets the stored response.
func (c *exitCall) outlivesEntry() bool { return c.key != "" && !c.idempotent }

// lostCall returns the refusal for a call without a response.
func (p *Proxy) lostCall(ctx context.Context, pool *pool, isUnsent bool) *refusal {
	if isUnsent {
		return notRun(http.StatusServiceUnavailable, ReasonConnection, defaultRetryAfter)
	}
	return p.lostResponse(ctx, pool)
}

// lostResponse returns the refusal for a call that may have run.
func (p *Proxy) lostResponse(ctx context.Context, pool *pool) *refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		pool.invalidate(p.options.Now())
		return unknownOutcome(http.StatusGatewayTimeout, ReasonTimeout, defaultRetryAfter)
	case isAbandoned(ctx):
		return abandonedCall()
	case ctx.Err() != nil:
		return unknownOutcome(http.StatusBadGateway, ReasonCallerGone, 0)
	default:
		return unknownOutcome(http.StatusBadGateway, ReasonConnection, defaultRetryAfter)
	}
}

// targetRequest converts the entry proxy's request to the request to the
// target.
func (p *Proxy) targetRequest(ctx context.Context, r *http.Request, call *exitCall, now time.Time) *http.Request {
	request := r.WithContext(ctx)
	request.URL.Scheme = "http"
	request.URL.Host = call.local.pool.address
	request.RequestURI = ""
	request.TransferEncoding = nil
	request.Close = false
	request.Trailer = nil
	h := request.Header
	switch {
	case request.ContentLength == 0:
		request.Body = http.NoBody
	case headerValue(h, "Expect") != "":
		request.Body = &heldBody{ReadCloser: r.Body, interim: call.interim}
	}
	team, hasTeam := h[headerTeam]
	dropOwnHeaders(h)
	if hasTeam {
		// The entry proxy has set or removed the team.
		h[headerTeam] = team
	}
	p.options.HeaderCodec.SetAttempt(h, hornbeamwell.AttemptMetadata{
		Remaining: call.deadline().Sub(now),
		Target:    call.local.Name,
	})
	keepUserAgent(h)
	return request
}

// keepUserAgent prevents net/http from adding its own User-Agent header.
func keepUserAgent(h http.Header) {
	if _, found := h[headerUserAgent]; !found {
		h[headerUserAgent] = emptyValue
	}
}

var emptyValue = []string{""}
