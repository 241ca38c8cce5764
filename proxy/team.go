package proxy

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	callsUnauthorized = metrics.NewCounter(`hornbeamwell_calls_unauthorized_total`)
	callsKeysStale    = metrics.NewCounter(`hornbeamwell_calls_keys_stale_total`)
)

// SetKeyLease allows calls that need an API key until the given time on the clock
// Options.LeaseNow. It has an effect only with Options.RequiresKeyLease.
func (p *Proxy) SetKeyLease(until time.Time) { p.keyLease.Store(&until) }

// isKeyLeased reports whether calls that need an API key are served at the time of
// Options.LeaseNow.
func (p *Proxy) isKeyLeased(leaseNow time.Time) bool {
	if !p.options.RequiresKeyLease {
		return true
	}
	until := p.keyLease.Load()
	return until != nil && leaseNow.Before(*until)
}

// readTeam sets the team of the call by its API key and removes the key from the
// request. It refuses a call without a valid key where the rule needs one, for the same
// reason whether the key is missing or unknown. A key where the configuration has no teams
// may be for a later one that the proxy has not received: the call is refused unless the
// proxy follows the leader.
func (p *Proxy) readTeam(r *http.Request, table *table, call *entryCall) *refusal {
	key := p.options.HeaderCodec.TakeAPIKey(r.Header)
	if !table.RequiresKeys {
		if key != "" && !p.isShareLeased(p.options.LeaseNow()) {
			callsKeysStale.Inc()
			return notRun(http.StatusServiceUnavailable, ReasonKeysStale, defaultRetryAfter)
		}
		return nil
	}
	if !table.RequiresKey(call.rule) {
		return nil
	}
	if !p.isKeyLeased(p.options.LeaseNow()) {
		callsKeysStale.Inc()
		return notRun(http.StatusServiceUnavailable, ReasonKeysStale, defaultRetryAfter)
	}
	call.team = table.Team(key)
	if call.team == nil {
		call.hasUnknownKey = key != ""
		callsUnauthorized.Inc()
		return notRun(http.StatusUnauthorized, ReasonUnauthorized, 0)
	}
	return nil
}

// setCallerHeaders sets the headers that name the calling service and the caller's team. A
// caller can't name its team, also where the configuration has none.
func (p *Proxy) setCallerHeaders(h http.Header, call *entryCall) {
	p.options.HeaderCodec.SetCaller(h, p.options.Service)
	team := ""
	if call.team != nil {
		team = call.team.Name
	}
	p.options.HeaderCodec.SetTeam(h, team)
}
