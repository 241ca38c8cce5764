package route

import (
	"math/bits"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// hedgeQuantile is the quantile of a route's durations after which a call is hedged.
	hedgeQuantile = 0.95
	// minHedgeDelay is the minimum delay. Below it, the time that a hedge saves is close
	// to that of the exchange between two zones.
	minHedgeDelay = 20 * time.Millisecond
	// minHedgeSamples is the number of durations below which no call is hedged. With
	// fewer, the quantile would be one of the two longest.
	minHedgeSamples = 40
	// hedgeHalf is the time after which the older half of the durations is dropped. The
	// delay follows from the older half alone, so that it does not change while all
	// calls become slow: with both halves, it rose within a second and allowed hedges.
	hedgeHalf = 10 * time.Second
	// maxKeptHalves bounds the slowness that does not count as usual, to five minutes.
	maxKeptHalves = 30
	// hedgeOutcomes is the number of recent calls whose slowness is known.
	hedgeOutcomes = 16
	// maxHedgeTokens bounds the hedges of a service that are sent at once.
	maxHedgeTokens = 10
	// hedgePause is the time after a refusal for lack of room in which a service has no
	// hedges.
	hedgePause = time.Second
)

// HedgeDenial is the reason why a call is not hedged, empty if it is.
type HedgeDenial string

// The reasons why a call is not hedged.
const (
	HedgeOff           HedgeDenial = "off"
	HedgeNotIdempotent HedgeDenial = "not_idempotent"
	HedgeMoving        HedgeDenial = "moving"
	HedgeAttempts      HedgeDenial = "attempts"
	HedgeTimeLeft      HedgeDenial = "time_left"
	HedgeShortOfRoom   HedgeDenial = "short_of_room"
	HedgeSlow          HedgeDenial = "slow"
	HedgeNoTarget      HedgeDenial = "no_target"
	HedgeLimit         HedgeDenial = "limit"
	HedgeRetryBudget   HedgeDenial = "retry_budget"
)

// HedgeDenials returns all reasons why a call is not hedged.
func HedgeDenials() []HedgeDenial {
	return []HedgeDenial{
		HedgeOff, HedgeNotIdempotent, HedgeMoving, HedgeAttempts, HedgeTimeLeft,
		HedgeShortOfRoom, HedgeSlow, HedgeNoTarget, HedgeLimit, HedgeRetryBudget,
	}
}

// NewHedgeLimit returns the limit of the hedges of a service, to which each call adds
// the share of a token. It starts empty, so that hedges are at most this share of the
// calls.
func NewHedgeLimit(share float64) *Budget { return &Budget{ratio: share, reserve: maxHedgeTokens} }

// HedgeQuery describes a call that has had no response for the delay of its route.
type HedgeQuery struct {
	Rule *Rule
	// Sends counts the sends of the call, including the present one.
	Sends int
	// IsMoving is true if the service has a move, whose evidence must include slow calls.
	IsMoving bool
	// HasTarget is true if another target may receive the copy.
	HasTarget bool
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
	// Estimate is the estimate when the call was sent.
	Estimate HedgeEstimate
	// IsSlow is true if most recent calls of the route are slow too.
	IsSlow bool
	// SinceRefusal is the time since a target of the service last refused a call for
	// lack of room.
	SinceRefusal time.Duration
	// Limit and Budget are the hedge limit and the retry budget of the service.
	Limit, Budget *Budget
}

// TakeHedge decides whether a copy of a call is sent to a second target. If it is, it
// withdraws a token from the limit and one from the budget.
func TakeHedge(q HedgeQuery) HedgeDenial {
	switch {
	case q.Limit == nil || q.Estimate.Delay == 0:
		return HedgeOff
	case !q.Rule.Idempotent:
		return HedgeNotIdempotent
	case q.IsMoving:
		return HedgeMoving
	case q.Sends >= q.Rule.MaxAttempts:
		return HedgeAttempts
	case q.Remaining < max(q.Estimate.Median, minAttemptTime):
		return HedgeTimeLeft
	case q.SinceRefusal < hedgePause:
		return HedgeShortOfRoom
	case q.IsSlow:
		return HedgeSlow
	case !q.HasTarget:
		return HedgeNoTarget
	case !q.Limit.HasRetry():
		return HedgeLimit
	case !q.Budget.withdrawSpare():
		return HedgeRetryBudget
	case !q.Limit.Withdraw():
		// Another call took the token meanwhile. The budget keeps one retry less.
		return HedgeLimit
	default:
		return ""
	}
}

// withdrawSpare takes a token if more than half of the reserve is left, so that retries
// after failures find the other half.
func (b *Budget) withdrawSpare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.tokens <= b.reserve/2 {
		return false
	}
	b.tokens--
	return true
}

// HedgeEstimate is what a route's durations say about a call.
type HedgeEstimate struct {
	// Delay is the time without a response after which a call may be hedged, 0 if too
	// few durations are known.
	Delay time.Duration
	// Median is the median of the durations.
	Median time.Duration
	// Samples is the number of durations.
	Samples uint64
	// number is that of the call.
	number uint64
}

// HedgeHistory holds the durations of a route's calls from the first send to the first
// response. It is safe for concurrent use.
type HedgeHistory struct {
	mu sync.Mutex
	// recent and previous are the halves of the durations. The recent one began at
	// rotatedAt.
	recent, previous hornbeamwell.LatencyHistogram
	rotatedAt        time.Time
	// kept is the number of times in a row that the older half was kept.
	kept int
	// outcomes has a bit for each of the last hedgeOutcomes calls, set if the call was
	// slower than its delay.
	outcomes uint16
	// begun counts the calls. lastFast is the highest number of a call that had a
	// response within its delay.
	begun, lastFast uint64
}

// Begin records the start of a call and returns the estimate for it.
func (h *HedgeHistory) Begin(now time.Time) HedgeEstimate {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	h.begun++
	e := HedgeEstimate{Samples: h.previous.Count(), number: h.begun}
	if e.Samples >= minHedgeSamples {
		e.Delay = max(h.previous.Quantile(hedgeQuantile), minHedgeDelay)
		e.Median = h.previous.Quantile(0.5)
	}
	return e
}

// Exceed records that a call had no response within its delay.
func (h *HedgeHistory) Exceed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = h.outcomes<<1 | 1
}

// IsSlow reports whether the other calls may be as slow as this one: most of the last
// ones exceeded their delay, or none that began later has had a response within it.
// The second holds from the first call on where all become slow at once.
func (h *HedgeHistory) IsSlow(e HedgeEstimate) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isMostlySlow() || h.lastFast <= e.number
}

// isMostlySlow reports whether most of the last calls exceeded their delay. The caller
// holds the mutex.
func (h *HedgeHistory) isMostlySlow() bool { return bits.OnesCount16(h.outcomes) > hedgeOutcomes/2 }

// End records the end of a call. The duration is the time from the first send to the
// first response, also where a copy gave it: it is then a lower bound of that of
// the first one. Without these the quantile would fall with each hedge. A duration of
// 0 means that there was no response, or only a failure.
func (h *HedgeHistory) End(now time.Time, e HedgeEstimate, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if duration <= 0 {
		return
	}
	h.rotate(now)
	h.recent.Add(duration)
	if e.Delay == 0 || duration < e.Delay {
		h.lastFast = max(h.lastFast, e.number)
		h.outcomes <<= 1
	}
}

// rotate drops the older half if its time is over. While most calls are slow, it drops the
// recent one instead, so that slow durations do not count as usual. The caller holds the mutex.
func (h *HedgeHistory) rotate(now time.Time) {
	age := now.Sub(h.rotatedAt)
	if age < hedgeHalf {
		return
	}
	switch {
	case age >= 2*hedgeHalf:
		h.previous, h.kept = hornbeamwell.LatencyHistogram{}, 0
	case h.isMostlySlow() && h.kept < maxKeptHalves:
		h.kept++
	default:
		h.previous, h.kept = h.recent, 0
	}
	h.recent, h.rotatedAt = hornbeamwell.LatencyHistogram{}, now
}
