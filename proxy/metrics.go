package proxy

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell/route"
)

var (
	staleVersionsRefused     = metrics.NewCounter(`hornbeamwell_old_versions_refused_total`)
	invalidVersionsRefused   = metrics.NewCounter(`hornbeamwell_invalid_versions_refused_total`)
	callsWithoutRoute        = metrics.NewCounter(`hornbeamwell_calls_without_route_total`)
	callsAmbiguous           = metrics.NewCounter(`hornbeamwell_calls_bad_shape_total`)
	responsesForeign         = metrics.NewCounter(`hornbeamwell_answers_foreign_total`)
	repliesForeign           = metrics.NewCounter(`hornbeamwell_peer_replies_foreign_total`)
	responsesWithoutID       = metrics.NewCounter(`hornbeamwell_answers_without_id_total`)
	responsesTruncated       = metrics.NewCounter(`hornbeamwell_answers_cut_total`)
	ejections                = metrics.NewCounter(`hornbeamwell_target_ejections_total`)
	breakerTrips             = metrics.NewCounter(`hornbeamwell_guard_cuts_total`)
	exitAdmitted             = metrics.NewCounter(`hornbeamwell_exit_admitted_total`)
	exitRefused              = metrics.NewCounter(`hornbeamwell_exit_refused_total`)
	exitRefusedLate          = metrics.NewCounter(`hornbeamwell_exit_refused_late_total`)
	exitEvacuated            = metrics.NewCounter(`hornbeamwell_exit_refused_evacuated_total`)
	evacuationChanges        = metrics.NewCounter(`hornbeamwell_evacuation_changes_total`)
	keysUnprovable           = metrics.NewCounter(`hornbeamwell_keys_unprovable_total`)
	recordsImported          = metrics.NewCounter(`hornbeamwell_records_adopted_total`)
	handoversUnreadable      = metrics.NewCounter("hornbeamwell_handovers_unreadable_total")
	keysReplayed             = metrics.NewCounter(`hornbeamwell_keys_replayed_total`)
	targetCrashes            = metrics.NewCounter(`hornbeamwell_target_crashes_seen_total`)
	suspectMerges            = metrics.NewCounter(`hornbeamwell_suspect_requests_learned_total`)
	suspectsRefused          = metrics.NewCounter(`hornbeamwell_suspect_requests_refused_total`)
	rateLimitChanges         = metrics.NewCounter(`hornbeamwell_target_rate_limit_changes_total`)
	rateLimitsInvalid        = metrics.NewCounter(`hornbeamwell_target_rate_limits_invalid_total`)
	callsThrottled           = metrics.NewCounter(`hornbeamwell_entry_attempts_throttled_total`)
	nestedRefused            = metrics.NewCounter(`hornbeamwell_exit_refused_nested_total`)
	shedByLoad               = metrics.NewCounter(`hornbeamwell_target_sheds_total{cause="load"}`)
	shedWithFreeSlots        = metrics.NewCounter(`hornbeamwell_target_sheds_total{cause="free_slots"}`)
	shedBelowPeak            = metrics.NewCounter(`hornbeamwell_target_sheds_total{cause="below_peak"}`)
	shedRegardless           = metrics.NewCounter(`hornbeamwell_target_sheds_total{cause="regardless"}`)
	targetLoadsInvalid       = metrics.NewCounter(`hornbeamwell_target_loads_invalid_total`)
	targetsLeaving           = metrics.NewCounter(`hornbeamwell_targets_leaving_total`)
	coldChangesStart         = metrics.NewCounter(`hornbeamwell_target_cold_changes_total{source="start"}`)
	coldChangesHeartbeat     = metrics.NewCounter(`hornbeamwell_target_cold_changes_total{source="heartbeat"}`)
	coldChangesHealth        = metrics.NewCounter(`hornbeamwell_target_cold_changes_total{source="health"}`)
	coldChangesEvacuation    = metrics.NewCounter(`hornbeamwell_target_cold_changes_total{source="evacuation"}`)
	coldRefused              = metrics.NewCounter(`hornbeamwell_cold_target_calls_refused_total`)
	healthRequests           = metrics.NewCounter(`hornbeamwell_health_requests_total`)
	healthRequestsFailed     = metrics.NewCounter(`hornbeamwell_health_requests_failed_total`)
	withdrawalsServed        = newWithdrawalCounters("hornbeamwell_withdrawals_answered_total")
	withdrawalsSent          = newWithdrawalCounters("hornbeamwell_withdrawals_sent_total")
	connectionsClosed        = newCloseCounters()
	connectionsKept          = metrics.NewCounter(`hornbeamwell_watchdog_kept_total`)
	responsesCrossed         = metrics.NewCounter(`hornbeamwell_watchdog_crossed_total`)
	responsesCut             = metrics.NewCounter(`hornbeamwell_exit_responses_cut_total`)
	suspectConnectionsClosed = metrics.NewCounter(`hornbeamwell_suspect_connections_dropped_total`)
)

// newCloseCounters returns the counters of the connections that watchdogs closed.
func newCloseCounters() map[closeCause]*metrics.Counter {
	counters := make(map[closeCause]*metrics.Counter)
	for _, cause := range []closeCause{closeSilent, closeAbandoned} {
		counters[cause] = metrics.NewCounter(fmt.Sprintf("hornbeamwell_watchdog_closed_total{cause=%q}", string(cause)))
	}
	return counters
}

// newWithdrawalCounters returns the counters of the results of withdrawals.
func newWithdrawalCounters(name string) map[withdrawalResult]*metrics.Counter {
	counters := make(map[withdrawalResult]*metrics.Counter)
	for _, result := range []withdrawalResult{withdrawalWithdrawn, withdrawalStarted, withdrawalUnknown} {
		counters[result] = metrics.NewCounter(fmt.Sprintf("%s{result=%q}", name, string(result)))
	}
	return counters
}

// routeState holds the counters and statistics of a route. It is kept across
// tables.
type routeState struct {
	ran, refused, unknown, callerGone, retries, retriesDenied *metrics.Counter
	// metricNames are the names under which the counters are registered.
	metricNames []string
	// meanLatency is the mean latency of the route's responses in nanoseconds,
	// 0 before the first.
	meanLatency atomic.Int64
	// maxCallerTimeout is the longest timeout, in nanoseconds, that a caller
	// set for a call.
	maxCallerTimeout atomic.Int64
	// calls counts the calls in order to distribute them among the services of
	// a split.
	calls atomic.Uint64
	// hedgeHistory is nil if calls are not hedged.
	hedgeHistory *route.HedgeHistory
	throttle     routeThrottle
}

// latencySmoothing is the reciprocal of the weight of one response in the mean
// latency.
const latencySmoothing = 16

// addLatency adds a response to the mean latency. Of two concurrent responses
// one may be lost.
func (s *routeState) addLatency(latency time.Duration) {
	mean := s.meanLatency.Load()
	if mean == 0 {
		s.meanLatency.Store(int64(latency))
		return
	}
	s.meanLatency.Store(mean + (int64(latency)-mean)/latencySmoothing)
}

// elapsedBefore estimates the time that a caller has spent on earlier sends of
// a call: the difference between the longest timeout of the route's callers and
// the given timeout of this call.
func (s *routeState) elapsedBefore(timeout time.Duration) time.Duration {
	longest := time.Duration(s.maxCallerTimeout.Load())
	if timeout > longest {
		s.maxCallerTimeout.CompareAndSwap(int64(longest), int64(timeout))
		return 0
	}
	return longest - timeout
}

// routeState returns the state of the route. The caller holds updateMu.
func (p *Proxy) routeState(name string) *routeState {
	if s := p.routes[name]; s != nil {
		return s
	}
	s := &routeState{}
	counter := func(metric, outcome string) *metrics.Counter {
		full := fmt.Sprintf("%s{route=%q,outcome=%q}", metric, name, outcome)
		s.metricNames = append(s.metricNames, full)
		return metrics.GetOrCreateCounter(full)
	}
	s.ran = counter("hornbeamwell_calls_total", "ran")
	s.refused = counter("hornbeamwell_calls_total", "not_run")
	s.unknown = counter("hornbeamwell_calls_total", "unknown")
	s.callerGone = counter("hornbeamwell_calls_total", "caller_gone")
	s.retries = counter("hornbeamwell_retries_total", "sent")
	s.retriesDenied = counter("hornbeamwell_retries_total", "over_budget")
	if p.options.HedgeShare > 0 {
		s.hedgeHistory = &route.HedgeHistory{}
	}
	p.routes[name] = s
	return s
}

// countRefusal counts a call that ended with a refusal.
func (s *routeState) countRefusal(refused *refusal) {
	switch {
	case refused.reason == ReasonCallerGone:
		s.callerGone.Inc()
	case refused.outcome == route.OutcomeNotRun:
		s.refused.Inc()
	default:
		s.unknown.Inc()
	}
}
