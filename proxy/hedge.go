package proxy

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell/route"
)

var (
	hedgesSent   = metrics.NewCounter(`hornbeamwell_hedges_total{outcome="sent"}`)
	hedgesWon    = metrics.NewCounter(`hornbeamwell_hedges_total{outcome="won"}`)
	hedgesLost   = metrics.NewCounter(`hornbeamwell_hedges_total{outcome="lost"}`)
	hedgesFailed = metrics.NewCounter(`hornbeamwell_hedges_total{outcome="failed"}`)
	hedgesDenied = newHedgesDenied()
)

func newHedgesDenied() map[route.HedgeDenial]*metrics.Counter {
	counters := make(map[route.HedgeDenial]*metrics.Counter)
	for _, reason := range route.HedgeDenials() {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("hornbeamwell_hedges_denied_total{reason=%q}", string(reason)))
	}
	return counters
}

// serviceHedges holds what decides on the hedges of a service. It is kept across tables.
type serviceHedges struct {
	limit *route.Budget
	// refusedAt is the time of the last refusal for lack of room in Unix nanoseconds, 0
	// if there was none.
	refusedAt atomic.Int64
}

// serviceHedges returns the hedges of the service, nil if calls are not hedged. The
// caller holds updateMu.
func (p *Proxy) serviceHedges(service string) *serviceHedges {
	if p.options.HedgeShare == 0 {
		return nil
	}
	h := p.hedges[service]
	if h == nil {
		h = &serviceHedges{limit: route.NewHedgeLimit(p.options.HedgeShare)}
		p.hedges[service] = h
	}
	return h
}

// deposit records a new call.
func (h *serviceHedges) deposit() {
	if h != nil {
		h.limit.Deposit()
	}
}

// observe records whether an attempt was refused for lack of room.
func (h *serviceHedges) observe(now time.Time, refused *refusal) {
	if h != nil && refused != nil && refused.isShortOfRoom() {
		h.refusedAt.Store(now.UnixNano())
	}
}

func (h *serviceHedges) sinceRefusal(now time.Time) time.Duration {
	at := h.refusedAt.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return now.Sub(time.Unix(0, at))
}

// isShortOfRoom reports whether the refusal means that the service is short of capacity.
func (f *refusal) isShortOfRoom() bool {
	switch f.reason {
	case ReasonOverloaded, ReasonDeadline, ReasonRateLimited, ReasonLinkBusy, ReasonNestedRefused, ReasonShed, ReasonRefusedInQueue, ReasonNoTarget:
		return true
	default:
		return false
	}
}

// isHedgeable reports whether the first attempt of the call may get a copy.
func (c *entryCall) isHedgeable() bool {
	return c.service.hedges != nil && c.attempts <= 1 && c.rule.Idempotent && c.body.stream == nil
}

// attemptResult is the end of an attempt. Exactly one of response and refused is set.
type attemptResult struct {
	attempt  *sentAttempt
	response *targetResponse
	refused  *refusal
}

// isFailure reports whether another attempt is better awaited.
func (r attemptResult) isFailure() bool {
	return r.refused != nil || r.response.StatusCode >= http.StatusInternalServerError
}

// hedgedAttempt is the first attempt of a call and, after a delay without a response, its
// copy. Only the goroutine of the call uses it and the call; each attempt runs on a
// goroutine that uses neither.
type hedgedAttempt struct {
	proxy    *Proxy
	call     *entryCall
	estimate route.HedgeEstimate
	first    *sentAttempt
	// copied is nil if no copy was sent.
	copied *sentAttempt
	// ended receives the results of both.
	ended chan attemptResult
}

// attemptHedged sends the call to the candidate, and to a second one if the first gives
// no response in time.
func (p *Proxy) attemptHedged(ctx context.Context, r *http.Request, call *entryCall, first *sentAttempt) (*targetResponse, *refusal) {
	history := call.state.hedgeHistory
	estimate := history.Begin(first.started)
	duration := time.Duration(0)
	defer func() { history.End(p.options.Now(), estimate, duration) }()
	if estimate.Delay == 0 {
		response, refused := p.run(first)
		result := attemptResult{first, response, refused}
		if !result.isFailure() {
			duration = p.options.Now().Sub(first.started)
		}
		return p.finishAttempt(call, result)
	}
	h := &hedgedAttempt{proxy: p, call: call, estimate: estimate, first: first, ended: make(chan attemptResult, 2)}
	h.start(first)
	result := h.await(ctx, r)
	if !result.isFailure() {
		duration = p.options.Now().Sub(first.started)
	}
	return result.response, result.refused
}

func (h *hedgedAttempt) start(attempt *sentAttempt) {
	go func() {
		response, refused := h.proxy.run(attempt)
		h.ended <- attemptResult{attempt, response, refused}
	}()
}

// hedgeTries is the number of times, one delay apart, that a copy is considered. On a
// route with few calls, none that began later may have ended at the first time.
const hedgeTries = 2

// await returns the result of the call's attempt and its copy.
func (h *hedgedAttempt) await(ctx context.Context, r *http.Request) attemptResult {
	timer := time.NewTimer(h.estimate.Delay - h.proxy.options.Now().Sub(h.first.started))
	defer timer.Stop()
	for try := range hedgeTries {
		if result, hasEnded := h.awaitDelay(timer); hasEnded {
			return h.finish(result)
		}
		if try == 0 {
			h.call.state.hedgeHistory.Exceed()
		}
		if h.sendCopy(ctx, r) {
			break
		}
		timer.Reset(h.estimate.Delay)
	}
	if h.copied == nil {
		return h.finish(<-h.ended)
	}
	result := h.finish(<-h.ended)
	if !result.isFailure() {
		h.cancelOther(result.attempt)
		h.report(result)
		return result
	}
	other := h.finish(<-h.ended)
	result = h.better(result, other)
	h.report(result)
	return result
}

// awaitDelay waits until the first attempt has ended or the timer fires. It returns false if
// there is no result yet.
func (h *hedgedAttempt) awaitDelay(timer *time.Timer) (attemptResult, bool) {
	select {
	case result := <-h.ended:
		return result, true
	case <-timer.C:
	}
	// Both may have happened while the process had no processor time.
	select {
	case result := <-h.ended:
		return result, true
	default:
		return attemptResult{}, false
	}
}

// sendCopy sends the copy if that is allowed.
func (h *hedgedAttempt) sendCopy(ctx context.Context, r *http.Request) bool {
	p, call := h.proxy, h.call
	now := p.options.Now()
	isSlow := call.state.hedgeHistory.IsSlow(h.estimate)
	candidate := p.pickForHedge(now, call)
	denied := route.TakeHedge(route.HedgeQuery{
		Rule: call.rule, Sends: call.sends + 1, IsMoving: call.service.evidence != nil, HasTarget: candidate != nil,
		Remaining: call.deadline.Sub(now), Estimate: h.estimate, IsSlow: isSlow,
		SinceRefusal: call.service.hedges.sinceRefusal(now), Limit: call.service.hedges.limit, Budget: call.service.budget,
	})
	if denied != "" {
		hedgesDenied[denied].Inc()
		return false
	}
	copied, refused := p.beginAttempt(ctx, r, call, candidate)
	if refused != nil {
		return false
	}
	h.copied = copied
	hedgesSent.Inc()
	h.start(copied)
	return true
}

// pickForHedge returns a target that may receive a copy of the call, nil if there is none.
func (p *Proxy) pickForHedge(now time.Time, call *entryCall) *route.Candidate {
	if p.refuseSuspect(now, call.fingerprint) != nil {
		return nil
	}
	c := p.pick(call)
	if c == nil || !p.mayTryAgain(call, c) || c.IsCold(now) || c.Load.IsCold(now) || c.Load.RateLimit().IsLimited || c.Health.IsEjected(now) {
		return nil
	}
	return c
}

// finish records the end of an attempt that was not cancelled.
func (h *hedgedAttempt) finish(result attemptResult) attemptResult {
	_, result.refused = h.proxy.finishAttempt(h.call, result)
	return result
}

// cancelOther cancels the attempt that has not ended. Its result counts neither for nor
// against its target.
func (h *hedgedAttempt) cancelOther(winner *sentAttempt) {
	other := h.first
	if winner == h.first {
		other = h.copied
	}
	other.cancel()
	h.call.sends++
	go func() {
		result := <-h.ended
		result.response.release()
		endAttemptSpan(result.attempt.span, result.attempt.candidate, result.response, result.refused)
	}()
}

// better returns the result for the caller of two failures, or of one that is not.
func (h *hedgedAttempt) better(earlier, later attemptResult) attemptResult {
	if later.isFailure() && earlier.refused == nil {
		later.response.release()
		return earlier
	}
	earlier.response.release()
	if earlier.refused != nil && earlier.refused.reason == ReasonEvacuated {
		h.call.evacuated = append(slices.Clip(h.call.evacuated), earlier.attempt.candidate.Zone)
	}
	return later
}

// report counts and logs a hedge at its end.
func (h *hedgedAttempt) report(result attemptResult) {
	outcome, counter := "lost", hedgesLost
	switch {
	case result.isFailure():
		outcome, counter = "failed", hedgesFailed
	case result.attempt == h.copied:
		outcome, counter = "won", hedgesWon
	}
	counter.Inc()
	now := h.proxy.options.Now()
	h.proxy.logCall(now, true, "event", "call_hedged", "call", h.call.id, "route", h.call.rule.Name, "service", h.call.service.Name,
		"first", h.first.candidate.ID, "second", h.copied.candidate.ID, "outcome", outcome,
		"delay_ms", h.estimate.Delay.Milliseconds(), "samples", h.estimate.Samples,
		"second_ms", now.Sub(h.copied.started).Milliseconds(), "ms", now.Sub(h.first.started).Milliseconds())
}
