package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

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
	// arrived is the time at which the call would have arrived without transit, the time
	// that it spent in queues on its way.
	arrived time.Time
	transit time.Duration
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
	ctx, cancel := context.WithTimeout(ctx, call.deadline().Sub(now))
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

// deadline returns the time at which the entry proxy gives the call up.
func (c *exitCall) deadline() time.Time { return c.arrived.Add(c.timeout) }

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
	call.transit = p.transitOf(r.Header, e.id)
	call.arrived = now.Add(-call.transit)
	if !now.Before(call.deadline()) {
		exitRefusedLate.Inc()
		refused := notRun(http.StatusServiceUnavailable, ReasonDeadline, defaultRetryAfter)
		p.logExit(call, 0, 0, nil, refused)
		return call, refused
	}
	p.adoptRateLimit(now, call.local, r.Header)
	p.adoptServiceCold(now, call.local, r.Header)
	call.waiter = route.Waiter{
		Caller:   e.caller,
		Class:    e.class,
		Rank:     e.rank,
		Route:    e.route,
		Deadline: call.deadline(),
		Decided:  make(chan route.Verdict, 1),

		HasAlternative: headerValue(r.Header, headerAlternative) != "",
	}
	if left, isStopping := parseDuration(headerValue(r.Header, headerSendBy)); isStopping {
		// The context of the call goes on, so that a response that has begun is not cut.
		call.setSendBy(call.arrived.Add(left))
		call.waiter.Deadline = call.arrived.Add(min(e.timeout, left))
	}
	if e.objective > 0 {
		call.waiter.Objective = call.arrived.Add(e.objective)
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
