package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// gossipDuration is the time after news of a crash for which each message to
// another proxy tells of it.
const gossipDuration = 5 * time.Second

// suspectSet is the requests that crashed targets, as this proxy knows them.
// It outlives the target beside it.
type suspectSet struct {
	mu       sync.Mutex
	suspects *route.Suspects
	// count is the number of suspects, for a look without the mutex.
	count atomic.Int32
	// gossip is the news for other proxies, nil without any.
	gossip atomic.Pointer[gossip]
	// exclusive is held by the suspect that runs here. One runs at a time, so that
	// the next crash tells which of them is at fault.
	exclusive chan struct{}
	// completed holds the requests that the target answered lately.
	completed completedSet
}

// gossip is what a proxy tells the others.
type gossip struct {
	header []string
	until  time.Time
}

func (s *suspectSet) init() {
	s.suspects = route.NewSuspects()
	s.exclusive = make(chan struct{}, 1)
}

// get returns what is held against the request and for how long.
func (s *suspectSet) get(now time.Time, fingerprint route.Fingerprint) (suspicion route.Suspicion, left time.Duration) {
	if s.count.Load() == 0 {
		return route.SuspicionNone, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Get(now, fingerprint)
}

// clear takes an answer to a suspect. It returns true if that was news.
func (s *suspectSet) clear(now time.Time, fingerprint route.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.suspects.Clear(fingerprint)
	if changed {
		s.publish(now)
	}
	return changed
}

// publish makes what is known the news. The caller holds the mutex.
func (s *suspectSet) publish(now time.Time) {
	s.gossip.Store(&gossip{header: []string{s.suspects.Encode(now)}, until: now.Add(gossipDuration)})
}

// merge takes suspects and spreads them if they are news.
func (s *suspectSet) merge(now time.Time, suspects []route.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, suspect := range suspects {
		changed = s.suspects.Add(now, suspect) || changed
	}
	if !changed {
		return
	}
	suspectsReceived.Inc()
	s.count.Store(int32(s.suspects.Len()))
	s.publish(now)
}

// writeHeader puts the news into a message to another proxy.
func (s *suspectSet) writeHeader(now time.Time, h http.Header) {
	if n := s.gossip.Load(); n != nil && now.Before(n.until) {
		h[headerSuspects] = n.header
	}
}

// readHeader takes the news from a message of another proxy.
func (s *suspectSet) readHeader(now time.Time, h http.Header) {
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
	_, _ = digest.Write(body.buffered)
	return route.Fingerprint(digest.Sum64())
}

// refuseSuspect returns the refusal of a convicted request, nil for any other.
func (p *Proxy) refuseSuspect(now time.Time, fingerprint route.Fingerprint) *refusal {
	suspicion, left := p.suspects.get(now, fingerprint)
	if suspicion != route.SuspicionConfirmed {
		return nil
	}
	suspectsRefused.Inc()
	return notRun(http.StatusServiceUnavailable, ReasonSuspect, left)
}

// waitAlone lets a suspect run alone among its like. The returned function ends
// it. An answer in the meantime clears the suspect.
func (p *Proxy) acquireExclusive(ctx context.Context, call *exitCall) (release func(), refused *refusal) {
	suspicion, _ := p.suspects.get(p.options.Now(), call.fingerprint)
	if suspicion == route.SuspicionNone {
		return func() {}, nil
	}
	if refused := p.refuseSuspect(p.options.Now(), call.fingerprint); refused != nil {
		return nil, refused
	}
	select {
	case p.suspects.exclusive <- struct{}{}:
	case <-ctx.Done():
		return nil, notRun(http.StatusServiceUnavailable, ReasonSuspectTimeout, defaultRetryAfter)
	}
	release = func() { <-p.suspects.exclusive }
	if refused := p.refuseSuspect(p.options.Now(), call.fingerprint); refused != nil {
		release()
		return nil, refused
	}
	suspicion, _ = p.suspects.get(p.options.Now(), call.fingerprint)
	call.asSuspect = suspicion != route.SuspicionNone
	if call.asSuspect {
		return release, nil
	}
	release()
	return func() {}, nil
}

// crashDetector is a watch over the target beside this proxy.
type crashDetector struct {
	mu       sync.Mutex
	detector *route.CrashDetector
}

func (c *crashDetector) begin(call *exitCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.Begin(call.fingerprint, call.asSuspect)
}

func (c *crashDetector) end(now time.Time, call *exitCall, run *exitRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.End(now, call.fingerprint, call.asSuspect, run.isLost())
}

// isLost reports whether the call lost its connection to the target.
func (e *exitRun) isLost() bool {
	return e.refused != nil && e.refused.outcome == route.OutcomeUnknown &&
		e.refused.isConnectionFault()
}

// endCall ends a call under the watch and looks for a crash.
func (p *Proxy) endCall(call *exitCall, run *exitRun) {
	now := p.options.Now()
	call.local.crashes.end(now, call, run)
	if run.refused == nil {
		p.suspects.completed.add(now, call.fingerprint)
	}
	if run.refused == nil && call.asSuspect && p.suspects.clear(now, call.fingerprint) {
		go p.broadcastSuspects(now, call.local)
	}
	if run.isLost() && refusesConnections(call.local.pool.address) {
		p.confirmCrash(now, call.local)
	}
}

// confirmCrash takes the calls in flight at a crash of the target as suspects.
func (p *Proxy) confirmCrash(now time.Time, target *localTarget) {
	target.crashes.mu.Lock()
	suspects := target.crashes.detector.RecordCrash(now)
	target.crashes.mu.Unlock()
	suspects = slices.DeleteFunc(suspects, func(s route.Suspect) bool {
		return p.suspects.completed.has(now, s.Fingerprint)
	})
	if len(suspects) == 0 {
		return
	}
	targetCrashes.Inc()
	p.suspects.merge(now, suspects)
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
			told.Go(func() { p.sendSuspects(ctx, now, target.Exit) })
		}
	}
	told.Wait()
}

// sendSuspects tells one proxy. One that does not answer hears the news with
// the calls of others.
func (p *Proxy) sendSuspects(ctx context.Context, now time.Time, address netip.AddrPort) {
	peer := p.peers.get(address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.pool.address+"/", nil)
	if err != nil {
		return
	}
	request.Header[headerGossip] = valueTrue
	p.suspects.writeHeader(now, request.Header)
	response, err := peer.roundTrip(ctx, p.options.Now, request, abandonPolicy{})
	if err != nil {
		return
	}
	p.suspects.readHeader(p.options.Now(), response.Header)
	_ = response.Body.Close()
}

// refusesConnections reports whether nothing listens at the loopback address.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), loopbackDialTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}
