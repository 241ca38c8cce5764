package ledger

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// writer makes writes durable on a goroutine of its own. All writes that wait
// share one sync.
type writer struct {
	storage hornbeamwell.LedgerStorage
	// synced is the number of the last write that is durable. done has a
	// token after every change of it.
	synced atomic.Uint64
	done   chan struct{}

	mutex   sync.Mutex
	waiting sync.Cond
	queue   []hornbeamwell.LedgerWrite
	// last is the number of the last write in the queue.
	last    uint64
	stopped bool
}

func newWriter(storage hornbeamwell.LedgerStorage) *writer {
	w := &writer{storage: storage, done: make(chan struct{}, 1)}
	w.waiting.L = &w.mutex
	return w
}

// add queues writes. The last of them has the given number.
func (w *writer) add(writes []hornbeamwell.LedgerWrite, last uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue = append(w.queue, writes...)
	w.last = last
	w.waiting.Signal()
}

// run writes until it is stopped or the storage fails.
func (w *writer) run() error {
	for {
		writes, last, ok := w.take()
		if !ok {
			return nil
		}
		startedAt := time.Now()
		if err := w.save(writes); err != nil {
			return err
		}
		metricSync.UpdateDuration(startedAt)
		w.synced.Store(last)
		select {
		case w.done <- struct{}{}:
		default:
		}
	}
}

func (w *writer) save(writes []hornbeamwell.LedgerWrite) error {
	for _, write := range writes {
		if err := w.storage.Write(write); err != nil {
			return fmt.Errorf("write ledger: %w", err)
		}
	}
	if err := w.storage.Sync(); err != nil {
		return fmt.Errorf("sync ledger: %w", err)
	}
	return nil
}

// take waits for writes. It reports false once the writer is stopped.
func (w *writer) take() ([]hornbeamwell.LedgerWrite, uint64, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.queue) == 0 && !w.stopped {
		w.waiting.Wait()
	}
	writes := w.queue
	w.queue = nil
	return writes, w.last, !w.stopped
}

func (w *writer) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.waiting.Signal()
}
