package ledger

import "github.com/VictoriaMetrics/metrics"

var (
	metricElections          = metrics.NewCounter("hornbeamwell_ledger_elections_total")
	metricMembersReplaced    = metrics.NewCounter("hornbeamwell_ledger_replaced_members_total")
	metricMessagesDropped    = metrics.NewCounter("hornbeamwell_ledger_dropped_messages_total")
	metricLogBytes           = metrics.NewCounter("hornbeamwell_ledger_log_bytes")
	metricLinks              = metrics.NewCounter("hornbeamwell_ledger_links")
	metricLinksEvicted       = metrics.NewCounter("hornbeamwell_ledger_evicted_links_total")
	metricLostConnections    = metrics.NewCounter("hornbeamwell_ledger_lost_connections_total")
	metricProposals          = metrics.NewCounter("hornbeamwell_ledger_proposals_total")
	metricSnapshots          = metrics.NewCounter("hornbeamwell_ledger_snapshots_total")
	metricSnapshotsInstalled = metrics.NewCounter("hornbeamwell_ledger_installed_snapshots_total")
	metricSnapshotBytes      = metrics.NewCounter("hornbeamwell_ledger_snapshot_bytes_total")
	metricStorageFailures    = metrics.NewCounter("hornbeamwell_ledger_storage_failures_total")
	metricAppend             = metrics.NewHistogram("hornbeamwell_ledger_append_duration_seconds")
	metricSync               = metrics.NewHistogram("hornbeamwell_ledger_sync_duration_seconds")
	metricTerm               = metrics.NewCounter("hornbeamwell_ledger_term")
	metricCommit             = metrics.NewCounter("hornbeamwell_ledger_commit_index")
	metricLeads              = metrics.NewCounter("hornbeamwell_ledger_leads")
)
