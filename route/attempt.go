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

// MayRetry reports whether a call may be sent again after an attempt. Sends are
// the attempts that reached a target. A call that is not idempotent is sent
// again only where the attempt did not run.
func MayRetry(rule *Rule, sends int, outcome Outcome, remaining time.Duration) bool {
	if sends >= rule.MaxAttempts || remaining < leastTimeForAttempt {
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
	// DefaultRetryRatio is the part of the calls that may be sent a second time.
	DefaultRetryRatio = 0.1
	// DefaultRetryReserve is the number of retries allowed without any traffic.
	DefaultRetryReserve = 10
)

// Budget bounds the retries of a service to a share of its calls, so that an
// overload is not made worse by its own retries. Over any span it allows its
// reserve and the ratio of the span's calls. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// ratio is the part of a token that each call brings, at least 0.
	ratio float64
	// reserve bounds the tokens. It is at least 0.
	reserve float64
	// tokens lies between 0 and reserve.
	tokens float64
}

// NewBudget returns a budget with its whole reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// SetReserve changes the reserve. What was spent stays spent.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = max(min(b.tokens+reserve-b.reserve, reserve), 0)
	b.reserve = reserve
}

// Deposit counts a new call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Withdraw takes one retry. It returns false when the budget is used up.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
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
	return b.tokens >= 1
}
