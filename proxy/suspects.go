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

// gossipDuration is the time after a change of the suspects during which attach
// adds them to messages to other proxies.
const gossipDuration = 5 * time.Second

// suspectSet holds the requests suspected to crash targets. It is kept when the
// local target changes.
type suspectSet struct {
	mu       sync.Mutex
	suspects *route.Suspects
	// count is the number of recorded requests after the last change by merge. If
	// it is 0, there is no suspect. It is read without the mutex.
	count atomic.Int32
	// gossip is attached to messages to other proxies. It is nil before the
	// first suspect.
	gossip atomic.Pointer[gossip]
	// exclusive is held by the suspect that runs here. Only one runs at a time,
	// so that the next crash shows which of them is the cause.
	exclusive chan struct{}
	// completed holds the requests to which the target recently responded.
	completed completedSet
}

// gossip is an encoded list of suspects for other proxies.
type gossip struct {
	header []string
	until  time.Time
}

func (s *suspectSet) init() {
	s.suspects = route.NewSuspects()
	s.exclusive = make(chan struct{}, 1)
}

// get returns the suspicion of the request and the time until it expires.
func (s *suspectSet) get(now time.Time, fingerprint route.Fingerprint) (suspicion route.Suspicion, remaining time.Duration) {
	if s.count.Load() == 0 {
		return route.SuspicionNone, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Get(now, fingerprint)
}

// clearSuspicion clears a suspect to which the target responded. It returns true
// if the suspects changed.
func (s *suspectSet) clearSuspicion(now time.Time, fingerprint route.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.suspects.Clear(fingerprint)
	if changed {
		s.publish(now)
	}
	return changed
}

// publish replaces the gossip by the current suspects. The caller holds the
// mutex.
func (s *suspectSet) publish(now time.Time) {
	s.gossip.Store(&gossip{header: []string{s.suspects.Encode(now)}, until: now.Add(gossipDuration)})
}

// merge adds suspects and publishes them if this is a change.
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
	suspectMerges.Inc()
	s.count.Store(int32(s.suspects.Len()))
	s.publish(now)
}

// attach adds the gossip to the headers of a message to another proxy.
func (s *suspectSet) attach(now time.Time, h http.Header) {
	if current := s.gossip.Load(); current != nil && now.Before(current.until) {
		h[headerSuspects] = current.header
	}
}

// receive merges the gossip from the headers of another proxy's message.
func (s *suspectSet) receive(now time.Time, h http.Header) {
	if values := h[headerSuspects]; len(values) == 1 {
		s.merge(now, route.DecodeSuspects(now, values[0]))
	}
}

// suspectFingerprint returns a digest of the method, the path, the query, the
// length and a small body.
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

// refuseSuspect returns the refusal of a request that is confirmed to crash
// targets, nil for any other.
func (p *Proxy) refuseSuspect(now time.Time, fingerprint route.Fingerprint) *refusal {
	suspicion, remaining := p.suspects.get(now, fingerprint)
	if suspicion != route.SuspicionConfirmed {
		return nil
	}
	suspectsRefused.Inc()
	return notRun(http.StatusServiceUnavailable, ReasonSuspect, remaining)
}

// acquireExclusive waits until a suspect may run as the only one of this proxy.
// The returned function ends its run. A response to the same request in the
// meantime clears the suspicion.
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

// crashDetector guards the route.CrashDetector of the local target with a mutex.
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

// isLost reports whether the connection to the target was lost during the call.
func (e *exitRun) isLost() bool {
	return e.refused != nil && e.refused.outcome == route.OutcomeUnknown &&
		e.refused.isConnectionFault()
}

// endCall records the end of a call and checks for a crash of the target.
func (p *Proxy) endCall(call *exitCall, run *exitRun) {
	now := p.options.Now()
	call.local.crashDetector.end(now, call, run)
	if run.refused == nil {
		p.suspects.completed.add(now, call.fingerprint)
	}
	if run.refused == nil && call.asSuspect && p.suspects.clearSuspicion(now, call.fingerprint) {
		go p.broadcastSuspects(now, call.local)
	}
	if run.isLost() && refusesConnections(call.local.pool.address) {
		p.confirmCrash(now, call.local)
	}
}

// confirmCrash marks the requests that were in flight at a crash of the target
// as suspects, except those to which the target recently responded, and sends
// them to the other proxies.
func (p *Proxy) confirmCrash(now time.Time, target *localTarget) {
	target.crashDetector.mu.Lock()
	suspects := target.crashDetector.detector.RecordCrash(now)
	target.crashDetector.mu.Unlock()
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

// broadcastTimeout bounds the wait until the other proxies have received the
// suspects of a crash. The call whose end confirms the crash is answered only
// after this wait, so that its resend does not arrive before the suspects. Other
// calls that were lost in the same crash may be answered earlier.
const broadcastTimeout = 200 * time.Millisecond

// broadcastSuspects sends the suspects to the proxies of the service's other
// targets.
func (p *Proxy) broadcastSuspects(now time.Time, local *localTarget) {
	p.keys.mu.Lock()
	targets := p.keys.targets
	p.keys.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, target := range targets {
		if target.Service == local.Service && target.ID != local.ID {
			sent.Go(func() { p.sendSuspects(ctx, now, target.Exit) })
		}
	}
	sent.Wait()
}

// sendSuspects sends the suspects to one proxy. If it does not respond, it
// receives them with the next calls.
func (p *Proxy) sendSuspects(ctx context.Context, now time.Time, address netip.AddrPort) {
	peer := p.peers.get(address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.pool.address+"/", nil)
	if err != nil {
		return
	}
	request.Header[headerGossip] = valueTrue
	p.suspects.attach(now, request.Header)
	response, err := peer.exchange(ctx, p.options.Now, request)
	if err != nil {
		return
	}
	p.suspects.receive(p.options.Now(), response.Header)
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
