package proxy

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// maxTeamSeries is the maximum number of teams with a metric of their own in one
	// process. All others share the metric of restOfTeams.
	maxTeamSeries = 16
	// minTeamShare is the share of the calls of all teams from which a team gets a
	// metric of its own.
	minTeamShare = 0.02
	// minTeamCalls is the number of calls of all teams before which the shares say too
	// little to choose any team.
	minTeamCalls = 200
	// maxCountedTeams bounds the memory for teams that are no longer configured.
	maxCountedTeams = 1000
	// restOfTeams is the label of the teams without a metric of their own. No team has
	// the empty name.
	restOfTeams = ""
)

// teamCalls counts the calls of teams by outcome, with a metric for each of the largest
// teams and one for the rest. A team keeps its metric until the process ends, so that
// no counter decreases.
type teamCalls struct {
	mu sync.Mutex
	// total is the sum of calls.
	total uint64
	// calls holds the number of calls by team.
	calls map[string]uint64
	// series holds the counters of at most maxTeamSeries teams and of restOfTeams.
	series map[string]*teamCounters
}

type teamCounters struct {
	ran, notRun, unknown *metrics.Counter
}

func newTeamCounters(team string) *teamCounters {
	counter := func(outcome string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_team_calls_total{team=%q,outcome=%q}", team, outcome))
	}
	return &teamCounters{ran: counter("ran"), notRun: counter("not_run"), unknown: counter("unknown")}
}

// countRan counts a call with a target's response. The team is nil where the call has
// none.
func (t *teamCalls) countRan(team *hornbeamwell.Team) {
	if team != nil {
		t.counters(team.Name).ran.Inc()
	}
}

// countRefusal counts a call that ended with a refusal.
func (t *teamCalls) countRefusal(team *hornbeamwell.Team, refused *refusal) {
	switch {
	case team == nil:
	case refused.outcome == route.OutcomeNotRun:
		t.counters(team.Name).notRun.Inc()
	default:
		t.counters(team.Name).unknown.Inc()
	}
}

// counters returns the counters of the team for one more call.
func (t *teamCalls) counters(team string) *teamCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.series == nil || len(t.calls) >= maxCountedTeams {
		t.total, t.calls = 0, make(map[string]uint64)
	}
	if t.series == nil {
		t.series = map[string]*teamCounters{restOfTeams: newTeamCounters(restOfTeams)}
	}
	t.total++
	t.calls[team]++
	if own := t.series[team]; own != nil {
		return own
	}
	isLarge := t.total >= minTeamCalls && float64(t.calls[team]) >= minTeamShare*float64(t.total)
	if !isLarge || len(t.series) > maxTeamSeries {
		return t.series[restOfTeams]
	}
	t.series[team] = newTeamCounters(team)
	return t.series[team]
}
