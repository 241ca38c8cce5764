package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// ReportLifetime is the time for which a reported load is used.
const ReportLifetime = time.Second

// Load is the load of one target as seen by one proxy. It is safe for
// concurrent use.
type Load struct {
	outstanding atomic.Int32
	// reported is the number of calls that run or wait at the target, without
	// those of this proxy.
	reported atomic.Int32
	// reportedAt is the time of the last report in Unix nanoseconds.
	reportedAt atomic.Int64
	// duration is the mean duration of a call at the target in nanoseconds, 0
	// if it is not known.
	duration atomic.Int64
	// pace holds the bits of the last reported relative pace, paceAt its time in Unix
	// nanoseconds, 0 if none was reported.
	pace   atomic.Uint64
	paceAt atomic.Int64
	// rateLimit is the last report of the target's rate limit, nil if it has none.
	rateLimit atomic.Pointer[reportedRateLimit]
	// cold is what is known of the cold state, nil if the target is not cold.
	cold atomic.Pointer[reportedCold]
	// coldRefusals is the number of times in a row that the target was avoided because it
	// refused a call as cold, less the calls that it took since. coldHeldUntil is the time in Unix
	// nanoseconds until which the target is avoided because of them.
	coldRefusals  atomic.Int32
	coldHeldUntil atomic.Int64
}

// reportedCold is a cold state of an incarnation of a target.
type reportedCold struct {
	incarnation uint64
	perSecond   float64
	// until is the end of the cold state, zero for one that was assumed. An assumed state
	// holds until the target's proxy says otherwise.
	until time.Time
}

const (
	// maxColdHold bounds the time for which a cold target is avoided after refusals.
	maxColdHold = time.Second
	// maxColdRefusals bounds the refusals that count, each of which doubles the time, so
	// that the time does not overflow.
	maxColdRefusals = 10
	// coldHoldFactor multiplies the load of a target that is avoided, so that any target
	// with room is preferred, but calls still reach it where all are in need.
	coldHoldFactor = 8
)

// AssumeCold records that an incarnation that has just been discovered is assumed to be
// cold until its proxy says otherwise.
func (l *Load) AssumeCold(incarnation uint64, perSecond float64) {
	if before := l.cold.Load(); before != nil && before.incarnation >= incarnation {
		return
	}
	l.cold.Store(&reportedCold{incarnation: incarnation, perSecond: perSecond})
	l.coldRefusals.Store(0)
	l.coldHeldUntil.Store(0)
}

// ReportCold records the rate that the target's proxy stated for the incarnation and the
// time for which it still holds. A rate of 0 means that the target is not cold. A report
// of an earlier incarnation is ignored. It returns true if the target became cold or is
// no longer cold.
func (l *Load) ReportCold(now time.Time, incarnation uint64, perSecond float64, remaining time.Duration) bool {
	before := l.cold.Load()
	if before != nil && incarnation < before.incarnation {
		return false
	}
	wasCold := l.IsCold(now)
	switch {
	case perSecond > 0 && remaining > 0:
		l.cold.Store(&reportedCold{incarnation: incarnation, perSecond: perSecond, until: now.Add(remaining)})
	case before != nil:
		l.ClearCold()
	}
	return wasCold != l.IsCold(now)
}

// ClearCold records that the target is not cold, or that its service has no cold rate.
func (l *Load) ClearCold() {
	l.cold.Store(nil)
	l.coldRefusals.Store(0)
	l.coldHeldUntil.Store(0)
}

// IsCold reports whether the target is cold as far as this proxy knows.
func (l *Load) IsCold(now time.Time) bool { return l.coldRate(now).IsLimited }

func (l *Load) coldRate(now time.Time) hornbeamwell.RateLimit {
	cold := l.cold.Load()
	if cold == nil || !cold.until.IsZero() && !now.Before(cold.until) {
		return hornbeamwell.RateLimit{}
	}
	return hornbeamwell.RateLimit{IsLimited: true, PerSecond: cold.perSecond}
}

// RefuseCold records that the target's proxy refused a call because the target is cold,
// and the time after which it expects room. All proxies share that room, so the target is
// avoided for longer after each refusal in a row. Refusals of calls that were sent before
// the target was avoided count as one.
func (l *Load) RefuseCold(now time.Time, retryAfter time.Duration) {
	if l.isHeldBack(now) {
		return
	}
	refusals := l.coldRefusals.Load()
	hold := min(max(retryAfter, 0), maxColdHold) << refusals
	if hold < maxColdHold && refusals < maxColdRefusals {
		l.coldRefusals.CompareAndSwap(refusals, refusals+1)
	}
	l.coldHeldUntil.Store(now.Add(min(hold, maxColdHold)).UnixNano())
}

// AcceptCold records that a cold target took a call.
func (l *Load) AcceptCold() {
	if refusals := l.coldRefusals.Load(); refusals > 0 {
		l.coldRefusals.CompareAndSwap(refusals, refusals-1)
	}
}

// isHeldBack reports whether the target is avoided because it is cold and has no room.
func (l *Load) isHeldBack(now time.Time) bool {
	return l.IsCold(now) && now.UnixNano() < l.coldHeldUntil.Load()
}

type reportedRateLimit struct {
	limit hornbeamwell.RateLimit
	at    time.Time
}

// rateLimitLifetime is the time for which a reported rate limit is used. After it the
// target gets a call again, whose response tells whether the limit has ended.
const rateLimitLifetime = time.Second

// ReportRateLimit records the rate limit that the target's proxy sent with a
// response. It returns the limit of the last report.
func (l *Load) ReportRateLimit(now time.Time, limit hornbeamwell.RateLimit) (before hornbeamwell.RateLimit) {
	before = l.RateLimit()
	switch {
	case limit.IsLimited:
		l.rateLimit.Store(&reportedRateLimit{limit: limit, at: now})
	case before.IsLimited:
		l.rateLimit.Store(nil)
	}
	return before
}

// RateLimit returns the rate limit of the last report.
func (l *Load) RateLimit() hornbeamwell.RateLimit {
	if last := l.rateLimit.Load(); last != nil {
		return last.limit
	}
	return hornbeamwell.RateLimit{}
}

// capacity returns the mean number of calls that the target can run concurrently: its
// slots, or what its rate limit or its cold rate leaves of them, but at least one.
func (l *Load) capacity(now time.Time, slots float64) float64 {
	if cold := l.coldRate(now); cold.IsLimited {
		slots = min(slots, max(concurrencyAt(cold, l.Duration()), 1))
	}
	reported := l.rateLimit.Load()
	duration := l.Duration()
	if reported == nil || duration <= 0 || now.Sub(reported.at) >= rateLimitLifetime {
		return slots
	}
	// With less than one, an idle target would seem to be full and never get the calls
	// for which the others have no room.
	return min(slots, max(concurrencyAt(reported.limit, duration), 1))
}

// PaceLifetime is the time for which a stated pace is used. Targets change it many
// times a second.
const PaceLifetime = 300 * time.Millisecond

// The bounds of a relative pace. One run in thirty takes seven times as long and says
// little about the next: with bounds of 0.25 and 4, they made calls 0.7% slower in
// the model of TestPaceSteersCalls.
const (
	minPace = 0.6
	maxPace = 1.6
)

// MeanPace returns the mean pace with one more statement. It has the same weights as the
// mean duration of the calls, so that the pace divided by it says how far the duration
// of a call now differs from that mean. The mean before is 0 if there was none.
func MeanPace(before, stated float64) float64 {
	if before == 0 {
		return stated
	}
	return before + durationWeight*(stated-before)
}

// ReportPace records the pace that the target stated at the given time, relative to the
// mean pace. One that is not greater than zero is ignored.
func (l *Load) ReportPace(at time.Time, pace float64) {
	if math.IsNaN(pace) || pace <= 0 || at.UnixNano() < l.paceAt.Load() {
		return
	}
	l.pace.Store(math.Float64bits(min(max(pace, minPace), maxPace)))
	l.paceAt.Store(at.UnixNano())
}

// Pace returns the duration of a call at present relative to the mean duration, 1 if the
// target stated none within PaceLifetime.
func (l *Load) Pace(now time.Time) float64 {
	if now.UnixNano()-l.paceAt.Load() >= int64(PaceLifetime) {
		return 1
	}
	return math.Float64frombits(l.pace.Load())
}

// ReportDuration records the mean call duration that the target's proxy sent
// with a response.
func (l *Load) ReportDuration(mean time.Duration) { l.duration.Store(int64(mean)) }

// Duration returns the mean duration of a call at the target, 0 if it is not
// known.
func (l *Load) Duration() time.Duration { return time.Duration(l.duration.Load()) }

// Begin records a call that this proxy sends.
func (l *Load) Begin() { l.outstanding.Add(1) }

// End records the end of a call that this proxy sent.
func (l *Load) End() { l.outstanding.Add(-1) }

// Outstanding returns the number of calls of this proxy in flight.
func (l *Load) Outstanding() int { return int(l.outstanding.Load()) }

// Report records the load that the target's proxy sent with a response: the
// calls that run or wait there, including those of this proxy.
func (l *Load) Report(now time.Time, total int) {
	others := max(total-l.Outstanding(), 0)
	l.reported.Store(int32(min(others, 1<<20)))
	l.reportedAt.Store(now.UnixNano())
}

// Current returns the estimated number of calls that run or wait at the target.
// The weight of a report decreases with its age.
func (l *Load) Current(now time.Time) float64 {
	own := float64(l.outstanding.Load())
	reported := l.reported.Load()
	if reported == 0 {
		return own
	}
	age := time.Duration(now.UnixNano() - l.reportedAt.Load())
	if age >= ReportLifetime {
		return own
	}
	weight := 1 - float64(max(age, 0))/float64(ReportLifetime)
	return own + float64(reported)*weight
}
