package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

var (
	entryCallsAbandoned = metrics.NewCounter(`hornbeamwell_stop_calls_abandoned_total{side="entry"}`)
	exitCallsAbandoned  = metrics.NewCounter(`hornbeamwell_stop_calls_abandoned_total{side="exit"}`)
)

// errStopEnds is the cause of the end of a call that a stopping proxy abandons.
var errStopEnds = errors.New("abandoned at the end of the grace period")

// stopping is the state of a planned stop and of what it interrupts.
type stopping struct {
	// schedule is nil before the stop and where the grace period is not known.
	schedule atomic.Pointer[route.Stop]
	mu       sync.Mutex
	// pending holds the calls without a response, at both sides.
	pending map[*pendingCall]struct{}
	// attempts holds the attempts without a response of the entry side. It is empty where
	// the grace period is not known.
	attempts map[*sentAttempt]struct{}
	// isAbandoning is true once the pending calls were abandoned.
	isAbandoning bool
	// bodies holds the calls of callers whose bodies are being read.
	bodies map[*http.ResponseController]struct{}
	// areBodiesRefused is true once the calls whose bodies were incomplete were refused.
	areBodiesRefused bool
}

func (s *stopping) init() {
	s.pending = make(map[*pendingCall]struct{})
	s.attempts = make(map[*sentAttempt]struct{})
	s.bodies = make(map[*http.ResponseController]struct{})
}

// callSide is the side of a proxy that serves a call.
type callSide int

const (
	entrySide callSide = iota
	exitSide
)

// pendingCall is a call without a response at one side of this proxy.
type pendingCall struct {
	stopping *stopping
	side     callSide
	route    string
	began    time.Time
	cancel   context.CancelCauseFunc
	// isAbandoned is guarded by the mutex of stopping.
	isAbandoned bool
}

// BeginStop begins a planned stop at the time of its signal. From now on the exit side
// starts no new call, and calls that wait for a slot are refused. Other proxies are told by
// when they have to send the responses to the entry side. After half of the grace period the
// entry side accepts no call, and withdraws those that wait at other proxies. In the last
// sixth the calls that have no response yet are abandoned. It does nothing where the grace
// period is not known.
func (p *Proxy) BeginStop(began time.Time) {
	if p.options.Grace <= 0 {
		return
	}
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	schedule := &route.Stop{Began: began, Grace: p.options.Grace}
	if !p.stopping.schedule.CompareAndSwap(nil, schedule) {
		return
	}
	if local := p.local.Load(); local != nil {
		local.gate.close()
	}
	now := p.options.Now()
	time.AfterFunc(schedule.RefuseAt().Sub(now), func() {
		p.stopping.refuseBodies()
		p.withdrawWaiting(schedule)
	})
	time.AfterFunc(schedule.AbandonAt().Sub(now), p.abandonCalls)
	go p.expediteSent(schedule)
}

// refuseForStop refuses a caller's call that a stopping proxy does not accept.
func (p *Proxy) refuseForStop(now time.Time, mean time.Duration) *refusal {
	schedule := p.stopping.schedule.Load()
	if schedule == nil || schedule.AcceptsCall(now, mean) {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter)
}

// mayStart reports whether an attempt of a call may begin now.
func (p *Proxy) mayStart(now time.Time, call *entryCall) bool {
	schedule := p.stopping.schedule.Load()
	return schedule == nil || schedule.StartsCall(now, time.Duration(call.state.meanLatency.Load()))
}

// refuseToStart refuses a call that has a slot but has not been sent to the local target
// if it would probably run when this proxy or the entry proxy abandons its calls.
func (p *Proxy) refuseToStart(now time.Time, call *exitCall) *refusal {
	schedule, sendBy := p.stopping.schedule.Load(), call.sendBy.Load()
	if schedule == nil && sendBy == 0 {
		return nil
	}
	mean := call.local.gate.routeMean(call.route)
	startsHere := schedule == nil || schedule.StartsCall(now, mean)
	if f := p.link.Forecast(now, call.route); f.Sending > 0 {
		// Responses to a stopping entry pass those that the mean has waited for.
		mean = min(mean, f.Latency+f.Sending)
	}
	if startsHere && (sendBy == 0 || now.Add(mean).Before(time.Unix(0, sendBy))) {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter)
}

// keepsSilent returns a function that reports whether a silent connection is no reason to
// give the call up. A call that is not idempotent can only be sent again if its exit proxy
// withdraws it, which is asked once. A call that can't be sent again at all keeps its
// connection: its target may be at work, and a congested link may be silent for seconds. One
// that can only be sent to the same target again leaves the connection once its exit proxy
// replies on another one, which shows that neither the exit proxy nor the link is the cause.
// During a planned stop no call leaves an exit proxy that replies that its target has it.
func (p *Proxy) keepsSilent(call *entryCall, a *sentAttempt) func() bool {
	if !call.rule.Idempotent {
		isAsked, isWithdrawn := false, false
		return func() bool {
			if !isAsked && !a.notice.isStarted.Load() {
				isAsked = true
				isWithdrawn = p.withdraw(a.request.Context(), a) == withdrawalWithdrawn
			}
			return !isWithdrawn
		}
	}
	hasAttemptLeft, hasOther := call.attempts < maxAttempts, !a.policy.isLastTarget
	mean := time.Duration(call.state.meanLatency.Load())
	budget := call.service.budget
	return func() bool {
		if !hasAttemptLeft || !call.hasSendLeft() || !budget.HasRetry() {
			return true
		}
		if schedule := p.stopping.schedule.Load(); schedule != nil {
			if !schedule.StartsCall(p.options.Now(), mean) {
				return true
			}
			// Another target may refuse the call, and this process ends soon.
			if result, _ := p.tryWithdraw(a.request.Context(), a); result == withdrawalStarted {
				return true
			}
		}
		if hasOther {
			return false
		}
		_, isAnswered := p.tryWithdraw(a.request.Context(), a)
		return !isAnswered
	}
}

// hasOtherTarget reports whether a target that was not tried may get the call.
func (c *entryCall) hasOtherTarget(candidate *route.Candidate) bool {
	group := c.service.group(candidate.Version)
	if group != nil && len(c.evacuated) > 0 {
		group = group.Outside(c.evacuated)
	}
	return group != nil && group.HasUntried(c.tried[:c.attempts])
}

// beginPending adds a call that has no response yet. The returned context ends with
// errStopEnds if the call is abandoned. The call must be released.
func (p *Proxy) beginPending(ctx context.Context, now time.Time, side callSide, routeName string) (context.Context, *pendingCall) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &pendingCall{stopping: &p.stopping, side: side, route: routeName, began: now, cancel: cancel}
	c.stopping.mu.Lock()
	defer c.stopping.mu.Unlock()
	if c.stopping.isAbandoning {
		c.abandon()
		return ctx, c
	}
	c.stopping.pending[c] = struct{}{}
	return ctx, c
}

// end removes a call that has a response. It returns false if the call was abandoned
// before. Otherwise it is not abandoned from now on.
func (c *pendingCall) end() bool {
	c.stopping.mu.Lock()
	defer c.stopping.mu.Unlock()
	delete(c.stopping.pending, c)
	return !c.isAbandoned
}

// claim ends the wait for the response. It returns a refusal if the call was abandoned
// before and the rest of the response can't be read.
func (c *pendingCall) claim(response *targetResponse) *refusal {
	if c.end() || response.complete {
		return nil
	}
	return abandonedCall()
}

// abandon ends the context of the call. The caller holds the mutex of stopping.
func (c *pendingCall) abandon() {
	c.isAbandoned = true
	c.cancel(errStopEnds)
}

// release ends the context of the call.
func (c *pendingCall) release() {
	c.end()
	c.cancel(nil)
}

// isAbandoned reports whether the call of the context was abandoned.
func isAbandoned(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopEnds) }

// abandonedCall returns the refusal of an abandoned call that its target may have run.
func abandonedCall() *refusal {
	return unknownOutcome(http.StatusGatewayTimeout, ReasonAbandoned, defaultRetryAfter)
}

// abandonCalls abandons the calls without a response.
func (p *Proxy) abandonCalls() {
	now, schedule := p.options.Now(), p.stopping.schedule.Load()
	if !schedule.ShouldAbandon(now) {
		time.AfterFunc(schedule.AbandonAt().Sub(now), p.abandonCalls)
		return
	}
	abandoned := p.stopping.abandonPending()
	counts := make(map[callSide]int)
	var oldest *pendingCall
	for _, c := range abandoned {
		counts[c.side]++
		if oldest == nil || c.began.Before(oldest.began) {
			oldest = c
		}
	}
	if oldest == nil {
		return
	}
	entryCallsAbandoned.Add(counts[entrySide])
	exitCallsAbandoned.Add(counts[exitSide])
	_ = p.options.Logger.Log("event", "calls_abandoned", "at_entry", counts[entrySide], "at_exit", counts[exitSide],
		"since_signal_ms", now.Sub(schedule.Began).Milliseconds(), "grace_ms", schedule.Grace.Milliseconds(),
		"oldest_ms", now.Sub(oldest.began).Milliseconds(), "oldest_route", oldest.route)
}

// beginAttemptOfStop records an attempt without a response, until the returned function is
// called.
func (p *Proxy) beginAttemptOfStop(a *sentAttempt) (end func()) {
	if p.options.Grace <= 0 {
		return func() {}
	}
	s := &p.stopping
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[a] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.attempts, a)
	}
}

// takeWaiting returns the attempts that were not handed to a target as far as is known.
func (s *stopping) takeWaiting() []*sentAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := make([]*sentAttempt, 0, len(s.attempts))
	for a := range s.attempts {
		if !a.notice.isStarted.Load() {
			waiting = append(waiting, a)
		}
	}
	return waiting
}

// maxWithdrawals bounds the concurrent withdrawals of a stop. Each opens a connection.
const maxWithdrawals = 16

// withdrawWaiting withdraws the attempts that still wait at other proxies. Those proxies
// refuse them as withdrawn on the connections of the attempts. A withdrawal that fails
// changes nothing.
func (p *Proxy) withdrawWaiting(schedule *route.Stop) {
	now := p.options.Now()
	ctx, cancel := context.WithTimeout(context.Background(), schedule.AbandonAt().Sub(now))
	defer cancel()
	waiting := p.stopping.takeWaiting()
	if len(waiting) == 0 {
		return
	}
	var withdrawn atomic.Int64
	var sent sync.WaitGroup
	slots := make(chan struct{}, maxWithdrawals)
	for _, a := range waiting {
		slots <- struct{}{}
		sent.Go(func() {
			defer func() { <-slots }()
			if p.withdraw(ctx, a) == withdrawalWithdrawn {
				withdrawn.Add(1)
			}
		})
	}
	sent.Wait()
	_ = p.options.Logger.Log("event", "calls_withdrawn", "attempts", len(waiting), "withdrawn", withdrawn.Load(),
		"since_signal_ms", now.Sub(schedule.Began).Milliseconds(), "ms", p.options.Now().Sub(now).Milliseconds())
}

// abandonPending abandons and returns all pending calls. Later ones are abandoned when they
// begin.
func (s *stopping) abandonPending() []*pendingCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAbandoning = true
	abandoned := make([]*pendingCall, 0, len(s.pending))
	for c := range s.pending {
		c.abandon()
		abandoned = append(abandoned, c)
	}
	clear(s.pending)
	return abandoned
}

// beginBody records that the body of a caller's call is being read, until the returned
// function is called.
func (s *stopping) beginBody(w http.ResponseWriter) (end func()) {
	control := http.NewResponseController(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.areBodiesRefused {
		endRead(control)
	}
	s.bodies[control] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.bodies, control)
	}
}

// refuseBodies ends the reads of bodies that are not complete.
func (s *stopping) refuseBodies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.areBodiesRefused = true
	for control := range s.bodies {
		endRead(control)
	}
}

// endRead makes the reads of a body fail.
func endRead(control *http.ResponseController) {
	// The error is ignored: a writer that does not support deadlines has no connection.
	_ = control.SetReadDeadline(time.Unix(1, 0))
}
