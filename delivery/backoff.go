package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffBase is the longest wait before the first new attempt.
	backoffBase = 500 * time.Millisecond
	// backoffCap is the longest wait before any attempt where none is set.
	backoffCap = 8 * time.Second
	// sourceBackoffCap is the same for relays and followers. They are few, and
	// a new leader knows what is in force only once it hears from all of them.
	sourceBackoffCap = time.Second
)

// backoff returns waits with exponential growth and full jitter, so that
// subscribers that lost their source together come back spread out.
type backoff struct {
	random   *rand.Rand
	attempts int
	// longest bounds each wait; 0 means backoffCap.
	longest time.Duration
}

// next returns the wait before the next attempt.
func (b *backoff) next() time.Duration {
	longest := b.longest
	if longest == 0 {
		longest = backoffCap
	}
	ceiling := backoffBase << min(b.attempts, 10)
	b.attempts++
	return time.Duration(b.random.Int64N(int64(min(ceiling, longest))) + 1)
}

func (b *backoff) reset() { b.attempts = 0 }
