package route

import (
	"sync"
	"time"
)

// Outcome says what is known of an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeRan means that the target answered.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the attempt provably did not run and will not.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown Outcome = "unknown"
)

// leastTimeForAttempt is the remaining time below which no attempt starts.
const leastTimeForAttempt = time.Millisecond

// MayRetry reports whether a call may be sent again after an attempt. A call
// that is not idempotent is sent again only where the attempt did not run.
func MayRetry(rule *Rule, attempts int, outcome Outcome, remaining time.Duration) bool {
	if attempts >= rule.MaxAttempts || remaining < leastTimeForAttempt {
		return false
	}
	switch outcome {
	case OutcomeNotRun:
		return true
	case OutcomeUnknown:
		return rule.Idempotent
	default:
		return false
	}
}

const (
	// budgetShare is the part of the calls that may be sent a second time.
	budgetShare = 0.1
	// budgetReserve is the number of retries allowed without any traffic.
	budgetReserve = 10
)

// Budget bounds the retries of a route to a share of its calls, so that an
// overload is not made worse by its own retries.
type Budget struct {
	mu sync.Mutex
	// tokens lies between 0 and budgetReserve.
	tokens  float64
	started bool
}

// Deposit counts a new call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(b.tokens+budgetShare, budgetReserve)
}

// Withdraw takes one retry. It returns false when the budget is used up.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// HasRetry reports whether a retry is left.
func (b *Budget) HasRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	return b.tokens >= 1
}

func (b *Budget) fill() {
	if !b.started {
		b.started = true
		b.tokens = budgetReserve
	}
}
