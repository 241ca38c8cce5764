package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// patience bounds the wait for an answer of a call that may be sent elsewhere.
// The zero value waits for as long as the call may take.
type patience struct {
	// after is the time after which isOver is asked once.
	after  time.Duration
	isOver func() bool
}

// silenceWatch closes the connection of a call on which nothing comes. An exit
// proxy sends interim answers while a call has no answer, so that silence means a
// lost connection.
type silenceWatch struct {
	connection *pooledConnection
	patience   patience
	timer      *time.Timer
	// next is the time between the last look and the one to come, waited that
	// up to the last look, quiet the part of it in which nothing came.
	next, waited, quiet time.Duration
	// reads is the count of reads at the last look.
	reads  uint64
	silent atomic.Bool
}

func watchSilence(connection *pooledConnection, patience patience) *silenceWatch {
	w := &silenceWatch{connection: connection, patience: patience, reads: connection.raw.reads.Load()}
	w.next = w.untilLook()
	w.timer = time.AfterFunc(w.next, w.look)
	return w
}

// look closes the connection if nothing came for too long, or if the patience
// is over.
func (w *silenceWatch) look() {
	w.waited += w.next
	w.quiet += w.next
	if reads := w.connection.raw.reads.Load(); reads != w.reads {
		w.reads = reads
		w.quiet = 0
	}
	isSilent := w.quiet >= silenceTimeout
	if isSilent || w.isPatienceOver() {
		w.silent.Store(isSilent)
		w.connection.discard()
		return
	}
	w.next = w.untilLook()
	w.timer.Reset(w.next)
}

func (w *silenceWatch) untilLook() time.Duration {
	left := silenceTimeout - w.quiet
	if w.patience.after > w.waited {
		left = min(left, w.patience.after-w.waited)
	}
	return left
}

// isPatienceOver asks once, at the look that comes after the patience.
func (w *silenceWatch) isPatienceOver() bool {
	if w.patience.after == 0 || w.waited < w.patience.after {
		return false
	}
	w.patience.after = 0
	return w.patience.isOver()
}

func (w *silenceWatch) stop() { w.timer.Stop() }

func (w *silenceWatch) isSilent() bool { return w.silent.Load() }

// interimWriter sends interim answers until the answer begins.
type interimWriter struct {
	http.ResponseWriter
	mu sync.Mutex
	// answering is true from the first touch of the answer's headers on.
	answering bool
	timer     *time.Timer
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
	if i.answering {
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
	i.answering = true
	i.timer.Stop()
}
