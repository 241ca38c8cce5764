package ledger

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
)

// writer makes writes durable on its own goroutine. All queued writes share one
// sync.
type writer struct {
	storage hornbeamwell.LedgerStorage
	logger  log.Logger
	// synced is the number of the last durable write. After a change of synced,
	// syncDone receives a token unless it still holds one.
	synced   atomic.Uint64
	syncDone chan struct{}

	mutex  sync.Mutex
	queued sync.Cond
	queue  []hornbeamwell.LedgerWrite
	// last is the number of the last write that was queued.
	last    uint64
	stopped bool
}

func newWriter(storage hornbeamwell.LedgerStorage, logger log.Logger) *writer {
	w := &writer{storage: storage, logger: logger, syncDone: make(chan struct{}, 1)}
	w.queued.L = &w.mutex
	return w
}

// enqueue queues writes. The last of them has the given number.
func (w *writer) enqueue(writes []hornbeamwell.LedgerWrite, last uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue = append(w.queue, writes...)
	w.last = last
	w.queued.Signal()
}

// run writes until it is stopped or the storage keeps rejecting a write.
func (w *writer) run() error {
	for {
		writes, last, ok := w.dequeue()
		if !ok {
			return nil
		}
		startedAt := time.Now()
		if err := w.persist(writes); err != nil {
			return err
		}
		if w.isStopped() {
			return nil
		}
		metricSync.UpdateDuration(startedAt)
		w.synced.Store(last)
		select {
		case w.syncDone <- struct{}{}:
		default:
		}
	}
}

const (
	// repairInterval is the time between two attempts to repair the storage
	// after a failure, or to open it on a full disk.
	repairInterval = 100 * time.Millisecond
	// maxWriteFailures is the number of times, including the first, that the
	// same writes may fail and be tried again after a repair. One more failure
	// ends the writer. After a repair there is free space, so that more failures
	// have another cause than a full disk.
	maxWriteFailures = 3
)

// persist makes the writes durable. While the storage fails, nothing is
// reported as durable, and the other instances commit without this one. If the
// writer is stopped meanwhile, persist returns nil although the writes may not
// be durable.
func (w *writer) persist(writes []hornbeamwell.LedgerWrite) error {
	failures := 0
	for next := 0; ; {
		written, err := w.writeAndSync(writes[next:])
		next += written
		if err == nil {
			return nil
		}
		if failures++; failures > maxWriteFailures {
			return fmt.Errorf("write ledger: %w", err)
		}
		if !w.repair(err) {
			return nil
		}
	}
}

// writeAndSync writes and syncs. It returns the number of writes that need not
// be repeated. After a failed sync that is all of them, because Repair writes
// the whole state.
func (w *writer) writeAndSync(writes []hornbeamwell.LedgerWrite) (int, error) {
	for i, write := range writes {
		if err := w.storage.Write(write); err != nil {
			return i, err
		}
	}
	if err := w.storage.Sync(); err != nil {
		return len(writes), fmt.Errorf("sync ledger: %w", err)
	}
	return len(writes), nil
}

// repair waits until the storage accepts writes again. It returns false once
// the writer is stopped.
func (w *writer) repair(cause error) bool {
	metricStorageFailures.Inc()
	_ = w.logger.Log("event", "storage_failed", "err", cause)
	for failures := 0; !w.isStopped(); failures++ {
		err := w.storage.Repair()
		if err == nil {
			_ = w.logger.Log("event", "storage_repaired", "tries", failures+1)
			return true
		}
		time.Sleep(repairInterval)
	}
	return false
}

func (w *writer) isStopped() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stopped
}

// dequeue waits for writes. It reports false once the writer is stopped.
func (w *writer) dequeue() ([]hornbeamwell.LedgerWrite, uint64, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.queue) == 0 && !w.stopped {
		w.queued.Wait()
	}
	writes := w.queue
	w.queue = nil
	return writes, w.last, !w.stopped
}

func (w *writer) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.queued.Signal()
}
