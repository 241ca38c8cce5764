package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// exitCall is a call at the exit proxy.
type exitCall struct {
	envelope
	local *localTarget
	// callID is the caller's id of the call.
	callID string
	key    string
	// attempt is the record of the attempt, nil if its id is not valid.
	attempt *attemptRecord
	waiter  route.Waiter
	pending *pendingCall
	interim *interimWriter
	// sendBy is the time in Unix nanoseconds by which the response has to be sent, because
	// the entry proxy stops. It is 0 if that is not known.
	sendBy atomic.Int64
	// arrived is the time at which the call was read.
	arrived time.Time
	// asSuspect is true if the request was in flight at a crash and now runs as
	// the only suspect of this proxy.
	asSuspect bool
	// inVainShare is the share of the route's recent runs that were in vain when the call
	// requested a slot.
	inVainShare float64
	// shedCause says why the target shed the call if it did.
	shedCause route.ShedCause
}

// serveExit serves a request from another proxy: a call, gossip, a handover, a hold,
// a request for tokens of a quota, a withdrawal or the notice of a stop.
func (p *Proxy) serveExit(w http.ResponseWriter, r *http.Request) {
	p.inFlight.begin()
	defer p.inFlight.end()
	p.setConnectionClose(w)
	interim := newInterimWriter(closingWriter{ResponseWriter: w, proxy: p}, p.options.Now)
	defer interim.stop()
	w = interim
	if number, hasNumber := r.Header[headerNumber]; hasNumber {
		w.Header()[headerNumber] = number
	}
	if _, isGossip := r.Header[headerGossip]; isGossip {
		p.suspects.receive(p.options.Now(), r.Header)
		p.suspects.attach(p.options.Now(), w.Header())
		return
	}
	if _, isHandover := r.Header[headerHandover]; isHandover {
		p.serveHandover(w, r)
		return
	}
	if _, isHold := r.Header[headerHold]; isHold {
		p.serveHold(w, r)
		return
	}
	if _, isQuota := r.Header[headerQuota]; isQuota {
		p.serveQuota(w, r)
		return
	}
	if _, isExpedite := r.Header[headerExpedite]; isExpedite {
		p.serveExpedite(w, r)
		return
	}
	if _, isWithdrawal := r.Header[headerWithdraw]; isWithdrawal {
		p.serveWithdrawal(w, r)
		return
	}
	now := p.options.Now()
	p.suspects.receive(now, r.Header)
	call, refused := p.readExitCall(now, r)
	if refused != nil {
		p.refuseAtExit(w, call.attemptID(), refused)
		return
	}
	var isAccepted bool
	if call.attempt, isAccepted = p.attemptRecords.begin(now, call); !isAccepted {
		p.refuseAtExit(w, call.id, withdrawnRefusal())
		return
	}
	defer p.attemptRecords.end(call.attempt)
	interim.setStarted(func() bool { return p.attemptRecords.stateOf(call.attempt) == attemptStarted })
	ctx, pending := p.beginPending(r.Context(), now, exitSide, call.route)
	defer pending.release()
	call.pending, call.interim = pending, interim
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	release, refused := p.acquireExclusive(ctx, call)
	if refused != nil {
		p.refuseAtExit(w, call.id, refused)
		return
	}
	defer release()
	if call.key != "" && !call.idempotent {
		p.serveKeyed(ctx, w, r, call)
		return
	}
	p.admitAndForward(ctx, w, r, call)
}

// attemptID returns the id of the attempt, empty for a nil call.
func (c *exitCall) attemptID() string {
	if c == nil {
		return ""
	}
	return c.id
}

// ranReply returns the reply envelope for a call that the target ran.
func (c *exitCall) ranReply() string {
	load, duration := c.local.gate.load()
	return formatReply(c.id, route.OutcomeRan, load, duration)
}

// isDraining reports whether the target accepts no new calls.
func (p *Proxy) isDraining(target *localTarget) bool {
	return p.draining.Load() || p.stopping.schedule.Load() != nil || target.State != hornbeamwell.TargetReady || target.isLeaving.Load()
}

// readExitCall parses the call and checks that it is addressed to the local
// target.
func (p *Proxy) readExitCall(now time.Time, r *http.Request) (*exitCall, *refusal) {
	e, valid := parseEnvelope(headerValue(r.Header, headerCall))
	if !valid {
		return nil, notRun(http.StatusBadRequest, ReasonBadRequest, 0)
	}
	call := &exitCall{envelope: e, arrived: now, local: p.local.Load(), key: headerValue(r.Header, headerKey), callID: p.options.HeaderCodec.ReadCall(r.Header).ID}
	if call.local == nil || call.local.ID != e.target || call.local.Version != e.version {
		return call, notRun(http.StatusServiceUnavailable, ReasonWrongTarget, defaultRetryAfter)
	}
	p.adoptRateLimit(now, call.local, r.Header)
	p.adoptServiceCold(now, call.local, r.Header)
	call.waiter = route.Waiter{
		Caller:   e.caller,
		Class:    e.class,
		Rank:     e.rank,
		Route:    e.route,
		Deadline: now.Add(e.timeout),
		Decided:  make(chan route.Verdict, 1),

		HasAlternative: headerValue(r.Header, headerAlternative) != "",
	}
	if left, isStopping := parseDuration(headerValue(r.Header, headerSendBy)); isStopping {
		// The context of the call goes on, so that a response that has begun is not cut.
		call.setSendBy(now.Add(left))
		call.waiter.Deadline = now.Add(min(e.timeout, left))
	}
	if e.objective > 0 {
		call.waiter.Objective = now.Add(e.objective)
	}
	return call, nil
}

// refuseAtExit refuses a call or a hold request of another proxy.
func (p *Proxy) refuseAtExit(w http.ResponseWriter, id string, refused *refusal) {
	exitRefused.Inc()
	h := w.Header()
	load, duration := 0, time.Duration(0)
	if local := p.local.Load(); local != nil {
		load, duration = local.gate.load()
		setStatementHeaders(p.options.Now(), h, local)
	}
	h[headerCall] = []string{formatReply(id, refused.outcome, load, duration)}
	if refused.retryAfter > 0 {
		h[headerWait] = []string{formatDuration(refused.retryAfter)}
	}
	p.suspects.attach(p.options.Now(), h)
	refused.write(w, plainHeaderCodec{})
}

// admitAndForward waits for a slot and forwards the call to the target.
func (p *Proxy) admitAndForward(ctx context.Context, w http.ResponseWriter, r *http.Request, call *exitCall) {
	if refused := p.refuseEvacuated(call.local); refused != nil {
		p.logExit(call, 0, 0, nil, refused)
		p.refuseAtExit(w, call.id, refused)
		return
	}
	if p.isDraining(call.local) {
		p.refuseAtExit(w, call.id, notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter))
		return
	}
	gate := call.local.gate
	offered := p.options.Now()
	if refused := p.refuseForLink(offered, call); refused != nil {
		p.logExit(call, 0, 0, nil, refused)
		p.refuseAtExit(w, call.id, refused)
		return
	}
	expectedBytes := p.link.AddExpected(call.route)
	defer func() { p.link.RemoveExpected(expectedBytes) }()
	if refused := p.acquireSlot(ctx, offered, call); refused != nil {
		p.logExit(call, p.options.Now().Sub(offered), 0, nil, refused)
		p.refuseAtExit(w, call.id, refused)
		return
	}
	exitAdmitted.Inc()
	started := p.options.Now()
	run := p.forward(ctx, r, call, started)
	run.endPending(call.pending)
	defer func() {
		now := p.options.Now()
		call.shedCause = gate.release(now, &call.waiter, now.Sub(started), run.isShed())
		p.nested.recordRun(started, now, call, run)
		p.logExit(call, started.Sub(offered), now.Sub(started), run, run.refused)
	}()
	p.link.RemoveExpected(expectedBytes)
	expectedBytes = 0
	if run.refused != nil {
		p.refuseAtExit(w, call.id, run.refused)
		return
	}
	p.link.RecordSize(call.route, run.response.ContentLength)
	p.link.RecordLatency(call.route, p.options.Now().Sub(started))
	p.forwardResponse(ctx, w, call, run)
}

// refuseForLink refuses a call whose response would wait too long for the link.
func (p *Proxy) refuseForLink(now time.Time, call *exitCall) *refusal {
	end := call.waiter.Deadline
	if objective := call.waiter.Objective; !objective.IsZero() && objective.Before(end) {
		end = objective
	}
	forecast := p.link.Forecast(now, call.route)
	excess := forecast.ExcessDelay(now, end)
	if sendBy, isStop := p.exitEnd(call)(); isStop {
		excess = max(excess, forecast.Overrun(now, sendBy))
	}
	if excess == 0 {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, ReasonLinkBusy, max(excess, minRetryAfter))
}

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
	if refused == nil && call.hasWaited(p.options.Now()) && isEntryGone(ctx) && !call.outlivesEntry() {
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

// minEntryCheck is the time at this proxy from which on a call is sent only if its entry
// proxy still has its connection. Before, the check would cost more than it saves.
const minEntryCheck = 20 * time.Millisecond

// hasWaited reports whether the call arrived long enough ago that its entry proxy may have
// given it up.
func (c *exitCall) hasWaited(now time.Time) bool { return now.Sub(c.arrived) >= minEntryCheck }

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
		Remaining: call.arrived.Add(call.timeout).Sub(now),
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
