package route

import "time"

const (
	// breakerWindow is the time over which a breaker compares the two versions.
	breakerWindow = 10 * time.Second
	// breakerFactor is the ratio of the canary's failure rate to that of the
	// stable version above which the breaker may open.
	breakerFactor = 4
	// The breaker opens after breakerHighRateFailures failures at a failure rate
	// of breakerHighRate or more, or after breakerLowRateFailures failures at
	// breakerLowRate or more. Lower failure rates are left to the control
	// instances.
	breakerHighRateFailures = 3
	breakerHighRate         = 0.2
	breakerLowRateFailures  = 5
	breakerLowRate          = 0.05
	// breakerMinStableCalls is the minimum number of calls to the stable
	// version with which breakerHighRateFailures can open the breaker.
	breakerMinStableCalls = 5
)

// Breaker is a circuit breaker on the calls to the canary of a move. It opens
// when this proxy sees the canary fail on a route, and stays open until the
// control instances decide. It is not safe for concurrent use.
type Breaker struct {
	step      uint64
	open      bool
	windowEnd time.Time
	// routes holds the counts of the current window by route.
	routes map[string]*breakerRoute
}

type breakerRoute struct {
	canary, stable breakerCount
}

type breakerCount struct {
	calls, failures int
}

func (c *breakerCount) add(failed bool) {
	c.calls++
	if failed {
		c.failures++
	}
}

// rate returns the failure rate, with one successful call added.
func (c *breakerCount) rate() float64 {
	return float64(c.failures) / float64(c.calls+1)
}

// isFailing reports whether the canary fails far more often than the stable
// version.
func (r *breakerRoute) isFailing() bool {
	rate := r.canary.rate()
	if rate <= breakerFactor*r.stable.rate() {
		return false
	}
	if r.canary.failures >= breakerLowRateFailures && rate >= breakerLowRate {
		return true
	}
	return r.canary.failures >= breakerHighRateFailures && rate >= breakerHighRate && r.stable.calls >= breakerMinStableCalls
}

// IsOpen reports whether the canary must not receive calls.
func (b *Breaker) IsOpen() bool { return b.open }

// SetStep records a step of the move. A later step closes the breaker.
func (b *Breaker) SetStep(step uint64) {
	if step <= b.step {
		return
	}
	*b = Breaker{step: step}
}

// Report records the end of a call on a route. It returns true if this call
// opened the breaker.
func (b *Breaker) Report(now time.Time, route string, isCanary, failed bool) bool {
	if b.routes == nil || now.After(b.windowEnd) {
		b.windowEnd = now.Add(breakerWindow)
		b.routes = make(map[string]*breakerRoute)
	}
	counts := b.routes[route]
	if counts == nil {
		counts = &breakerRoute{}
		b.routes[route] = counts
	}
	if !isCanary {
		counts.stable.add(failed)
		return false
	}
	counts.canary.add(failed)
	if b.open || !counts.isFailing() {
		return false
	}
	b.open = true
	return true
}
