package proxy

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// abandonPolicy decides when to abandon a call that may be sent elsewhere. The
// zero value never abandons it.
type abandonPolicy struct {
	// after is the time after which shouldAbandon is called once.
	after         time.Duration
	shouldAbandon func() bool
	// runsOnce is true for a call that is not idempotent.
	runsOnce bool
	// keepsSilent reports whether the connection is kept although it is silent. It may be
	// nil.
	keepsSilent func() bool
	// onClose is called before the watchdog closes the connection. It may be nil.
	onClose func(watchdogDecision)
}

// closeCause says why a watchdog closes a connection.
type closeCause string

const (
	// closeSilent means that nothing was received for silenceTimeout.
	closeSilent closeCause = "silent"
	// closeAbandoned means that the call is abandoned because its target has stalled.
	closeAbandoned closeCause = "target_stalled"
)

// watchdogDecision is the decision to close a connection and its inputs.
type watchdogDecision struct {
	cause closeCause
	// elapsed is the time since the call was sent, idle the time without received bytes.
	elapsed, idle time.Duration
	// hasUnread is true if received bytes have not been read.
	hasUnread bool
}

// watchdog closes the connection of a call when nothing is received on it or the
// policy abandons the call. An exit proxy sends interim responses while a call
// has no response, so silence means that the connection is lost.
type watchdog struct {
	connection *pooledConnection
	policy     abandonPolicy
	timer      *time.Timer
	// interval is the time from the last check to the next one, elapsed the
	// total time up to the last check, idle the part of it since the last check
	// that found received bytes.
	interval, elapsed, idle time.Duration
	// reads is the connection's read count at the last check.
	reads  uint64
	silent atomic.Bool
}

func startWatchdog(connection *pooledConnection, policy abandonPolicy) *watchdog {
	w := &watchdog{connection: connection, policy: policy, reads: connection.raw.reads.Load()}
	w.interval = w.nextInterval()
	// The timer starts with Reset, since its function uses it.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(w.interval)
	return w
}

// check closes the connection if nothing was received for too long or the call
// is to be abandoned.
func (w *watchdog) check() {
	w.elapsed += w.interval
	w.idle += w.interval
	if reads := w.connection.raw.reads.Load(); reads != w.reads {
		w.reads = reads
		w.idle = 0
	}
	isSilent := w.idle >= silenceTimeout
	if isSilent && w.policy.keepsSilent != nil && w.policy.keepsSilent() {
		w.idle, isSilent = 0, false
	}
	if isSilent || w.shouldAbandon() {
		w.silent.Store(isSilent)
		w.reportClose(isSilent)
		w.connection.discard()
		return
	}
	w.interval = w.nextInterval()
	w.timer.Reset(w.interval)
}

func (w *watchdog) reportClose(isSilent bool) {
	d := watchdogDecision{cause: closeAbandoned, elapsed: w.elapsed, idle: w.idle, hasUnread: w.connection.raw.hasUnread()}
	if isSilent {
		d.cause = closeSilent
	}
	connectionsClosed[d.cause].Inc()
	if w.policy.onClose != nil {
		w.policy.onClose(d)
	}
}

func (w *watchdog) nextInterval() time.Duration {
	remaining := silenceTimeout - w.idle
	if w.policy.after > w.elapsed {
		remaining = min(remaining, w.policy.after-w.elapsed)
	}
	return remaining
}

// shouldAbandon consults the policy once, at the first check after its time.
func (w *watchdog) shouldAbandon() bool {
	if w.policy.after == 0 || w.elapsed < w.policy.after {
		return false
	}
	w.policy.after = 0
	return w.policy.shouldAbandon()
}

func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) isSilent() bool { return w.silent.Load() }

// interimWriter sends interim responses until the response begins.
type interimWriter struct {
	http.ResponseWriter
	mu sync.Mutex
	// responding is true once the headers of the response are in use.
	responding bool
	timer      *time.Timer
	// isStarted reports whether the call was handed to the target. It is nil for a
	// request without an attempt.
	isStarted func() bool
}

func newInterimWriter(w http.ResponseWriter) *interimWriter {
	i := &interimWriter{ResponseWriter: w}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.timer = time.AfterFunc(interimInterval, i.send)
	return i
}

func (i *interimWriter) send() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.responding {
		return
	}
	if i.isStarted != nil && i.isStarted() {
		h := i.ResponseWriter.Header()
		h[headerStarted] = valueTrue
		defer delete(h, headerStarted)
	}
	i.WriteHeader(http.StatusProcessing)
	i.timer.Reset(interimInterval)
}

// setStarted sets the function that reports whether the call was handed to the target.
func (i *interimWriter) setStarted(isStarted func() bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isStarted = isStarted
}

// requestBody asks the other proxy for a body that it holds back. Otherwise net/http
// would do so at the first read of the body, on another goroutine and without regard
// to the interim response that this one may be writing.
func (i *interimWriter) requestBody() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.responding {
		i.WriteHeader(http.StatusContinue)
	}
}

// requestHeldBody asks for the body of a request whose sender holds it back until the
// call has a slot.
func requestHeldBody(w http.ResponseWriter, r *http.Request) {
	interim, isInterim := w.(*interimWriter)
	if isInterim && headerValue(r.Header, "Expect") != "" && r.ContentLength != 0 {
		interim.requestBody()
	}
}

// Header stops the interim responses and returns the headers of the response.
func (i *interimWriter) Header() http.Header {
	i.stop()
	return i.ResponseWriter.Header()
}

// Flush implements http.Flusher.
func (i *interimWriter) Flush() {
	if flusher, can := i.ResponseWriter.(http.Flusher); can {
		flusher.Flush()
	}
}

func (i *interimWriter) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.responding = true
	i.timer.Stop()
}
