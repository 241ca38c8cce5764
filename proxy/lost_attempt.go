package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// startNotice records whether the exit proxy has stated, in an interim response, that it
// handed the attempt to its target.
type startNotice struct {
	isStarted atomic.Bool
	// path is nil before the attempt is sent.
	path atomic.Pointer[sentPath]
}

// sentPath is the path on which an attempt was sent.
type sentPath struct {
	meter *pathMeter
	sent  time.Time
	now   func() time.Time
}

// attach returns a context whose requests report interim responses to the notice.
func (s *startNotice) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: s.receive})
}

func (s *startNotice) receive(_ int, h textproto.MIMEHeader) error {
	if _, isStarted := h[headerStarted]; isStarted {
		s.isStarted.Store(true)
	}
	if path := s.path.Load(); path != nil {
		path.meter.record(path.now(), path.sent, http.Header(h))
	}
	return nil
}

// lostAttempt is what decides whether an attempt without a response is withdrawn.
type lostAttempt struct {
	// isStarted is true if the exit proxy stated that it handed the attempt over.
	isStarted bool
	// mayRepeat is true if the call can be sent again whether or not it has run: it is
	// idempotent and there is a retry left in the budget.
	mayRepeat bool
	// remaining is the time left for the call.
	remaining time.Duration
}

// shouldWithdraw reports whether it is asked at once if the attempt has run.
func (l lostAttempt) shouldWithdraw() bool {
	return !l.isStarted && !l.mayRepeat && l.remaining > 0
}

// canWithdrawLater reports whether it may still be asked at the end of the call.
func (l lostAttempt) canWithdrawLater() bool {
	return !l.isStarted && l.mayRepeat && l.remaining > 0
}

// settle returns the refusal of an attempt whose connection was lost before a response.
// If the exit proxy withdraws the attempt, it did not run and never will.
func (p *Proxy) settle(a *sentAttempt, lost *refusal) *refusal {
	ctx := a.request.Context()
	state := lostAttempt{
		isStarted: a.notice.isStarted.Load(), mayRepeat: a.isIdempotent && a.budget.HasRetry(),
		remaining: a.deadline.Sub(p.options.Now()),
	}
	settled := *lost
	settled.isUnsettled = state.canWithdrawLater()
	if state.shouldWithdraw() && p.withdraw(ctx, a) == withdrawalWithdrawn {
		return withdrawnAttempt()
	}
	return &settled
}

// withdrawnAttempt returns the refusal of a lost attempt that was withdrawn. It counts as
// a failure of the connection to the target.
func withdrawnAttempt() *refusal {
	refused := notRun(http.StatusServiceUnavailable, ReasonConnection, defaultRetryAfter)
	refused.isWithdrawn = true
	return refused
}

// settleCall returns the refusal that a call ends with, after withdrawing the attempts
// that were lost while a repetition seemed possible. The call counts as not run only if
// all of them were withdrawn and no other attempt may have run.
func (p *Proxy) settleCall(ctx context.Context, call *entryCall, refused *refusal) *refusal {
	if len(call.unsettled) == 0 {
		return refused
	}
	hasTime := ctx.Err() == nil && p.options.Now().Before(call.deadline)
	if call.mayHaveRun || !hasTime || !p.withdrawAll(ctx, call.unsettled) {
		call.mayHaveRun = true
		return refused
	}
	if refused.isUnsettled {
		return withdrawnAttempt()
	}
	return refused
}

// withdrawAll reports whether all attempts were withdrawn.
func (p *Proxy) withdrawAll(ctx context.Context, attempts []*sentAttempt) bool {
	var withdrawn atomic.Int32
	var sent sync.WaitGroup
	for _, a := range attempts {
		sent.Go(func() {
			if !a.notice.isStarted.Load() && p.withdraw(ctx, a) == withdrawalWithdrawn {
				withdrawn.Add(1)
			}
		})
	}
	sent.Wait()
	return int(withdrawn.Load()) == len(attempts)
}

// recordEnd records whether an attempt that was refused may have run.
func (c *entryCall) recordEnd(a *sentAttempt, refused *refusal) {
	switch {
	case refused == nil || refused.outcome == route.OutcomeNotRun || refused.reason == ReasonMoved:
	case refused.isUnsettled:
		c.unsettled = append(c.unsettled, a)
	default:
		c.mayHaveRun = true
	}
}
