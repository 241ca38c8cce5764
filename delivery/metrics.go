package delivery

import "github.com/VictoriaMetrics/metrics"

var (
	sessionsOpened       = metrics.NewCounter("hornbeamwell_delivery_sessions_opened_total")
	sessionsDeferred     = metrics.NewCounter("hornbeamwell_delivery_sessions_deferred_total")
	sessionsRefused      = metrics.NewCounter("hornbeamwell_delivery_sessions_refused_total")
	sessionsSilent       = metrics.NewCounter("hornbeamwell_delivery_sessions_silent_total")
	updatesSent          = metrics.NewCounter("hornbeamwell_delivery_updates_sent_total")
	historyBytes         = metrics.NewCounter("hornbeamwell_delivery_history_bytes")
	fullPartsSent        = metrics.NewCounter("hornbeamwell_delivery_whole_parts_sent_total")
	resyncsRequested     = metrics.NewCounter("hornbeamwell_delivery_resyncs_asked_total")
	updatesRefused       = metrics.NewCounter("hornbeamwell_delivery_updates_refused_total")
	targetsSkipped       = metrics.NewCounter("hornbeamwell_delivery_targets_skipped_total")
	staleVersionsRefused = metrics.NewCounter("hornbeamwell_delivery_older_versions_refused_total")
	proxiesForgotten     = metrics.NewCounter("hornbeamwell_delivery_proxies_forgotten_total")
	evidenceDropped      = metrics.NewCounter("hornbeamwell_delivery_evidence_dropped_total")
	reportsReceived      = metrics.NewCounter("hornbeamwell_delivery_reports_received_total")
	acknowledgements     = metrics.NewCounter("hornbeamwell_delivery_acknowledgements_received_total")
	sourcesSwitched      = metrics.NewCounter("hornbeamwell_delivery_sources_changed_total")
	connectionsFailed    = metrics.NewCounter("hornbeamwell_delivery_connections_failed_total")
)
