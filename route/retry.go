package route

import (
	"sync"
	"time"
)

// Outcome is what is known about the execution of an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeRan means that the target responded.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the attempt provably did not run and will not
	// run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown Outcome = "unknown"
)

// minAttemptTime is the remaining time below which no attempt is started.
const minAttemptTime = time.Millisecond

// MayRetry reports whether a call may be sent again after an attempt. Sends is
// the number of attempts that may have reached a target. A call that is not
// idempotent is sent again only if the attempt did not run.
func MayRetry(rule *Rule, sends int, outcome Outcome, remaining time.Duration) bool {
	if sends >= rule.MaxAttempts || remaining < minAttemptTime {
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
	// DefaultRetryRatio is the default number of retries per call.
	DefaultRetryRatio = 0.1
	// DefaultRetryReserve is the default number of retries allowed without any
	// traffic.
	DefaultRetryReserve = 10
)

// Budget limits the retries of a service's calls to a fraction of these calls,
// so that retries do not amplify an overload. Over any period it allows its
// reserve plus that fraction of the calls of the period. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// ratio is the number of tokens that each call adds. It is not negative.
	ratio float64
	// reserve is the maximum of tokens. It is not negative.
	reserve float64
	// tokens lies between 0 and reserve.
	tokens float64
}

// NewBudget returns a Budget that starts with its full reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// SetReserve changes the reserve. Tokens that were spent stay spent.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = max(min(b.tokens+reserve-b.reserve, reserve), 0)
	b.reserve = reserve
}

// Deposit records a new call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Withdraw takes the token of one retry. It returns false when the budget is
// exhausted.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// HasRetry reports whether a retry remains.
func (b *Budget) HasRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}
