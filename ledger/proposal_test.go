package ledger

import (
	"context"
	"testing"
)

// TestKnownOutcomeIsReturnedAtDeadline guards against a committed command whose caller is
// told that the outcome is unknown, since its context ended before the outcome was read.
func TestKnownOutcomeIsReturnedAtDeadline(t *testing.T) {
	l := &Ledger{stopped: make(chan struct{})}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range uint64(100) {
		p := &proposal{done: make(chan proposalOutcome, 1)}
		p.claimed.Store(true)
		p.complete(Result{Index: i}, nil)
		if result, err := l.await(ended, p); err != nil || result.Index != i {
			t.Fatalf("result %v, error %v; want the outcome", result, err)
		}
	}
}
