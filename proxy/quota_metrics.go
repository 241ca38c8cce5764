package proxy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/quota"
)

var quotaOwnersUnreachable = metrics.NewCounter("hornbeamwell_quota_owner_unreachable_total")

// quotaCounters are the metrics of a team, or of all teams that have none of their own.
type quotaCounters struct {
	asked, granted, spent, spentAlone, returned, expired, refused *metrics.Counter
}

func newQuotaCounters(team string) *quotaCounters {
	counter := func(event string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_quota_tokens_total{team=%q,event=%q}", team, event))
	}
	return &quotaCounters{
		asked: counter("asked"), granted: counter("granted"), spent: counter("spent"), spentAlone: counter("spent_alone"),
		returned: counter("returned"), expired: counter("expired"),
		refused: metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_quota_calls_refused_total{team=%q}", team)),
	}
}

// quotaCountersOf returns the counters of each team.
func quotaCountersOf(quotas map[string]hornbeamwell.Quota) map[string]*quotaCounters {
	names := slices.SortedFunc(maps.Keys(quotas), func(a, b string) int {
		return cmp.Or(cmp.Compare(quotas[b].PerSecond, quotas[a].PerSecond), cmp.Compare(a, b))
	})
	counters := make(map[string]*quotaCounters, len(names))
	for i, name := range names {
		label := name
		if i >= maxQuotaTeams {
			label = otherTeams
		}
		counters[name] = newQuotaCounters(label)
	}
	return counters
}

// report counts tokens and logs changes of state. The caller holds the mutex.
func (q *teamQuotas) report() {
	q.entry.TakeCounts(func(team string, counts quota.EntryCounts) {
		c := q.counters[team]
		c.asked.Add(counts.Asked)
		c.granted.Add(counts.Granted)
		c.spent.Add(counts.Spent)
		c.spentAlone.Add(counts.SpentAlone)
		c.returned.Add(counts.Returned)
		c.expired.Add(counts.Expired)
		c.refused.Add(counts.Refused)
	})
	for _, c := range q.entry.TakeChanges() {
		q.log("event", "quota_at_entry", "team", c.Team, "owner", c.Owner, "from", c.From, "state", c.To,
			"alone_per_second", c.Rate, "reply_age_ms", c.SinceReply.Milliseconds(), "wait_ms", c.Wait.Milliseconds(), "members", len(q.members))
	}
	for _, c := range q.owner.TakeChanges() {
		q.log("event", "quota_at_owner", "team", c.Team, "from", c.From, "state", c.To, "per_second", c.Quota.PerSecond,
			"burst", c.Quota.Burst, "tokens", int(c.Tokens), "active_entries", c.Active, "members", len(q.members))
	}
}

// log writes a line unless there were too many.
func (q *teamQuotas) log(fields ...any) {
	if !q.lines.AllowN(q.proxy.options.Now(), 1) {
		callLinesSkipped.Inc()
		return
	}
	_ = q.proxy.options.Logger.Log(fields...)
}
