package delivery

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// goodbyeTimeout limits the last message of a session.
	goodbyeTimeout = 500 * time.Millisecond
	// maxResyncWait limits the wait before a resync. No heartbeat reply is read
	// during the wait.
	maxResyncWait = 2 * time.Second
	// flushInterval is the interval at which the client is checked for messages
	// to send.
	flushInterval = 250 * time.Millisecond
	// backoffResetAfter is the duration of an attempt, session included, after
	// which the backoff is reset.
	backoffResetAfter = 10 * time.Second
)

// The errors that end an attempt.
var (
	errSilent       = errors.New("no message from the source within the silence timeout")
	errClosed       = errors.New("connection closed")
	errSessionEnded = errors.New("session ended by the client: another source is required, or no session is needed")
	errNoSource     = errors.New("no address of a source is known")
	errLocalSource  = errors.New("session ended by the client: a source in its own zone is preferred")
)

// link maintains a client's session with one of the sources. The fields random,
// backoff, cursor, failedAt, current, preferLocalAt, redirect, ticket, dialFailures,
// lastSession, partial and askedAt belong to the goroutine that calls run.
type link struct {
	client  client
	timing  Timing
	sources func() []netip.AddrPort
	// dial opens the connections. It gives up after the timeout.
	dial dialFunc
	// local returns the sources in the client's zone, which are preferred.
	local  func() []netip.AddrPort
	now    func() time.Time
	random *rand.Rand
	start  time.Time
	wake   chan struct{}
	logger log.Logger
	// heartbeatMu keeps heartbeats in the order of their versions.
	heartbeatMu sync.Mutex
	// acknowledged is the version of the last heartbeat.
	acknowledged atomic.Uint64
	// lastReceived is the time of the source's last message or of the last check that
	// found more bytes of the next one, in ns since start.
	lastReceived atomic.Int64
	backoff      backoff
	// resyncBackoff limits the rate of resyncs. It has its own random generator
	// because it runs on the goroutine that reads the connection.
	resyncBackoff backoff
	// cursor selects the source to try first, modulo the number of sources.
	cursor int
	// failedAt is the time of the last failure of each source that failed lately.
	failedAt map[netip.AddrPort]time.Time
	// current is the source of the current attempt.
	current netip.AddrPort
	// preferLocalAt is the time from which local sources are preferred again after
	// one of them failed.
	preferLocalAt time.Time
	// redirect overrides the choice of the next source once.
	redirect netip.AddrPort
	// ticket is the admission ticket for the next attempt, 0 for none.
	ticket int64
	// dialFailures is the number of dials in a row that failed.
	dialFailures int
	// lastSession is what was known of the last session at its end.
	lastSession sessionEnd
	// partial is the message that the current session is receiving.
	partial partialMessage
	// askedAt is the time of the last regular heartbeat of the current session.
	askedAt time.Time
}

// dialFunc opens a connection. wire.DialTimeout is one.
type dialFunc func(ctx context.Context, timeout time.Duration, address netip.AddrPort, mux *wire.Mux) (*wire.Peer, error)

// sessionEnd is what a link knows of a session at its end.
type sessionEnd struct {
	// silent is the time since the source's last message, unhandled the number of bytes
	// received since then.
	silent    time.Duration
	unhandled uint64
	// hasBacklog is true if a message was being handled or received bytes were not read.
	hasBacklog bool
}

func newLink(c client, sources func() []netip.AddrPort, timing Timing, now func() time.Time, random *rand.Rand, logger log.Logger) *link {
	return &link{
		logger:        logger,
		failedAt:      map[netip.AddrPort]time.Time{},
		client:        c,
		timing:        timing,
		sources:       sources,
		dial:          wire.DialTimeout,
		local:         func() []netip.AddrPort { return nil },
		now:           now,
		random:        random,
		start:         now(),
		wake:          make(chan struct{}, 1),
		backoff:       backoff{random: random, limit: timing.MaxBackoff},
		resyncBackoff: backoff{random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))},
		cursor:        random.IntN(1 << 16),
	}
}

// signal makes the link send the client's pending messages and decide whether the session
// goes on.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run keeps a session open until the context ends.
func (l *link) run(ctx context.Context) error {
	for {
		wait := l.timing.HeartbeatInterval / 4
		if l.client.needsSession() {
			wait = l.attempt(ctx)
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// attempt opens one session and serves it until it ends. It returns the time to
// wait before the next attempt.
func (l *link) attempt(ctx context.Context) time.Duration {
	address, err := l.chooseSource()
	if err != nil {
		return l.backoff.next()
	}
	began := l.now()
	l.lastSession = sessionEnd{}
	wait, err := l.runSession(ctx, address)
	if err == nil {
		return wait
	}
	if errors.Is(err, errLocalSource) {
		_ = l.logger.Log("event", "source_left", "source", address, "version", l.client.version())
		return 0
	}
	connectionsFailed.Inc()
	_ = l.logger.Log("event", "source_lost", "source", address, "version", l.client.version(),
		"lasted_ms", l.now().Sub(began).Milliseconds(), "silent_ms", l.lastSession.silent.Milliseconds(),
		"unhandled_bytes", l.lastSession.unhandled, "backlog", l.lastSession.hasBacklog, "err", err)
	if l.now().Sub(began) >= backoffResetAfter {
		l.backoff.reset()
	}
	l.markFailed()
	return l.backoff.next()
}

// markFailed records a failure of the current source and advances to the next
// one.
func (l *link) markFailed() {
	now := l.now()
	l.cursor++
	// Sources that are replaced do not come back under the same address.
	maps.DeleteFunc(l.failedAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= failurePenalty })
	l.failedAt[l.current] = now
	l.ticket = 0
	if slices.Contains(l.local(), l.current) {
		l.preferLocalAt = now.Add(localPenalty + time.Duration(l.random.Int64N(int64(localPenalty/2))))
	}
}

// localPenalty is the shortest time after the failure of a local source for which no
// local source is preferred. It is longer by up to a half, so that the subscribers of a
// zone do not return to a source all at once.
const localPenalty = 10 * time.Second

// prefersLocal reports whether a session with a local source is preferred to the
// current one.
func (l *link) prefersLocal(now time.Time) bool {
	local := l.local()
	return len(local) > 0 && !now.Before(l.preferLocalAt) && !slices.Contains(local, l.current)
}

// chooseSource returns the source for the next attempt.
func (l *link) chooseSource() (netip.AddrPort, error) {
	if next := l.redirect; next.IsValid() {
		l.redirect = netip.AddrPort{}
		l.current = next
		return next, nil
	}
	sources := l.sources()
	if local := l.local(); len(local) > 0 && !l.now().Before(l.preferLocalAt) {
		sources = local
	}
	if len(sources) == 0 {
		return netip.AddrPort{}, errNoSource
	}
	l.current = l.leastRecentlyFailed(sources)
	return l.current, nil
}

const (
	// maxRetryAfter and maxLease bound the times that a source states. A subscriber that
	// asks again before its turn keeps its ticket.
	maxRetryAfter = time.Minute
	maxLease      = time.Minute
	// maxSilence bounds the time since the last contact of a proxy that another source
	// reports. Silent proxies are forgotten far earlier.
	maxSilence = 24 * time.Hour
)

// fromMillis returns the duration of a number of ms from another process, between 0 and
// the limit.
func fromMillis(millis int64, limit time.Duration) time.Duration {
	return time.Duration(min(max(millis, 0), limit.Milliseconds())) * time.Millisecond
}

// failurePenalty is the time after a failure for which a source is tried only
// after all others.
const failurePenalty = 5 * time.Second

// leastRecentlyFailed returns the first source from the cursor on that did not
// fail within failurePenalty, or else the one whose last failure is the oldest.
func (l *link) leastRecentlyFailed(sources []netip.AddrPort) netip.AddrPort {
	now := l.now()
	oldest := sources[l.cursor%len(sources)]
	for i := range sources {
		source := sources[(l.cursor+i)%len(sources)]
		at, hasFailed := l.failedAt[source]
		if !hasFailed || now.Sub(at) >= failurePenalty {
			delete(l.failedAt, source)
			return source
		}
		if at.Before(l.failedAt[oldest]) {
			oldest = source
		}
	}
	return oldest
}

const (
	// patientAfterFailures is the number of failed dials in a row after which the
	// dial timeout grows. Until then a source that does not respond costs little
	// time, which matters while a minority of the sources is unreachable.
	patientAfterFailures = 2
	// maxDialDoublings limits the growth of the dial timeout to a factor of four.
	maxDialDoublings = 2
)

// dialTimeout returns the timeout of the next dial. If several sources in a row do not
// respond, the cause is more likely a congested link or a busy processor of this
// machine, with round trips longer than the usual timeout.
func (l *link) dialTimeout() time.Duration {
	doublings := min(max(l.dialFailures-patientAfterFailures+1, 0), maxDialDoublings)
	return l.timing.DialTimeout << doublings
}

// runSession opens a session with the source and serves it until it ends. If
// the error is nil, the source opened no session, and the time to wait before
// the next attempt is returned.
func (l *link) runSession(ctx context.Context, address netip.AddrPort) (time.Duration, error) {
	// The connection outlives ctx so that the goodbye can be sent.
	connCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	peer, err := l.dial(connCtx, l.dialTimeout(), address, l.mux())
	if err != nil {
		l.dialFailures++
		return 0, err
	}
	l.dialFailures = 0
	defer func() { _ = peer.Close() }()
	response, err := l.open(ctx, peer)
	if err != nil {
		return 0, err
	}
	if response.Redirect != "" {
		l.redirect = wire.ToAddress(response.Redirect)
		return l.backoff.next(), nil
	}
	if response.RetryAfterMs > 0 {
		l.ticket = response.Ticket
		if l.ticket == 0 {
			l.cursor++
		}
		return fromMillis(response.RetryAfterMs, maxRetryAfter), nil
	}
	return 0, l.serve(ctx, connCtx, peer, response)
}

// open requests a session. Heartbeats go on while the reply arrives, since for the source the
// session has begun with its reply.
func (l *link) open(ctx context.Context, peer *wire.Peer) (wire.OpenResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	var heartbeats sync.WaitGroup
	defer heartbeats.Wait()
	defer cancel()
	heartbeats.Go(func() { l.sendHeartbeats(ctx, peer) })
	request := l.client.request()
	request.Ticket = l.ticket
	request.Session = uint64(l.now().UnixNano())
	response, err := wire.CallResponsive[wire.OpenRequest, wire.OpenResponse](ctx, peer, l.timing.SilenceTimeout, wire.MethodOpen, request)
	if err != nil {
		return response, fmt.Errorf("open session: %w", err)
	}
	return response, nil
}

// sendHeartbeats sends heartbeats until the context or the connection ends.
func (l *link) sendHeartbeats(ctx context.Context, peer *wire.Peer) {
	for sleep(ctx, l.timing.HeartbeatInterval) == nil {
		if err := l.heartbeat(ctx, peer); err != nil {
			return
		}
	}
}
