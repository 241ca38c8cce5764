package proxy

import (
	"net/http"
	"strconv"
	"strings"
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
		local.refuseWaiting()
		p.options.OnTargetLeaving(local.Incarnation)
	}
	p.recordLoadStatement(now, call, metadata)
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

// recordLoadStatement keeps the load that the target states. One that can't be read
// leaves the one before, which expires soon.
func (p *Proxy) recordLoadStatement(now time.Time, call *exitCall, metadata hornbeamwell.ResponseMetadata) {
	if metadata.HasInvalidLoad {
		targetLoadsInvalid.Inc()
		return
	}
	if !metadata.Load.IsStated {
		return
	}
	// Of two concurrent responses, one may be missing in the mean.
	before := call.local.statedLoad.Load().mean()
	next := &statedLoad{LoadStatement: metadata.Load, at: now, meanPace: before}
	if next.Pace > 0 {
		next.meanPace = route.MeanPace(before, next.Pace)
		if before == 0 {
			defer p.applyOrder(call.local)
		}
	}
	call.local.statedLoad.Store(next)
	call.local.gate.state(now, metadata.Load)
}

// countShed counts a call that the target shed.
func countShed(cause route.ShedCause) {
	switch cause {
	case route.ShedNone:
	case route.ShedByLoad:
		shedByLoad.Inc()
	case route.ShedWithFreeSlots:
		shedWithFreeSlots.Inc()
	case route.ShedBelowPeak:
		shedBelowPeak.Inc()
	case route.ShedRegardless:
		shedRegardless.Inc()
	}
}

// setStatementHeaders tells the entry proxy what the target states about itself.
func setStatementHeaders(now time.Time, h http.Header, local *localTarget) {
	setColdHeader(now, h, local)
	if limit := local.gate.rateLimit(); limit.IsLimited {
		h[headerRateLimit] = []string{limit.String()}
	}
	if local.isLeaving.Load() {
		h[headerLeaving] = []string{strconv.FormatUint(local.Incarnation, 10)}
	}
	setPaceHeader(h, local.gate.now(), local.statedLoad.Load())
}

// setPaceHeader tells the entry proxy the pace that the target states, in percent of its
// mean pace, and its age, while it is used. It is a header of its own because proxies of earlier
// versions refuse a reply envelope with another field.
func setPaceHeader(h http.Header, now time.Time, load *statedLoad) {
	if load == nil || load.Pace == 0 || now.Sub(load.at) >= route.PaceLifetime {
		return
	}
	h[headerPace] = []string{strconv.FormatFloat(100*load.Pace/load.meanPace, 'f', 1, 64) + ";" + formatDuration(now.Sub(load.at))}
}

// readPaceHeader records the pace in the reply of the target's proxy. It returns false if
// there is none.
func readPaceHeader(now time.Time, u *upstream, h http.Header) bool {
	percent, ageText, found := strings.Cut(headerValue(h, headerPace), ";")
	age, isAge := parseDuration(ageText)
	pace, err := strconv.ParseFloat(percent, 64)
	if !found || !isAge || err != nil {
		return false
	}
	u.load.ReportPace(now.Add(-age), pace/100)
	return true
}

// readStatementHeaders records what the reply of the target's proxy says that the
// target states about itself. Only a reply to a call that ran proves that the target has
// no rate limit: the proxy that refuses one may have started again since it knew.
func (p *Proxy) readStatementHeaders(now time.Time, u *upstream, target *route.Candidate, reply replyEnvelope, h http.Header) {
	limit, isLimited := hornbeamwell.ParseRateLimit(headerValue(h, headerRateLimit))
	if isLimited || reply.outcome == route.OutcomeRan {
		p.recordRateLimit(now, u, target, limit)
	}
	p.readColdHeader(now, u, target, reply, h)
	if readPaceHeader(now, u, h) {
		p.hasPace.Store(true)
	}
	incarnation, err := strconv.ParseUint(headerValue(h, headerLeaving), 10, 64)
	if err != nil || incarnation == 0 {
		return
	}
	p.departures.add(now, target.ID, incarnation)
	if u.health.ReportLeaving(incarnation) {
		p.logCall(now, false, "event", "target_leaving_learned", "target", target.ID, "name", target.Name, "incarnation", incarnation)
	}
}

func (p *Proxy) recordRateLimit(now time.Time, u *upstream, target *route.Candidate, limit hornbeamwell.RateLimit) {
	if before := u.load.ReportRateLimit(now, limit); before != limit {
		p.logCall(now, false, "event", "rate_limit_learned", "target", target.ID, "name", target.Name,
			"incarnation", target.Incarnation, "per_second", limit, "before", before)
	}
}

// setKnownRateLimit tells the target's proxy the rate limit that this one knows. A
// proxy that has started again has yet to get a response from its target.
func setKnownRateLimit(h http.Header, u *upstream, target *route.Candidate) {
	delete(h, headerRateLimit)
	if limit := u.load.RateLimit(); limit.IsLimited {
		h[headerRateLimit] = []string{strconv.FormatUint(target.Incarnation, 10) + ";" + limit.String()}
	}
}

// adoptRateLimit adopts the rate limit that the entry proxy of the call knows, if it is
// that of the target's present incarnation.
func (p *Proxy) adoptRateLimit(now time.Time, local *localTarget, h http.Header) {
	incarnation, text, found := strings.Cut(headerValue(h, headerRateLimit), ";")
	if !found || incarnation != strconv.FormatUint(local.Incarnation, 10) {
		return
	}
	known, valid := hornbeamwell.ParseRateLimit(text)
	if valid && local.gate.adoptRateLimit(now, known) {
		p.logCall(now, false, "event", "rate_limit_adopted", "target", local.Name, "incarnation", local.Incarnation, "per_second", known)
	}
}

// incarnationState is what this proxy knows of one incarnation of its target beyond
// the announcements.
type incarnationState struct {
	// isLeaving is true once the target stated that it is about to stop.
	isLeaving atomic.Bool
	// statedLoad is the load that the target stated last, nil before the first.
	statedLoad atomic.Pointer[statedLoad]
}

// statedLoad is a load with the time at which this proxy received it.
type statedLoad struct {
	hornbeamwell.LoadStatement
	at time.Time
	// meanPace is the mean of the stated paces, 0 before the first.
	meanPace float64
}

func (s *statedLoad) mean() float64 {
	if s == nil {
		return 0
	}
	return s.meanPace
}
