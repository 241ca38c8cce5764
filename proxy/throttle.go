package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// routeThrottle limits the attempts of a route's calls. It is safe for concurrent use.
type routeThrottle struct {
	mu       sync.Mutex
	throttle route.Throttle
}

// throttle refuses an attempt of a call where the targets refuse most attempts of its route
// for lack of room. It is active where a target stated its pace or the configuration
// has teams. The calls of a service with a canary are exempt, because refusals are evidence
// against its move, and so are calls with a key, which one target must answer.
func (p *Proxy) throttle(call *entryCall) *refusal {
	if !p.isThrottling() || call.key != "" || call.service.Canary() != "" {
		return nil
	}
	t := &call.state.throttle
	now := p.options.Now()
	t.mu.Lock()
	share := t.throttle.Share(now)
	isAdmitted, wait := t.throttle.Admits(share, p.options.Rand), t.throttle.RetryAfter()
	t.mu.Unlock()
	if isAdmitted {
		return nil
	}
	callsThrottled.Inc()
	call.throttledShare = share
	return notRun(http.StatusServiceUnavailable, ReasonThrottled, max(wait, minRetryAfter))
}

func (p *Proxy) isThrottling() bool { return p.hasTeams.Load() || p.hasPace.Load() }

// recordThrottle records whether the targets had room for an attempt.
func (p *Proxy) recordThrottle(now time.Time, call *entryCall, refused *refusal) {
	if !p.isThrottling() {
		return
	}
	t := &call.state.throttle
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case refused == nil:
		t.throttle.RecordAccepted(now)
	case refused.isForLackOfRoom():
		t.throttle.RecordRefused(now, refused.retryAfter)
	}
}

// isForLackOfRoom reports whether the target's proxy refused the call because it would
// wait too long there.
func (f *refusal) isForLackOfRoom() bool {
	switch f.reason {
	case ReasonOverloaded, ReasonDeadline, ReasonRefusedInQueue, ReasonNestedRefused:
		return f.outcome == route.OutcomeNotRun
	default:
		return false
	}
}
