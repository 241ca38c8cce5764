package route

import (
	"math"
	"time"
)

const (
	// throttleWindow is the time constant of the counts of a Throttle.
	throttleWindow = time.Second
	// throttleRatio is the number of attempts for each accepted one up to which none is
	// throttled. At 2 a service that accepts half of the attempts gets all of them.
	throttleRatio = 2
	// throttlePrior is the number of attempts that is added to those seen, so that a few
	// refusals in a row throttle nothing.
	throttlePrior = 5
	// maxThrottled bounds the probability with which an attempt is throttled, so that the end
	// of a shortage is noticed.
	maxThrottled = 0.9
	// throttleWaitWeight is the weight of one refusal in the mean time to come back.
	throttleWaitWeight = 0.1
)

// Throttle limits the attempts of one proxy at targets that refuse most of them for lack
// of room. Attempts that are refused cost the links and the processors of both proxies
// nearly as much as calls that run. The zero value throttles nothing. It is not safe for
// concurrent use.
type Throttle struct {
	// attempts and accepted are counts, decayed to the time asOf. accepted is at most
	// attempts.
	attempts, accepted float64
	asOf               time.Time
	// wait is the mean time to come back of the refusals.
	wait time.Duration
}

func (t *Throttle) decay(now time.Time) {
	weight := math.Exp(-float64(max(now.Sub(t.asOf), 0)) / float64(throttleWindow))
	t.attempts *= weight
	t.accepted *= weight
	t.asOf = now
}

// RecordAccepted records an attempt that a target's proxy accepted.
func (t *Throttle) RecordAccepted(now time.Time) {
	t.decay(now)
	t.attempts++
	t.accepted++
}

// RecordRefused records an attempt that a target's proxy refused for lack of room, with
// the time to come back that it stated.
func (t *Throttle) RecordRefused(now time.Time, retryAfter time.Duration) {
	t.decay(now)
	t.attempts++
	t.wait += time.Duration(throttleWaitWeight * float64(retryAfter-t.wait))
}

// Share returns the probability with which an attempt is throttled now.
func (t *Throttle) Share(now time.Time) float64 {
	t.decay(now)
	excess := t.attempts - throttleRatio*t.accepted - throttlePrior
	return min(max(excess/(t.attempts+1), 0), maxThrottled)
}

// Admits decides on an attempt that is throttled with the probability share.
func (t *Throttle) Admits(share float64, random Random) bool {
	const resolution = 1 << 20
	return float64(random.IntN(resolution)) >= resolution*share
}

// RetryAfter returns the mean time to come back that the refusals stated.
func (t *Throttle) RetryAfter() time.Duration { return t.wait }
