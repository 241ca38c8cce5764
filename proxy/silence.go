package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// silenceWatch closes the connection of a call on which nothing comes. An exit
// proxy sends signs of life while a call has no answer, so that silence means a
// lost connection.
type silenceWatch struct {
	connection *pooledConnection
	timer      *time.Timer
	// reads is the count of reads at the last look.
	reads  uint64
	silent atomic.Bool
}

func watchSilence(connection *pooledConnection) *silenceWatch {
	w := &silenceWatch{connection: connection, reads: connection.raw.reads.Load()}
	w.timer = time.AfterFunc(silenceTimeout, w.look)
	return w
}

// look closes the connection if nothing came since the last look.
func (w *silenceWatch) look() {
	reads := w.connection.raw.reads.Load()
	if reads != w.reads {
		w.reads = reads
		w.timer.Reset(silenceTimeout)
		return
	}
	w.silent.Store(true)
	w.connection.discard()
}

func (w *silenceWatch) stop() { w.timer.Stop() }

func (w *silenceWatch) isSilent() bool { return w.silent.Load() }

// livingWriter sends signs of life until the answer begins.
type livingWriter struct {
	http.ResponseWriter
	mu sync.Mutex
	// answering is true from the first touch of the answer's headers on.
	answering bool
	timer     *time.Timer
}

func newLivingWriter(w http.ResponseWriter) *livingWriter {
	l := &livingWriter{ResponseWriter: w}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(signOfLife, l.sign)
	return l
}

// sign sends an interim answer.
func (l *livingWriter) sign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answering {
		return
	}
	l.WriteHeader(http.StatusProcessing)
	l.timer.Reset(signOfLife)
}

// Header ends the signs of life and returns the headers of the answer.
func (l *livingWriter) Header() http.Header {
	l.stop()
	return l.ResponseWriter.Header()
}

// Flush sends what was written.
func (l *livingWriter) Flush() {
	if flusher, can := l.ResponseWriter.(http.Flusher); can {
		flusher.Flush()
	}
}

// stop ends the signs of life.
func (l *livingWriter) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answering = true
	l.timer.Stop()
}
