package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// abandonPolicy bounds the wait for an answer of a call that may be sent elsewhere.
// The zero value waits for as long as the call may take.
type abandonPolicy struct {
	// after is the time after which isOver is asked once.
	after         time.Duration
	shouldAbandon func() bool
}

// watchdog closes the connection of a call on which nothing comes. An exit
// proxy sends interim answers while a call has no answer, so that silence means a
// lost connection.
type watchdog struct {
	connection *pooledConnection
	policy     abandonPolicy
	timer      *time.Timer
	// next is the time between the last look and the one to come, waited that
	// up to the last look, quiet the part of it in which nothing came.
	interval, elapsed, idle time.Duration
	// reads is the count of reads at the last look.
	reads  uint64
	silent atomic.Bool
}

func startWatchdog(connection *pooledConnection, policy abandonPolicy) *watchdog {
	w := &watchdog{connection: connection, policy: policy, reads: connection.raw.reads.Load()}
	w.interval = w.nextInterval()
	w.timer = time.AfterFunc(w.interval, w.check)
	return w
}

// check closes the connection if nothing came for too long, or if the patience
// is over.
func (w *watchdog) check() {
	w.elapsed += w.interval
	w.idle += w.interval
	if reads := w.connection.raw.reads.Load(); reads != w.reads {
		w.reads = reads
		w.idle = 0
	}
	isSilent := w.idle >= silenceTimeout
	if isSilent || w.shouldAbandon() {
		w.silent.Store(isSilent)
		w.connection.discard()
		return
	}
	w.interval = w.nextInterval()
	w.timer.Reset(w.interval)
}

func (w *watchdog) nextInterval() time.Duration {
	remaining := silenceTimeout - w.idle
	if w.policy.after > w.elapsed {
		remaining = min(remaining, w.policy.after-w.elapsed)
	}
	return remaining
}

// shouldAbandon asks once, at the look that comes after the patience.
func (w *watchdog) shouldAbandon() bool {
	if w.policy.after == 0 || w.elapsed < w.policy.after {
		return false
	}
	w.policy.after = 0
	return w.policy.shouldAbandon()
}

func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) isSilent() bool { return w.silent.Load() }

// interimWriter sends interim answers until the answer begins.
type interimWriter struct {
	http.ResponseWriter
	mu sync.Mutex
	// responding is true from the first touch of the answer's headers on.
	responding bool
	timer      *time.Timer
}

func newInterimWriter(w http.ResponseWriter) *interimWriter {
	i := &interimWriter{ResponseWriter: w}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.timer = time.AfterFunc(interimInterval, i.send)
	return i
}

// send sends an interim answer.
func (i *interimWriter) send() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.responding {
		return
	}
	i.WriteHeader(http.StatusProcessing)
	i.timer.Reset(interimInterval)
}

// Header ends the interim answers and returns the headers of the answer.
func (i *interimWriter) Header() http.Header {
	i.stop()
	return i.ResponseWriter.Header()
}

// Flush sends what was written.
func (i *interimWriter) Flush() {
	if flusher, can := i.ResponseWriter.(http.Flusher); can {
		flusher.Flush()
	}
}

// stop ends the interim answers.
func (i *interimWriter) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.responding = true
	i.timer.Stop()
}
