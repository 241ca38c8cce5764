package proxy

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// localTarget is the target beside this proxy.
type localTarget struct {
	hornbeamwell.Target
	address       netip.AddrPort
	pool          *pool
	gate          *gate
	crashDetector *crashDetector
	// incarnationState is kept across announcements of the same incarnation.
	*incarnationState
}

// targetContinueTimeout is the time after which a body is sent although the target has not
// asked for it. Some targets never ask.
const targetContinueTimeout = 200 * time.Millisecond

// loopbackDialTimeout bounds a dial to the local target.
const loopbackDialTimeout = 500 * time.Millisecond

// gate admits calls to the target. It is kept across announcements of the same
// target.
type gate struct {
	now       func() time.Time
	mu        sync.Mutex
	admission *route.Admission
	// tickAt is the time of the earliest scheduled tick of the admission, zero if none
	// is scheduled.
	tickAt time.Time
	cold   coldTarget
	// isClosed is true once a planned stop of this proxy has begun. No call is admitted
	// from then on.
	isClosed bool
}

func newGate(now func() time.Time, slots int) *gate {
	return &gate{now: now, admission: route.NewAdmission(slots)}
}

// SetLocalTarget sets the announcement of the target beside this proxy. A
// draining target receives no new calls from now on. Calls that wait for a slot
// are refused, and those that run finish. An announcement that is older than the
// current one of the same target is ignored.
func (p *Proxy) SetLocalTarget(target hornbeamwell.Target, address netip.AddrPort) {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	current := p.local.Load()
	if current != nil && current.ID == target.ID && current.IsNewer(&target) {
		return
	}
	next := &localTarget{Target: target, address: address}
	if current != nil && current.ID == target.ID && current.address == address && current.Incarnation == target.Incarnation {
		next.pool = current.pool
	} else {
		next.pool = newPool(address, loopbackDialTimeout, maxHeaderBytes)
		next.pool.connections, next.pool.onLimit = p.options.Connections, p.peers.closeIdle
		next.pool.transport.ExpectContinueTimeout = targetContinueTimeout
	}
	slots := min(max(target.Slots, 1), max(target.Connections, 1))
	if current != nil && current.ID == target.ID {
		next.gate = current.gate
		next.crashDetector = current.crashDetector
		next.gate.setSlots(slots)
	} else {
		next.gate = newGate(p.options.Now, slots)
		next.crashDetector = &crashDetector{detector: route.NewCrashDetector()}
	}
	if current != nil && current.ID == target.ID && current.Incarnation == target.Incarnation {
		next.incarnationState = current.incarnationState
	} else {
		next.incarnationState = &incarnationState{}
		now := p.options.Now()
		next.gate.resetRateLimit(now)
		p.changeCold(now, next, func(c *coldTarget) { c.state.Begin(now) }, "sequence", target.Sequence)
	}
	if p.stopping.schedule.Load() != nil {
		next.gate.close()
	}
	p.configureCold(p.options.Now(), next, p.table.Load())
	p.local.Store(next)
	p.askHealthIfDue()
	p.applyOrder(next)
	if current != nil && current.pool != next.pool {
		current.pool.closeIdle()
	}
	if current != nil && current.ID == target.ID && current.Incarnation < target.Incarnation {
		go p.confirmCrash(p.options.Now(), next)
	}
	p.keys.mu.Lock()
	targets := p.keys.targets
	p.keys.mu.Unlock()
	p.keys.observe(p.options.Now(), p.table.Load(), next, targets)
	if p.keys.shouldFetchHandover(p.options.Now()) {
		go p.fetchHandover()
	}
	if target.State != hornbeamwell.TargetReady {
		next.refuseWaiting()
	}
}

func (l *localTarget) refuseWaiting() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.gate.admission.RefuseWaiting()
}

// close refuses the calls that wait and every later one.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isClosed = true
	g.admission.RefuseWaiting()
}

// routeMean returns the mean duration of the route's calls.
func (g *gate) routeMean(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RouteMean(route)
}

func (g *gate) setSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Limit.SetSlots(slots)
}

// applyOrder orders the queue by objective, relates the calls that the target sheds to its
// load and those that it makes to its runs,
// where the target states its pace or the configuration has teams.
func (p *Proxy) applyOrder(local *localTarget) {
	if local == nil {
		return
	}
	byObjective := p.hasTeams.Load() || local.statedLoad.Load().mean() > 0
	local.gate.mu.Lock()
	defer local.gate.mu.Unlock()
	local.gate.admission.OrdersByObjective = byObjective
	local.gate.admission.RelatesSheds = byObjective
	p.nested.isActive.Store(byObjective)
}

// load returns the number of calls that run or wait, and the mean duration of a
// call.
func (g *gate) load() (calls int, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load(), g.admission.Limit.Mean()
}

func (g *gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.admission.RetryAfter(), minRetryAfter)
}

// acquire waits for a slot. It returns nil when the call has one.
func (g *gate) acquire(ctx context.Context, now time.Time, w *route.Waiter) *refusal {
	g.mu.Lock()
	if g.isClosed {
		g.mu.Unlock()
		return notRun(503, ReasonDraining, defaultRetryAfter)
	}
	verdict := g.admission.Offer(now, w)
	g.scheduleTick(now)
	g.mu.Unlock()
	if verdict == route.VerdictWait {
		verdict = g.wait(ctx, w)
		if verdict != route.VerdictAdmit {
			return notRun(503, ReasonRefusedInQueue, g.retryAfter())
		}
	}
	switch verdict {
	case route.VerdictAdmit:
		return nil
	case route.VerdictLate:
		return notRun(503, ReasonDeadline, g.retryAfter())
	case route.VerdictRateLimited:
		if perSecond, _ := g.coldRate(now); perSecond > 0 {
			coldRefused.Inc()
		}
		return notRun(503, ReasonRateLimited, g.retryAfter())
	default:
		return notRun(503, ReasonOverloaded, g.retryAfter())
	}
}

// wait returns the verdict for a waiting call, VerdictLate if its context ends
// first.
func (g *gate) wait(ctx context.Context, w *route.Waiter) route.Verdict {
	select {
	case verdict := <-w.Decided:
		return verdict
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.Cancel(w) {
		return route.VerdictLate
	}
	return <-w.Decided
}

// release ends a call. It returns why the target shed it if it did.
func (g *gate) release(now time.Time, w *route.Waiter, duration time.Duration, shed bool) route.ShedCause {
	g.mu.Lock()
	defer g.mu.Unlock()
	cause := g.admission.Done(now, w, duration, shed)
	g.scheduleTick(now)
	countShed(cause)
	return cause
}

// state records what the target stated about its load.
func (g *gate) state(now time.Time, statement hornbeamwell.LoadStatement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.State(now, statement)
}

// limit returns the number of calls that may run concurrently.
func (g *gate) limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Limit.Current()
}

// scheduleTick schedules the next tick of the admission if it needs one. The caller
// holds the mutex.
func (g *gate) scheduleTick(now time.Time) {
	at, isNeeded := g.admission.NextTick()
	if !isNeeded || !g.tickAt.IsZero() && !at.Before(g.tickAt) {
		return
	}
	g.tickAt = at
	time.AfterFunc(at.Sub(now), g.tick)
}

func (g *gate) tick() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickAt = time.Time{}
	g.admission.Tick(now)
	g.scheduleTick(now)
}

// setRateLimit records the limit that the target stated in the response to a call
// that was sent at the given time. It returns the limit before and whether it changed.
func (g *gate) setRateLimit(now, sent time.Time, stated hornbeamwell.RateLimit) (before hornbeamwell.RateLimit, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before = g.admission.RateLimit()
	changed = g.admission.SetRateLimit(now, sent, stated)
	g.scheduleTick(now)
	return before, changed
}

// adoptRateLimit records the limit that another proxy knows. It returns true if the
// limit changed.
func (g *gate) adoptRateLimit(now time.Time, known hornbeamwell.RateLimit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.AdoptRateLimit(now, known)
}

// rateLimit returns the rate limit of the target.
func (g *gate) rateLimit() hornbeamwell.RateLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RateLimit()
}

func (g *gate) resetRateLimit(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.ResetRateLimit(now)
}
