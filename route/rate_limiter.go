package route

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// burstInterval is the time for whose calls tokens accumulate while a target with
	// a rate limit gets none.
	burstInterval = 200 * time.Millisecond
	// minProbeRate is the number of calls per second that a target with a lower limit
	// gets. Without a call, the end of its limit would never be noticed.
	minProbeRate = 0.5
	// responsesToLift is the number of responses without a limit that end it.
	responsesToLift = 2
)

// RateLimiter keeps the calls to a target within the rate limit that the target
// states in its responses and, while the target is cold, within its cold rate. The lower
// of the two applies. The zero value does not limit. It is not safe for concurrent use.
type RateLimiter struct {
	// limit is the limit that applies, stated the one that the target states.
	limit, stated hornbeamwell.RateLimit
	// cold is the limit until coldUntil. coldPerSecond is its rate for any later cold
	// state, 0 for none.
	cold          hornbeamwell.RateLimit
	coldUntil     time.Time
	coldPerSecond float64
	// starts are kept whether the target is cold or not, so that those right before it
	// becomes cold count.
	starts startLog
	// statedAt is the time at which the target last stated a limit.
	statedAt time.Time
	// withoutLimit counts the responses in a row to calls sent after statedAt that stated
	// no limit.
	withoutLimit int
	// isObserved is true once the target responded.
	isObserved bool
	// bucket holds a token for each call that may start. It is nil while the target
	// has no limit.
	bucket *rate.Limiter
}

// Limit returns the limit that applies.
func (l *RateLimiter) Limit() hornbeamwell.RateLimit { return l.limit }

// SetCold limits the calls to the rate, 0 for any, until the given time.
func (l *RateLimiter) SetCold(now time.Time, perSecond float64, until time.Time) {
	if perSecond != l.coldPerSecond {
		l.coldPerSecond = perSecond
		l.starts.resize(perSecond)
	}
	l.cold, l.coldUntil = hornbeamwell.RateLimit{}, until
	if perSecond > 0 && now.Before(until) {
		l.cold = hornbeamwell.RateLimit{IsLimited: true, PerSecond: perSecond}
	}
	l.apply(now)
}

// IsCold reports whether the cold rate applies. It does not notice the end of the cold
// state before the next call of Advance.
func (l *RateLimiter) IsCold() bool { return l.cold.IsLimited }

// Advance ends the cold state if its time has come.
func (l *RateLimiter) Advance(now time.Time) {
	if l.cold.IsLimited && !now.Before(l.coldUntil) {
		l.cold = hornbeamwell.RateLimit{}
		l.apply(now)
	}
}

// reset forgets the limit that an earlier incarnation stated. Its calls still count, as
// those that were not yet sent reach the present one.
func (l *RateLimiter) reset(now time.Time) {
	l.stated, l.statedAt, l.withoutLimit, l.isObserved = hornbeamwell.RateLimit{}, time.Time{}, 0, false
	l.apply(now)
}

// apply puts the lower of the stated limit and the cold rate into force.
func (l *RateLimiter) apply(now time.Time) {
	limit := l.stated
	if l.cold.IsLimited && (!limit.IsLimited || l.cold.PerSecond < limit.PerSecond) {
		limit = l.cold
	}
	if limit != l.limit {
		l.set(now, limit)
	}
}

// Observe records the limit that the target stated in the response to a call that
// was sent to it at the given time. It returns true if the limit changed.
func (l *RateLimiter) Observe(now, sent time.Time, stated hornbeamwell.RateLimit) bool {
	l.isObserved = true
	if stated.IsLimited {
		l.statedAt, l.withoutLimit = now, 0
	} else if !l.isLifted(sent) {
		return false
	}
	if stated == l.stated {
		return false
	}
	l.stated = stated
	l.apply(now)
	return true
}

// isLifted counts a response without a limit, to a call sent at the given time, and
// reports whether the limit has ended. Responses on different connections may be read
// out of order, so one to a call from before the last statement proves nothing. Nor
// does a single one, which may be spoilt.
func (l *RateLimiter) isLifted(sent time.Time) bool {
	if !sent.After(l.statedAt) {
		return false
	}
	l.withoutLimit++
	return l.withoutLimit >= responsesToLift
}

// Adopt records the limit that another proxy knows, unless the target has responded
// to this one. It returns true if the limit changed.
func (l *RateLimiter) Adopt(now time.Time, known hornbeamwell.RateLimit) bool {
	if l.isObserved || known == l.stated {
		return false
	}
	l.stated, l.statedAt = known, now
	l.apply(now)
	return true
}

func (l *RateLimiter) set(now time.Time, limit hornbeamwell.RateLimit) {
	l.limit = limit
	if !limit.IsLimited {
		l.bucket = nil
		return
	}
	perSecond := rate.Limit(l.perSecond())
	burst := max(int(l.perSecond()*burstInterval.Seconds()), 1)
	if l.bucket != nil {
		l.bucket.SetLimitAt(now, perSecond)
		l.bucket.SetBurstAt(now, burst)
		return
	}
	l.bucket = rate.NewLimiter(perSecond, burst)
	// The calls that run already are the first burst.
	l.bucket.AllowN(now, burst)
}

// perSecond returns the number of calls that may start per second. It is meaningful
// only with a limit, and greater than zero.
func (l *RateLimiter) perSecond() float64 { return startsPerSecond(l.limit) }

func startsPerSecond(limit hornbeamwell.RateLimit) float64 { return max(limit.PerSecond, minProbeRate) }

// concurrencyAt returns the mean number of calls of the duration that run at once
// when as many start as the limit allows. By Little's law it is the product of the two.
func concurrencyAt(limit hornbeamwell.RateLimit, duration time.Duration) float64 {
	return startsPerSecond(limit) * duration.Seconds()
}

// allows reports whether a call may start.
func (l *RateLimiter) allows(now time.Time) bool {
	if l.bucket == nil {
		return true
	}
	return l.bucket.TokensAt(now) >= 1 && (!l.cold.IsLimited || !now.Before(l.starts.nextStart(1)))
}

// take takes the token of a call that starts.
func (l *RateLimiter) take(now time.Time) {
	l.starts.add(now)
	if l.bucket != nil {
		l.bucket.ReserveN(now, 1)
	}
}

// nextStart returns the time by which so many calls more may have started. There must be
// a limit.
func (l *RateLimiter) nextStart(now time.Time, starts int) time.Time {
	at := now
	if missing := float64(starts) - l.bucket.TokensAt(now); missing > 0 {
		at = now.Add(time.Duration(missing / l.perSecond() * float64(time.Second)))
	}
	if !l.cold.IsLimited {
		return at
	}
	if allowed := l.starts.nextStart(starts); allowed.After(at) {
		at = allowed
	}
	if !l.stated.IsLimited && l.coldUntil.Before(at) {
		return l.coldUntil
	}
	return at
}
