package proxy

import (
	"sync"
	"testing"
	"time"
)

const (
	pauseCheckInterval = 5 * time.Millisecond
	// minPauseLength is the shortest time without a check that counts as a pause.
	minPauseLength = 100 * time.Millisecond
)

// pauseWatch measures for how long the test process did not run at all. Such a time says
// nothing about the code under test, but is part of every duration that a test measures.
type pauseWatch struct {
	mu    sync.Mutex
	last  time.Time
	total time.Duration
}

// watchPauses measures pauses until the test ends.
func watchPauses(t *testing.T) *pauseWatch {
	t.Helper()
	w := &pauseWatch{last: time.Now()}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		ticker := time.NewTicker(pauseCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				w.check()
			}
		}
	}()
	return w
}

func (w *pauseWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(w.last); gap >= minPauseLength {
		w.total += gap
	}
	w.last = now
}

// paused returns the sum of the pauses.
func (w *pauseWatch) paused() time.Duration {
	w.check()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}
