package proxy

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// rateWindow is the time over which the calls to a target with a rate limit are
	// counted. In each such window it gets at most rateTolerance times its limit and
	// rateSlack calls more.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
	// rateNotice is the time after its first response with a limit from which on the
	// limit holds.
	rateNotice = 500 * time.Millisecond
)

// limitedTarget is a target that states a rate limit and records its calls.
type limitedTarget struct {
	mu sync.Mutex
	// perSecond is the stated limit, negative for none.
	perSecond float64
	work      time.Duration
	arrivals  []time.Time
}

// ServeHTTP implements http.Handler.
func (l *limitedTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	perSecond, work := l.perSecond, l.work
	l.mu.Unlock()
	time.Sleep(work)
	if perSecond >= 0 {
		w.Header().Set(headerRateLimit, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
}

func (l *limitedTarget) state(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond = perSecond
}

// arrivalsSince returns the number of calls that arrived at or after the time.
func (l *limitedTarget) arrivalsSince(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.arrivals {
		if !at.Before(since) {
			count++
		}
	}
	return count
}

// maxArrivals returns the highest number of calls within any rateWindow that begins
// at or after the time.
func (l *limitedTarget) maxArrivals(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, end := 0, 0
	for begin, first := range l.arrivals {
		for end < len(l.arrivals) && l.arrivals[end].Sub(first) < rateWindow {
			end++
		}
		if !first.Before(since) {
			most = max(most, end-begin)
		}
	}
	return most
}

// loadResult counts the calls of offerCalls by their end.
type loadResult struct {
	mu            sync.Mutex
	served, other int
}

// offerCalls sends idempotent calls to the entries in turn, at the rate and for the
// duration.
func offerCalls(t *testing.T, entries []string, perSecond int, duration time.Duration) *loadResult {
	t.Helper()
	return offerCallsAtMost(t, entries, perSecond, duration, math.MaxInt)
}

// offerCallsAtMost is offerCalls with a bound on the calls that run at the same time.
// A call that is due while that many run is sent when one of them has ended.
func offerCallsAtMost(t *testing.T, entries []string, perSecond int, duration time.Duration, concurrent int) *loadResult {
	t.Helper()
	result := &loadResult{}
	var calls sync.WaitGroup
	total := int(duration.Seconds() * float64(perSecond))
	running := make(chan struct{}, min(concurrent, total))
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range total {
		<-ticker.C
		running <- struct{}{}
		calls.Go(func() {
			defer func() { <-running }()
			got := call(t.Context(), http.MethodGet, entries[i%len(entries)]+"/profiles/1", "", "")
			result.mu.Lock()
			defer result.mu.Unlock()
			if got.status == http.StatusOK {
				result.served++
			} else {
				result.other++
			}
		})
	}
	calls.Wait()
	return result
}

// limitedMeshSlots is the number of slots of each target of limitedMesh.
const limitedMeshSlots = 2

// limitedMesh is a mesh of one target with a rate limit and two without. Each of the
// others can run 100 calls per second.
func limitedMesh(t *testing.T) (limited *limitedTarget, entries []string) {
	t.Helper()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	add := func(id string) *limitedTarget {
		target := &limitedTarget{perSecond: -1, work: 20 * time.Millisecond}
		address := serve(t, &http.Server{Handler: target, ReadHeaderTimeout: time.Second})
		entries = append(entries, m.addAt(id, "v1", "north", limitedMeshSlots, address).entry)
		return target
	}
	limited = add("limited")
	add("b")
	add("c")
	m.update()
	return limited, entries
}

// TestTargetGetsTheRateItStates guards against a target in need that states how many
// calls per second it takes, and gets more than that from all proxies together.
func TestTargetGetsTheRateItStates(t *testing.T) {
	t.Parallel()
	const perSecond = 20
	limited, entries := limitedMesh(t)
	limited.state(perSecond)
	started := time.Now()
	// The two other targets have room for this many calls at any time, however slowly
	// the machine runs them.
	result := offerCallsAtMost(t, entries, 200, 6*time.Second, 2*limitedMeshSlots)
	allowed := int(rateTolerance*perSecond*rateWindow.Seconds()) + rateSlack
	if got := limited.maxArrivals(started.Add(rateNotice)); got > allowed {
		t.Errorf("%d calls within %s at a target that takes %d a second, want at most %d", got, rateWindow, perSecond, allowed)
	}
	if got, least := limited.arrivalsSince(started), int(perSecond*6/2); got < least {
		t.Errorf("%d calls in 6 s at a target that takes %d a second, want at least %d", got, perSecond, least)
	}
	if result.other > 0 {
		t.Errorf("%d of %d calls were not served, although two targets without a limit have room", result.other, result.other+result.served)
	}
}

// TestRateLimitOutlivesRestartOfProxy guards against a burst at a target in need whose
// proxy starts again: the new process does not know the limit, but the proxies that
// send the calls do.
func TestRateLimitOutlivesRestartOfProxy(t *testing.T) {
	t.Parallel()
	const perSecond = 1
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	limited := &limitedTarget{perSecond: perSecond, work: 100 * time.Millisecond}
	address := serve(t, &http.Server{Handler: limited, ReadHeaderTimeout: time.Second})
	exit := newSwitchedExit(t)
	exit.start(m, "limited", address)
	entry := m.add("b", "v1", "north", &limitedTarget{perSecond: -1, work: 10 * time.Millisecond})
	m.update()
	offerCalls(t, []string{entry.entry}, 50, 600*time.Millisecond)
	if limited.arrivalsSince(time.Time{}) == 0 {
		t.Fatal("the target got no call, so nobody knows its limit")
	}
	m.nodes = m.nodes[1:]
	// After this time the entry proxy no longer avoids the target.
	time.Sleep(1200 * time.Millisecond)
	restarted := time.Now()
	exit.start(m, "limited", address)
	var calls sync.WaitGroup
	for range 40 {
		calls.Go(func() { call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "") })
	}
	time.Sleep(time.Second)
	if got := limited.arrivalsSince(restarted); got > 2*perSecond {
		t.Errorf("%d calls within a second at a target that takes %d", got, perSecond)
	}
	calls.Wait()
}

// TestRateLimitOfOneTargetDelaysNoCaller guards against a caller that is told to come
// back when the target with the lowest rate has room again, although another target
// that refused its call has room much sooner.
func TestRateLimitOfOneTargetDelaysNoCaller(t *testing.T) {
	soon := notRun(http.StatusServiceUnavailable, ReasonOverloaded, 100*time.Millisecond)
	late := notRun(http.StatusServiceUnavailable, ReasonRateLimited, 2*time.Second)
	if got := late.withEarlierRetry(soon); got.retryAfter != soon.retryAfter || got.reason != ReasonRateLimited {
		t.Errorf("after a target with room in %s and one in %s the caller may retry in %s", soon.retryAfter, late.retryAfter, got.retryAfter)
	}
	if got := soon.withEarlierRetry(late); got != soon {
		t.Errorf("the refusal of an overloaded target became %+v", got)
	}
	if got := late.withEarlierRetry(nil); got != late {
		t.Errorf("a first refusal became %+v", got)
	}
}

// TestRefusalDoesNotLiftRateLimit guards against a proxy that forgets the rate limit of a
// target because the target's proxy, which has started again and knows of no target yet,
// refuses a call.
func TestRefusalDoesNotLiftRateLimit(t *testing.T) {
	t.Parallel()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	limited := &limitedTarget{perSecond: 5}
	exit := newSwitchedExit(t)
	exit.start(m, "limited", serve(t, &http.Server{Handler: limited, ReadHeaderTimeout: time.Second}))
	entry := m.add("b", "v1", "north", &limitedTarget{perSecond: -1})
	m.update()
	callUntil(t, entry.entry, func() bool { return entry.proxy.upstreams["limited"].load.RateLimit().IsLimited })
	restarted := New(Options{Instance: "proxy-limited", Zone: "north"})
	exit.current.Store(restarted)
	for range 20 {
		call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
	}
	if got := entry.proxy.upstreams["limited"].load.RateLimit(); !got.IsLimited || got.PerSecond != 5 {
		t.Errorf("the known limit is %s after refusals, want 5", got)
	}
}

// TestHigherRateWakesQueuedCalls guards against a call that waits for its turn at a low
// rate although the target has stated a higher one since.
func TestHigherRateWakesQueuedCalls(t *testing.T) {
	t.Parallel()
	g := newGate(time.Now, 4)
	now := time.Now()
	g.setRateLimit(now, now, hornbeamwell.RateLimit{IsLimited: true})
	admitted := make(chan *refusal, 1)
	go func() {
		w := &route.Waiter{Route: "r", Deadline: now.Add(10 * time.Second), Decided: make(chan route.Verdict, 1)}
		admitted <- g.acquire(t.Context(), time.Now(), w)
	}()
	for calls := 0; calls == 0; calls, _ = g.load() {
		time.Sleep(time.Millisecond)
	}
	now = time.Now()
	g.setRateLimit(now, now, hornbeamwell.RateLimit{IsLimited: true, PerSecond: 50})
	select {
	case refused := <-admitted:
		if refused != nil {
			t.Errorf("the call was refused: %s", refused.reason)
		}
	case <-time.After(500 * time.Millisecond):
		t.Error("the call still waits 500 ms after the rate rose to 50 a second")
	}
}
