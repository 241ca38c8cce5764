package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	// initialBackoff is the longest wait before the first retry.
	initialBackoff = 500 * time.Millisecond
	// maxBackoff is the default limit of each wait.
	maxBackoff = 8 * time.Second
	// maxSourceBackoff is the limit for relays and followers. There are few of
	// them, and a new leader knows what is in force only after all of them have
	// reported.
	maxSourceBackoff = time.Second
)

// backoff computes waits with exponential growth and full jitter, so that
// subscribers that lost their source at the same time reconnect at different
// times.
type backoff struct {
	random   *rand.Rand
	attempts int
	// limit is the longest wait; 0 means maxBackoff.
	limit time.Duration
}

// next returns the wait before the next attempt.
func (b *backoff) next() time.Duration {
	limit := b.limit
	if limit == 0 {
		limit = maxBackoff
	}
	ceiling := initialBackoff << min(b.attempts, 10)
	b.attempts++
	return time.Duration(b.random.Int64N(int64(min(ceiling, limit))) + 1)
}

func (b *backoff) reset() { b.attempts = 0 }
