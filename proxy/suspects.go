package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// spreadTime is the time after news of a crash for which each message to
// another proxy tells of it.
const spreadTime = 5 * time.Second

// suspectSet is the requests that crashed targets, as this proxy knows them.
// It outlives the target beside it.
type suspectSet struct {
	mu       sync.Mutex
	suspects *route.Suspects
	// count is the number of suspects, for a look without the mutex.
	count atomic.Int32
	// spread is the news for other proxies, nil without any.
	spread atomic.Pointer[news]
	// lane holds the suspects that run here. One runs at a time, so that the
	// next crash tells which of them is at fault.
	lane atomic.Int32
}

// news is what a proxy tells the others.
type news struct {
	header []string
	until  time.Time
}

func (s *suspectSet) init() { s.suspects = route.NewSuspects() }

// crashes returns the number of crashes of the request.
func (s *suspectSet) crashes(now time.Time, fingerprint route.Fingerprint) (count int, left time.Duration) {
	if s.count.Load() == 0 {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Crashes(now, fingerprint)
}

// add takes requests that were in flight at a crash.
func (s *suspectSet) add(now time.Time, crash route.CrashID, fingerprints []route.Fingerprint) {
	suspects := make([]route.Suspect, 0, len(fingerprints))
	for _, f := range fingerprints {
		suspects = append(suspects, route.Suspect{
			Fingerprint: f, Crashes: []route.CrashID{crash}, Until: now.Add(route.SuspectLifetime),
		})
	}
	s.merge(now, suspects)
}

// merge takes suspects and spreads them if they are news.
func (s *suspectSet) merge(now time.Time, suspects []route.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNews := false
	for _, suspect := range suspects {
		for _, crash := range suspect.Crashes {
			isNews = s.suspects.Add(now, suspect.Fingerprint, crash, suspect.Until) || isNews
		}
	}
	if !isNews {
		return
	}
	suspectsLearned.Inc()
	s.count.Store(int32(s.suspects.Len()))
	s.spread.Store(&news{header: []string{s.suspects.Encode(now)}, until: now.Add(spreadTime)})
}

// tell puts the news into a message to another proxy.
func (s *suspectSet) tell(now time.Time, h http.Header) {
	if n := s.spread.Load(); n != nil && now.Before(n.until) {
		h[headerSuspects] = n.header
	}
}

// hear takes the news from a message of another proxy.
func (s *suspectSet) hear(now time.Time, h http.Header) {
	if values := h[headerSuspects]; len(values) == 1 {
		s.merge(now, route.DecodeSuspects(now, values[0]))
	}
}

// suspectFingerprint returns the digest of the method, the path, the length
// and a small body.
func suspectFingerprint(r *http.Request, body *requestBody) route.Fingerprint {
	digest := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = io.WriteString(digest, r.Method)
	_, _ = io.WriteString(digest, r.URL.Path)
	_, _ = io.WriteString(digest, r.URL.RawQuery)
	_, _ = digest.Write(strconv.AppendInt(nil, body.length, 10))
	_, _ = digest.Write(body.small)
	return route.Fingerprint(digest.Sum64())
}

// refuseSuspect returns the refusal of a request that crashed two targets, nil
// for any other.
func (p *Proxy) refuseSuspect(now time.Time, fingerprint route.Fingerprint) *refusal {
	crashes, left := p.suspects.crashes(now, fingerprint)
	if !route.IsRefused(crashes) {
		return nil
	}
	suspectsRefused.Inc()
	return notRun(http.StatusServiceUnavailable, ReasonSuspect, left)
}

// enterLane lets a request with one crash run alone among its like. The
// returned function ends it.
func (p *Proxy) enterLane(now time.Time, fingerprint route.Fingerprint) (leave func(), refused *refusal) {
	if refused := p.refuseSuspect(now, fingerprint); refused != nil {
		return nil, refused
	}
	if crashes, _ := p.suspects.crashes(now, fingerprint); crashes == 0 {
		return func() {}, nil
	}
	if !p.suspects.lane.CompareAndSwap(0, 1) {
		return nil, notRun(http.StatusServiceUnavailable, ReasonOverloaded, defaultRetryAfter)
	}
	return func() { p.suspects.lane.Store(0) }, nil
}

// crashWatch is a watch over the target beside this proxy.
type crashWatch struct {
	mu    sync.Mutex
	watch *route.CrashWatch
}

func (c *crashWatch) begin(fingerprint route.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Begin(fingerprint)
}

func (c *crashWatch) end(now time.Time, fingerprint route.Fingerprint, run *exitRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.End(now, fingerprint, run.isLost())
	if run.refused == nil {
		c.watch.Answered()
	}
}

// isLost reports whether the call lost its connection to the target.
func (e *exitRun) isLost() bool {
	return e.refused != nil && e.refused.outcome == route.OutcomeUnknown &&
		e.refused.isConnectionFault()
}

// endCall ends a call under the watch and looks for a crash.
func (p *Proxy) endCall(call *exitCall, run *exitRun) {
	now := p.options.Now()
	target := call.local
	target.watch.end(now, call.fingerprint, run)
	if run.isLost() && isRefusing(target.pool.address) {
		p.confirmCrash(now, target)
	}
}

// confirmCrash takes the calls in flight at a crash of the target as suspects.
func (p *Proxy) confirmCrash(now time.Time, target *localTarget) {
	id := route.CrashID(xxhash.Sum64String(target.ID + "/" + p.nextCall()))
	target.watch.mu.Lock()
	fingerprints, crash := target.watch.watch.Confirm(now, id)
	target.watch.mu.Unlock()
	if len(fingerprints) == 0 {
		return
	}
	crashesSeen.Inc()
	p.suspects.add(now, crash, fingerprints)
	p.broadcastSuspects(now, target)
}

// broadcastTimeout bounds the wait until the other proxies know of a crash.
// The calls that were lost by it are answered after it, so that no resend
// comes before the news.
const broadcastTimeout = 200 * time.Millisecond

// broadcastSuspects tells the proxies beside the service's other targets.
func (p *Proxy) broadcastSuspects(now time.Time, local *localTarget) {
	p.keys.mu.Lock()
	targets := p.keys.targets
	p.keys.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, target := range targets {
		if target.Service == local.Service && target.ID != local.ID {
			told.Go(func() { p.tellSuspects(ctx, now, target.Exit) })
		}
	}
	told.Wait()
}

// tellSuspects tells one proxy. One that does not answer hears the news with
// the calls of others.
func (p *Proxy) tellSuspects(ctx context.Context, now time.Time, address netip.AddrPort) {
	peer := p.peers.get(address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.pool.address+"/", nil)
	if err != nil {
		return
	}
	request.Header[headerGossip] = valueTrue
	p.suspects.tell(now, request.Header)
	response, err := peer.roundTrip(ctx, p.options.Now, request, patience{})
	if err != nil {
		return
	}
	p.suspects.hear(p.options.Now(), response.Header)
	_ = response.Body.Close()
}

// isRefusing reports whether nothing listens at the loopback address.
func isRefusing(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), loopbackDialTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}
