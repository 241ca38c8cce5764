package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// recordStatement records what the target states about itself in its response to a
// call that was sent at the given time.
func (p *Proxy) recordStatement(call *exitCall, sent time.Time, metadata hornbeamwell.ResponseMetadata) {
	now := p.options.Now()
	local := call.local
	if metadata.IsLeaving && local.isLeaving.CompareAndSwap(false, true) {
		targetsLeaving.Inc()
		p.logCall(now, false, "event", "target_states_leaving", "call", call.callID, "target", local.Name,
			"incarnation", local.Incarnation, "state", local.State)
	}
	if metadata.HasInvalidRateLimit {
		rateLimitsInvalid.Inc()
		p.logCall(now, false, "event", "rate_limit_invalid", "call", call.callID, "target", local.Name)
		return
	}
	if before, changed := local.gate.setRateLimit(now, sent, metadata.RateLimit); changed {
		rateLimitChanges.Inc()
		p.logCall(now, false, "event", "rate_limit_changed", "call", call.callID, "target", local.Name,
			"incarnation", local.Incarnation, "per_second", metadata.RateLimit, "before", before)
	}
}

// setStatementHeaders tells the entry proxy what the target states about itself.
func setStatementHeaders(h http.Header, local *localTarget) {
	if limit := local.gate.rateLimit(); limit.IsLimited {
		h[headerRateLimit] = []string{limit.String()}
	}
}

// readStatementHeaders records what the reply of the target's proxy says that the
// target states about itself.
func (p *Proxy) readStatementHeaders(now time.Time, u *upstream, target *route.Candidate, h http.Header) {
	limit, _ := hornbeamwell.ParseRateLimit(headerValue(h, headerRateLimit))
	if before := u.load.ReportRateLimit(now, limit); before != limit {
		p.logCall(now, false, "event", "rate_limit_learned", "target", target.ID, "name", target.Name,
			"incarnation", target.Incarnation, "per_second", limit, "before", before)
	}
}

// incarnationState is what this proxy knows of one incarnation of its target beyond
// the announcements.
type incarnationState struct {
	// isLeaving is true once the target stated that it is about to stop.
	isLeaving atomic.Bool
}
