package proxy

import (
	"io"
	"math"
	"net/http"
	"sync"
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
	// isLastTarget is true if no other target may get the call.
	isLastTarget bool
	// keepsSilent reports whether the connection is kept although it is silent. It may be
	// nil.
	keepsSilent func() bool
	// silenceLimit returns the time after which a silent connection counts as lost. With nil
	// it is silenceTimeout.
	silenceLimit func() time.Duration
	// notice is told of interim responses. It may be nil.
	notice *startNotice
	// onClose is called after the watchdog has closed the connection. It may be nil.
	onClose func(watchdogDecision)
	// onKeep is called once if the watchdog keeps a connection that was silent for
	// silenceTimeout. It may be nil.
	onKeep func(watchdogDecision)
}

// silenceRecheck is the time between two checks of a connection that is kept although it was
// silent for silenceTimeout.
const silenceRecheck = 50 * time.Millisecond

// closeCause says why a watchdog closes a connection.
type closeCause string

const (
	// closeSilent means that nothing was received for the silence limit.
	closeSilent closeCause = "silent"
	// closeAbandoned means that the call is abandoned because its target has stalled.
	closeAbandoned closeCause = "target_stalled"
)

// watchdogDecision is the decision to close a connection and its inputs.
type watchdogDecision struct {
	cause closeCause
	// elapsed is the time since the call was sent, idle the time without received bytes.
	elapsed, idle time.Duration
	// limit is the idle time after which a connection counts as lost.
	limit time.Duration
}

// watchdog closes the connection of a call when nothing is received on it or the
// policy abandons the call. An exit proxy sends interim responses while a call
// has no response, so silence means that the connection is lost. Either the watchdog
// closes the connection or the call ends, whichever is first.
type watchdog struct {
	connection *pooledConnection
	policy     abandonPolicy
	timer      *time.Timer
	// interval is the time from the last check to the next one, elapsed the
	// total time up to the last check, idle the part of it since the last check
	// that found received bytes.
	interval, elapsed, idle time.Duration
	// reads is the connection's read count at the last check.
	reads uint64
	// limit is the silence limit at the last check. hasKept is true once the connection was
	// kept although it was silent.
	limit   time.Duration
	hasKept bool

	mu sync.Mutex
	// isStopped is true once the call has ended. The connection is not closed from then on.
	isStopped bool
	// closed is the cause for which the connection was closed, empty if it was not.
	closed closeCause
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
	if w.hasStopped() {
		return
	}
	w.elapsed += w.interval
	w.idle += w.interval
	if w.hasReceived() {
		w.idle = 0
	}
	idle := w.idle
	if cause := w.decide(); cause != "" && w.close(cause) {
		return
	}
	if idle >= silenceTimeout && !w.hasKept {
		w.hasKept = true
		connectionsKept.Inc()
		if w.policy.onKeep != nil {
			w.policy.onKeep(watchdogDecision{elapsed: w.elapsed, idle: idle, limit: w.limit})
		}
	}
	w.schedule()
}

// schedule schedules the next check unless the call has ended.
func (w *watchdog) schedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return
	}
	w.interval = w.nextInterval()
	w.timer.Reset(w.interval)
}

// hasReceived reports whether bytes were received since the last check. A process without
// processor time has not read all that was received.
func (w *watchdog) hasReceived() bool {
	reads := w.connection.raw.reads.Load()
	hasRead := reads != w.reads
	w.reads = reads
	return hasRead || w.connection.raw.hasUnread()
}

// decide returns the cause for which the connection is to be closed, empty if it is kept.
func (w *watchdog) decide() closeCause {
	w.limit = w.silenceLimit()
	switch {
	case w.idle >= w.limit && !w.keepsSilent():
		return closeSilent
	case w.shouldAbandon():
		return closeAbandoned
	default:
		return ""
	}
}

func (w *watchdog) silenceLimit() time.Duration {
	if w.idle < silenceTimeout || w.policy.silenceLimit == nil {
		return silenceTimeout
	}
	return w.policy.silenceLimit()
}

// keepsSilent reports whether the connection is kept for another silenceTimeout.
func (w *watchdog) keepsSilent() bool {
	if w.policy.keepsSilent == nil || !w.policy.keepsSilent() {
		return false
	}
	w.idle = 0
	return true
}

// close closes the connection. It returns false if the call goes on, since bytes have
// arrived while a silent connection was decided on.
func (w *watchdog) close(cause closeCause) bool {
	isClosed, isOver := w.tryClose(cause)
	if isClosed {
		connectionsClosed[cause].Inc()
	}
	if isClosed && w.policy.onClose != nil {
		w.policy.onClose(watchdogDecision{cause: cause, elapsed: w.elapsed, idle: w.idle, limit: w.limit})
	}
	return isOver
}

// tryClose does nothing that takes time between the look at the connection and its end.
func (w *watchdog) tryClose(cause closeCause) (isClosed, isOver bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.isStopped:
		return false, true
	case cause == closeSilent && w.hasReceived():
		w.idle = 0
		return false, false
	}
	w.closed = cause
	w.connection.discard()
	return true, true
}

func (w *watchdog) nextInterval() time.Duration {
	remaining := silenceTimeout - w.idle
	if remaining <= 0 {
		// The limit may fall as soon as another peer is heard.
		remaining = silenceRecheck
	}
	if w.policy.after > w.elapsed {
		remaining = min(remaining, w.policy.after-w.elapsed)
	}
	return remaining
}

// shouldAbandon consults the policy once, at the first check after its time at which all
// that was received has been read.
func (w *watchdog) shouldAbandon() bool {
	if w.policy.after == 0 || w.elapsed < w.policy.after || w.connection.raw.hasUnread() {
		return false
	}
	w.policy.after = 0
	return w.policy.shouldAbandon()
}

func (w *watchdog) hasStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isStopped
}

// stop ends the watch at the end of the call. It returns the cause for which the connection
// was closed before, empty if it was not and never will be.
func (w *watchdog) stop() closeCause {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	return w.closed
}

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
	// arrived is the time at which the request was read.
	arrived time.Time
	now     func() time.Time
}

func newInterimWriter(w http.ResponseWriter, now func() time.Time) *interimWriter {
	i := &interimWriter{ResponseWriter: w, arrived: now(), now: now}
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
	i.ResponseWriter.Header()[headerHeld] = []string{formatDuration(i.now().Sub(i.arrived))}
	if i.isStarted != nil && i.isStarted() {
		h := i.ResponseWriter.Header()
		h[headerStarted] = valueTrue
		defer delete(h, headerStarted)
	}
	i.ResponseWriter.WriteHeader(http.StatusProcessing)
	i.timer.Reset(interimInterval)
}

// setStarted sets the function that reports whether the call was handed to the target.
func (i *interimWriter) setStarted(isStarted func() bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isStarted = isStarted
}

// requestBody asks the other proxy for a body that it holds back. Otherwise net/http
// would do so at the first read of the body, without regard to the interim response that
// another goroutine may be writing.
func (i *interimWriter) requestBody() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.responding {
		i.ResponseWriter.WriteHeader(http.StatusContinue)
	}
}

// heldBody is the body of a request whose sender holds it back until its first read. A body
// that the target does not ask for stays with the caller: the end of a request whose body is
// on its way resets the connections that it is sent on, together with the response.
type heldBody struct {
	io.ReadCloser
	interim   *interimWriter
	requested sync.Once
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	b.requested.Do(b.interim.requestBody)
	return b.ReadCloser.Read(p)
}

// WriteHeader implements http.ResponseWriter. It states how long the call was held.
func (i *interimWriter) WriteHeader(status int) {
	i.Header()[headerHeld] = []string{formatDuration(i.now().Sub(i.arrived))}
	i.ResponseWriter.WriteHeader(status)
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
