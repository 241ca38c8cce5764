package delivery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// goodbyeTimeout bounds the farewell of a process that stops.
	goodbyeTimeout = 500 * time.Millisecond
	// maxResyncWait bounds the wait before a resync. No beat is read
	// meanwhile.
	maxResyncWait = 2 * time.Second
	// flushInterval is the time between two looks for evidence to send.
	flushInterval = 250 * time.Millisecond
	// healthyAfter is the life of a session that resets the backoff.
	healthyAfter = 10 * time.Second
)

// The reasons for the end of a session.
var (
	errSilent   = errors.New("the source is silent")
	errClosed   = errors.New("the connection ended")
	errDismiss  = errors.New("another source is wanted")
	errNoSource = errors.New("no source is known")
)

// link keeps a session with one of the sources for a client.
type link struct {
	client  client
	timing  Timing
	sources func() []netip.AddrPort
	now     func() time.Time
	random  *rand.Rand
	start   time.Time
	wake    chan struct{}
	logger  log.Logger
	// beatMu keeps heartbeats in the order of their versions.
	beatMu sync.Mutex
	// acknowledged is the version of the last heartbeat.
	acknowledged atomic.Uint64
	// heardAt is the time, in ns since start, of the source's last message.
	heardAt atomic.Int64
	backoff backoff
	// refusals spaces the requests for a resync. It has a generator of its own
	// for the connection's reader.
	refusals backoff
	// cursor counts the sources tried.
	cursor int
	// failedAt is the time at which each source last failed.
	failedAt map[netip.AddrPort]time.Time
	// tried is the source of the present attempt.
	tried netip.AddrPort
	// next overrides the choice of the source once.
	next   netip.AddrPort
	ticket int64
}

func newLink(c client, sources func() []netip.AddrPort, timing Timing, now func() time.Time, random *rand.Rand, logger log.Logger) *link {
	return &link{
		logger:   logger,
		failedAt: map[netip.AddrPort]time.Time{},
		client:   c,
		timing:   timing,
		sources:  sources,
		now:      now,
		random:   random,
		start:    now(),
		wake:     make(chan struct{}, 1),
		backoff:  backoff{random: random, longest: timing.LongestBackoff},
		refusals: backoff{random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))},
		cursor:   random.IntN(1 << 16),
	}
}

// signal makes the link send what the client has to say.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run keeps a session open until the context ends.
func (l *link) run(ctx context.Context) error {
	for {
		wait := l.timing.Heartbeat / 4
		if l.client.wantsSession() {
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

// attempt opens one session and serves it to its end. It returns the time to
// wait before the next one.
func (l *link) attempt(ctx context.Context) time.Duration {
	address, err := l.choose()
	if err != nil {
		return l.backoff.next()
	}
	began := l.now()
	wait, err := l.session(ctx, address)
	if err == nil {
		return wait
	}
	connectionsFailed.Inc()
	_ = l.logger.Log("event", "source_lost", "source", address, "version", l.client.version(),
		"lasted_ms", l.now().Sub(began).Milliseconds(), "err", err)
	if l.now().Sub(began) >= healthyAfter {
		l.backoff.reset()
	}
	l.leave()
	return l.backoff.next()
}

// leave turns to the next source after the present one failed.
func (l *link) leave() {
	l.cursor++
	l.failedAt[l.tried] = l.now()
	l.ticket = 0
}

// choose returns the source to try.
func (l *link) choose() (netip.AddrPort, error) {
	if next := l.next; next.IsValid() {
		l.next = netip.AddrPort{}
		l.tried = next
		return next, nil
	}
	sources := l.sources()
	if len(sources) == 0 {
		return netip.AddrPort{}, errNoSource
	}
	l.tried = l.leastFailed(sources)
	return l.tried, nil
}

// avoidFailed is the time for which a source that failed is tried after all
// others.
const avoidFailed = 5 * time.Second

// leastFailed returns the first source, in turn, that did not fail lately, and
// otherwise the one whose failure is the longest ago.
func (l *link) leastFailed(sources []netip.AddrPort) netip.AddrPort {
	now := l.now()
	oldest := sources[l.cursor%len(sources)]
	for i := range sources {
		source := sources[(l.cursor+i)%len(sources)]
		at, hasFailed := l.failedAt[source]
		if !hasFailed || now.Sub(at) >= avoidFailed {
			delete(l.failedAt, source)
			return source
		}
		if at.Before(l.failedAt[oldest]) {
			oldest = source
		}
	}
	return oldest
}

// session opens a session with the source and serves it. Without an error it
// returns the wait that the source asked for.
func (l *link) session(ctx context.Context, address netip.AddrPort) (time.Duration, error) {
	// The connection outlives the context for the farewell.
	lasting, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	peer, err := wire.DialTimeout(lasting, l.timing.Dial, address, l.mux())
	if err != nil {
		return 0, err
	}
	defer func() { _ = peer.Close() }()
	response, err := l.open(ctx, peer)
	if err != nil {
		return 0, err
	}
	if response.Redirect != "" {
		l.next = wire.ToAddress(response.Redirect)
		return l.backoff.next(), nil
	}
	if response.RetryAfterMs > 0 {
		l.ticket = response.Ticket
		if l.ticket == 0 {
			l.cursor++
		}
		return time.Duration(response.RetryAfterMs) * time.Millisecond, nil
	}
	return 0, l.serve(ctx, lasting, peer, response)
}

func (l *link) open(ctx context.Context, peer *wire.Peer) (wire.OpenResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timing.Silence)
	defer cancel()
	request := l.client.request()
	request.Ticket = l.ticket
	request.Session = uint64(l.now().UnixNano())
	response, err := wire.Call[wire.OpenRequest, wire.OpenResponse](ctx, peer, wire.MethodOpen, request)
	if err != nil {
		return response, fmt.Errorf("open session: %w", err)
	}
	return response, nil
}
