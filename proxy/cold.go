package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// coldTarget is the part of a gate that decides whether the target is cold. It is guarded
// by the gate's mutex.
type coldTarget struct {
	state      route.ColdState
	healthPath string
	// isLimited is true if the admission has a cold rate.
	isLimited bool
	// isAsking is true while a health request is in flight.
	isAsking bool
	// healthAt is the time of the scheduled check for a health request, zero if none is
	// scheduled.
	healthAt time.Time
	// logged is the state of the last log line.
	logged loggedCold
}

// loggedCold is what decides whether a change is logged.
type loggedCold struct {
	isCold    bool
	perSecond float64
	source    route.ColdSource
}

// changeCold changes the cold state and applies it to the admission. It returns the state
// and whether it is to be logged.
func (g *gate) changeCold(now time.Time, change func(*coldTarget)) (state route.ColdState, isLogged bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.cold)
	perSecond, until := g.cold.state.Limit()
	if perSecond > 0 || g.cold.isLimited {
		g.admission.SetCold(now, perSecond, until)
		g.scheduleTick(now)
	}
	g.cold.isLimited = perSecond > 0
	next := loggedCold{isCold: perSecond > 0 && now.Before(until), perSecond: perSecond, source: g.cold.state.Source()}
	isLogged = next != g.cold.logged && (next.isCold || g.cold.logged.isCold)
	g.cold.logged = next
	return g.cold.state, isLogged
}

// changeCold changes the cold state of the target beside this proxy. The fields are the
// inputs of the decision.
func (p *Proxy) changeCold(now time.Time, local *localTarget, change func(*coldTarget), fields ...any) {
	state, isLogged := local.gate.changeCold(now, change)
	if !isLogged {
		return
	}
	perSecond, until := state.Limit()
	targetColdChanges(state.Source()).Inc()
	p.logCall(now, false, append([]any{
		"event", "cold_state_changed", "target", local.Name, "incarnation", local.Incarnation, "source", state.Source(),
		"per_second", perSecond, "left_ms", max(until.Sub(now), 0).Milliseconds(),
	}, fields...)...)
}

// configureCold applies the configuration to the cold state of the target beside this
// proxy. It does nothing before the configuration of the service has arrived. The caller
// holds updateMu.
func (p *Proxy) configureCold(now time.Time, local *localTarget, table *table) {
	if local == nil {
		return
	}
	service := table.services[local.Service]
	if service == nil {
		return
	}
	isEvacuated := p.isZoneEvacuated
	p.changeCold(now, local, func(c *coldTarget) {
		c.healthPath = service.HealthPath
		c.state.Configure(service.ColdStart, service.ColdRate)
		c.state.SetEvacuated(now, isEvacuated)
	}, "config", table.Version, "evacuated", isEvacuated)
}

// hasEvacuation reports whether the zone is evacuated.
func hasEvacuation(configuration *hornbeamwell.Configuration, zone string) bool {
	for _, e := range configuration.Evacuations {
		if e.Zone == zone {
			return true
		}
	}
	return false
}

// SetColdRemaining records the remaining cold time that an announcement of the target
// beside this proxy gives.
func (p *Proxy) SetColdRemaining(incarnation uint64, remaining time.Duration) {
	local := p.local.Load()
	if local == nil || local.Incarnation != incarnation {
		return
	}
	now := p.options.Now()
	p.changeCold(now, local, func(c *coldTarget) { c.state.Heartbeat(now, remaining) }, "stated_ms", remaining.Milliseconds())
}

// setServiceColdHeader tells the target's proxy the cold rate of its service. A proxy that
// has started again may not have received a configuration.
func setServiceColdHeader(h http.Header, service *serviceState) {
	delete(h, headerServiceCold)
	if service.ColdRate > 0 {
		h[headerServiceCold] = []string{formatRate(service.ColdRate) + ";" + formatDuration(service.ColdStart)}
	}
}

// adoptServiceCold adopts the cold rate of the service that the entry proxy of the call
// knows, unless this proxy has the configuration of the service itself.
func (p *Proxy) adoptServiceCold(now time.Time, local *localTarget, h http.Header) {
	value := headerValue(h, headerServiceCold)
	if value == "" || p.table.Load().services[local.Service] != nil {
		return
	}
	rateText, startText, _ := strings.Cut(value, ";")
	known, isRate := hornbeamwell.ParseRateLimit(rateText)
	coldStart, isDuration := parseDuration(startText)
	if isRate && isDuration {
		p.changeCold(now, local, func(c *coldTarget) { c.state.Configure(coldStart, known.PerSecond) }, "adopted", true)
	}
}

// setColdHeader tells the entry proxy the rate of a cold target and how long it still
// holds.
func setColdHeader(now time.Time, h http.Header, local *localTarget) {
	if perSecond, remaining := local.gate.coldRate(now); perSecond > 0 {
		h[headerCold] = []string{strconv.FormatUint(local.Incarnation, 10) + ";" + formatRate(perSecond) + ";" + formatDuration(remaining)}
	}
}

// readColdHeader records what the reply of the target's proxy says of the cold state. Only
// a reply to a call that ran proves that the target is not cold.
func (p *Proxy) readColdHeader(now time.Time, u *upstream, target *route.Candidate, reply replyEnvelope, h http.Header) {
	incarnation, perSecond, remaining, isCold := parseCold(headerValue(h, headerCold))
	if !isCold {
		if reply.outcome != route.OutcomeRan {
			return
		}
		incarnation, perSecond = target.Incarnation, 0
	}
	if u.load.ReportCold(now, incarnation, perSecond, remaining) {
		p.logCall(now, false, "event", "cold_state_learned", "target", target.ID, "name", target.Name,
			"incarnation", incarnation, "per_second", perSecond, "left_ms", remaining.Milliseconds())
	}
}

// recordColdOutcome records whether the cold target had room for a call.
func recordColdOutcome(now time.Time, u *upstream, refused *refusal) {
	if !u.load.IsCold(now) {
		return
	}
	switch {
	case refused == nil:
		u.load.AcceptCold()
	case refused.reason == ReasonRateLimited:
		u.load.RefuseCold(now, refused.retryAfter)
	}
}

// parseCold parses the value of headerCold.
func parseCold(text string) (incarnation uint64, perSecond float64, remaining time.Duration, valid bool) {
	parts := strings.Split(text, ";")
	if len(parts) != 3 {
		return 0, 0, 0, false
	}
	incarnation, err := strconv.ParseUint(parts[0], 10, 64)
	limit, isRate := hornbeamwell.ParseRateLimit(parts[1])
	remaining, isDuration := parseDuration(parts[2])
	return incarnation, limit.PerSecond, remaining, err == nil && isRate && isDuration
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', -1, 64) }

// setAlternativeHeader tells the proxy of a cold target that another target has room, so
// that it does not queue the call for long.
func (p *Proxy) setAlternativeHeader(now time.Time, h http.Header, call *entryCall, target *route.Candidate) {
	delete(h, headerAlternative)
	if !target.Load.IsCold(now) || call.key != "" || call.attempts >= maxAttempts {
		return
	}
	group := call.service.group(target.Version)
	if group != nil && group.HasRoomBeside(now, call.tried[:call.attempts]) {
		h[headerAlternative] = valueTrue
	}
}

// assumeCold assumes that a target that this proxy has not seen before is cold.
func (u *upstream) assumeCold(target hornbeamwell.Target, service *route.Service) {
	isNew := u.incarnation < target.Incarnation
	u.incarnation = max(u.incarnation, target.Incarnation)
	switch {
	case service == nil || service.ColdRate == 0:
		u.load.ClearCold()
	case isNew && service.ColdStart > 0:
		u.load.AssumeCold(target.Incarnation, service.ColdRate)
	}
}

// coldRate returns the rate of calls that the target accepts because it is cold, and the
// time for which it still holds. The rate is 0 if the target is not cold.
func (g *gate) coldRate(now time.Time) (perSecond float64, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.ColdRate(now)
}
