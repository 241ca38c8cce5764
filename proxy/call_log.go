package proxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// maxSuccessLines bounds the lines per second about successful calls,
	// maxOtherLines those about all others. A line costs about 10 µs of CPU
	// time, so both together cost at most 0.5% of one CPU.
	maxSuccessLines = 100
	maxOtherLines   = 400
)

var callLinesSkipped = metrics.NewCounter("hornbeamwell_call_log_lines_left_out_total")

// callLogLimits limits the rate of log lines about calls.
type callLogLimits struct {
	success, other *rate.Limiter
}

func newCallLogLimits() callLogLimits {
	return callLogLimits{
		success: rate.NewLimiter(maxSuccessLines, maxSuccessLines),
		other:   rate.NewLimiter(maxOtherLines, maxOtherLines),
	}
}

// logCall writes a line about a call unless the rate limit is exceeded.
func (p *Proxy) logCall(now time.Time, succeeded bool, fields ...any) {
	limiter := p.callLog.other
	if succeeded {
		limiter = p.callLog.success
	}
	if !limiter.AllowN(now, 1) {
		callLinesSkipped.Inc()
		return
	}
	for i, field := range fields {
		// Ids, hosts and paths are as long as a head may be.
		if text, isText := field.(string); isText && len(text) > maxTextBytes {
			fields[i] = cutText(text)
		}
	}
	_ = p.options.Logger.Log(fields...)
}

// logUnsent logs a call that was refused before it was sent. The call is nil
// if it was not matched to a route.
func (p *Proxy) logUnsent(now time.Time, r *http.Request, call *entryCall, refused *refusal) {
	if call != nil {
		p.logRefused(now, call, refused)
		return
	}
	p.logCall(now, false, "event", "call_refused", "call", p.options.HeaderCodec.ReadCall(r.Header).ID,
		"host", r.Host, "path", r.URL.Path, "config", p.table.Load().Version,
		"status", refused.status, "outcome", refused.outcome, "reason", refused.reason)
}

// logRefused logs a call that ended with a refusal.
func (p *Proxy) logRefused(now time.Time, call *entryCall, refused *refusal) {
	service := ""
	if call.service != nil {
		service = call.service.Name
	}
	p.logCall(now, false, append([]any{
		"event", "call_refused", "call", call.id, "route", call.rule.Name, "service", service,
		"config", call.version, "targets", call.targets(), "sends", call.sends,
		"left_ms", call.deadline.Sub(now).Milliseconds(), "ms", now.Sub(call.arrived).Milliseconds(),
		"status", refused.status, "outcome", refused.outcome, "reason", refused.reason, "retry_after_ms", refused.retryAfter.Milliseconds(),
	}, append(append(call.throttleFields(), call.teamFields(refused)...), refused.errFields()...)...)...)
}

// errFields returns the field about a missing response, none if the cause is not known.
func (f *refusal) errFields() []any {
	if f.err == nil {
		return nil
	}
	return []any{"err", errText(f.err)}
}

// maxTextBytes bounds a text in a line that callers or targets sent, or an error, which may
// quote it.
const maxTextBytes = 200

func errText(err error) string { return cutText(err.Error()) }

// cutText returns at most maxTextBytes of a text that a caller or a target sent.
func cutText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "")
}

// throttleFields returns the field about a throttled attempt, none without one.
func (c *entryCall) throttleFields() []any {
	if c.throttledShare == 0 {
		return nil
	}
	return []any{"throttled_share", c.throttledShare}
}

// teamFields returns the fields about the team of a call, none where calls need no key.
// The refusal is nil for a call that was answered. The fields hold no key.
func (c *entryCall) teamFields(refused *refusal) []any {
	switch {
	case c.team != nil:
		return []any{"team", c.team.Name}
	case refused != nil && refused.reason == ReasonUnauthorized && c.hasUnknownKey:
		return []any{"key", "unknown"}
	case refused != nil && refused.reason == ReasonUnauthorized:
		return []any{"key", "missing"}
	default:
		return nil
	}
}

// logResponse logs a call that ended with a target's response. copyErr is the
// error of copying its body to the caller: a failed write, a call that ended
// while its response waited for the link, or a truncated body.
func (p *Proxy) logResponse(now time.Time, call *entryCall, response *targetResponse, written int64, cause cutCause, copyErr error) {
	event := "call_answered"
	if copyErr != nil || response.StatusCode >= http.StatusInternalServerError {
		event = "call_failed"
	}
	fields := []any{
		"event", event, "call", call.id, "route", call.rule.Name, "service", call.service.Name,
		"config", call.version, "targets", call.targets(), "sends", call.sends,
		"ms", now.Sub(call.arrived).Milliseconds(), "status", response.StatusCode,
		"bytes", written, "link_wait_ms", response.linkWait.Milliseconds(),
	}
	fields = append(fields, call.teamFields(nil)...)
	if copyErr != nil {
		fields = append(fields, "cause", cause, "err", errText(copyErr))
	}
	p.logCall(now, event == "call_answered", fields...)
}

// targets returns the ids of the targets of the attempts, in order.
func (c *entryCall) targets() string {
	ids := ""
	for i := range c.attempts {
		if i > 0 {
			ids += ","
		}
		ids += c.tried[i].ID
	}
	return ids
}

// logExit logs a call at the local target: how long it waited for a slot, how
// long it ran and how it ended. The run is nil if the call got no slot.
func (p *Proxy) logExit(call *exitCall, waited, ran time.Duration, run *exitRun, refused *refusal) {
	load, mean := call.local.gate.load()
	fields := []any{
		"event", "call_ran", "call", call.callID, "route", call.route, "target", call.local.Name,
		"waited_ms", waited.Milliseconds(), "ran_ms", ran.Milliseconds(), "load", load, "slots", call.local.Slots,
		"mean_ms", mean.Milliseconds(),
	}
	if call.transit > 0 {
		fields = append(fields, "transit_ms", call.transit.Milliseconds())
	}
	if limit := call.local.gate.rateLimit(); limit.IsLimited {
		fields = append(fields, "per_second", limit)
	}
	if stated := call.local.statedLoad.Load(); stated != nil {
		fields = append(fields, "stated_running", stated.Running, "stated_waiting", stated.Waiting, "stated_slots", stated.Slots,
			"pace", stated.Pace, "mean_pace", stated.meanPace, "stated_age_ms", p.options.Now().Sub(stated.at).Milliseconds())
	}
	if call.inVainShare > 0 {
		fields = append(fields, "in_vain_share", call.inVainShare)
	}
	if call.local.statedLoad.Load() != nil || call.shedCause != route.ShedNone {
		fields = append(fields, "limit", call.local.gate.limit())
	}
	if call.shedCause != route.ShedNone {
		fields = append(fields, "shed_cause", call.shedCause)
	}
	if run != nil && refused == nil {
		fields = append(fields, "status", run.status(), "bytes", run.bytes, "link_wait_ms", run.response.linkWait.Milliseconds())
		if run.cutErr != nil {
			fields[1] = "call_cut"
			fields = append(fields, "cause", run.cutCause, "err", errText(run.cutErr))
		}
	}
	if refused != nil {
		fields[1] = "call_not_run"
		if refused.reachedTarget() {
			fields[1] = "call_lost"
		}
		fields = append(fields, "outcome", refused.outcome, "reason", refused.reason)
		fields = append(fields, refused.errFields()...)
	}
	p.logCall(p.options.Now(), refused == nil && (run == nil || run.cutErr == nil), fields...)
}

// logLost logs an attempt that ended without a whole response although it was not cancelled.
func (p *Proxy) logLost(a *sentAttempt, refused *refusal) {
	if refused == nil || refused.err == nil || refused.reason == ReasonCallerGone {
		return
	}
	now := p.options.Now()
	p.logCall(now, false, "event", "attempt_lost", "call", a.callID, "attempt", a.id, "target", a.candidate.ID,
		"outcome", refused.outcome, "reason", refused.reason, "ms", now.Sub(a.started).Milliseconds(), "err", errText(refused.err))
}

// logClose returns a function that logs that the watchdog of the attempt closes its
// connection.
func (p *Proxy) logClose(call *entryCall, a *sentAttempt) func(watchdogDecision) {
	id := call.id
	return func(d watchdogDecision) {
		p.logCall(p.options.Now(), false, "event", "connection_given_up", "call", id, "attempt", a.id, "target", a.candidate.ID,
			"cause", d.cause, "elapsed_ms", d.elapsed.Milliseconds(), "idle_ms", d.idle.Milliseconds(),
			"limit_ms", d.limit.Milliseconds(), "started", a.notice.isStarted.Load())
	}
}

// logKeep returns a function that logs that the watchdog of the attempt keeps its connection
// although it is silent.
func (p *Proxy) logKeep(call *entryCall, a *sentAttempt) func(watchdogDecision) {
	id := call.id
	return func(d watchdogDecision) {
		p.logCall(p.options.Now(), false, "event", "silent_connection_kept", "call", id, "attempt", a.id, "target", a.candidate.ID,
			"elapsed_ms", d.elapsed.Milliseconds(), "idle_ms", d.idle.Milliseconds(), "limit_ms", d.limit.Milliseconds(),
			"last_target", a.policy.isLastTarget, "started", a.notice.isStarted.Load())
	}
}
