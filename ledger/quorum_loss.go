package ledger

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
)

// noLeaderInterval is the time between two log lines about a missing leader.
const noLeaderInterval = 30 * time.Second

var (
	metricLeaderless = metrics.NewCounter("hornbeamwell_ledger_leaderless")
	metricLostVoters = metrics.NewCounter("hornbeamwell_ledger_lost_voters")
)

// lostVoters returns the ids of the voters that are known to have lost their disks: they
// answer with another identity than that of the list, and have no vote.
func (c *core) lostVoters() []string {
	var lost []string
	for _, m := range c.log.members() {
		current, known := c.currentIdentities[m.ID]
		if m.Role == hornbeamwell.LedgerVoter && known && current != m.Identity {
			lost = append(lost, m.ID)
		}
	}
	return lost
}

// leaderWatch reports that a voter has known no leader for a long time.
type leaderWatch struct {
	// leaderAt is the time at which a leader was last known, reportedAt that of the last
	// report, and reportedLost the number of lost voters in it.
	leaderAt, reportedAt time.Time
	reportedLost         int
}

// isReportDue reports whether no leader has been known for the given time, and there is
// something new to report: the number of lost voters has changed since the last report, or
// that is noLeaderInterval ago.
func (w *leaderWatch) isReportDue(now time.Time, hasLeader bool, lost int, after time.Duration) bool {
	if hasLeader || w.leaderAt.IsZero() {
		w.leaderAt, w.reportedAt = now, time.Time{}
		return false
	}
	isNew := w.reportedAt.IsZero() || lost != w.reportedLost || now.Sub(w.reportedAt) >= noLeaderInterval
	if now.Sub(w.leaderAt) < after || !isNew {
		return false
	}
	w.reportedAt, w.reportedLost = now, lost
	return true
}

// reportLeaderLoss logs that this voter has known no leader for CatchUp, and which voters are
// known to have lost their disks. If those and the instances that do not come back are a
// majority of the voters, the ledger has lost its quorum for good.
func (l *Ledger) reportLeaderLoss() {
	now := l.options.Now()
	isVoter := l.core.inCluster() && l.core.isVoter(l.core.config.self.Identity)
	lost := l.core.lostVoters()
	isDue := l.leaderWatch.isReportDue(now, !isVoter || l.core.leader.Identity != "", len(lost), l.options.CatchUp)
	metricLostVoters.Set(uint64(len(lost)))
	isLeaderless := isVoter && now.Sub(l.leaderWatch.leaderAt) >= l.options.CatchUp
	leaderless := uint64(0)
	if isLeaderless {
		leaderless = 1
	}
	metricLeaderless.Set(leaderless)
	if isDue {
		_ = l.options.Logger.Log("event", "no_leader", "for_ms", now.Sub(l.leaderWatch.leaderAt).Milliseconds(),
			"voters", l.core.voterCount(), "lost_disks", len(lost), "lost", strings.Join(lost, ","))
	}
}
