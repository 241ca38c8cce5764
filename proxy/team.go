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
// reason whether the key is missing or unknown.
func (p *Proxy) readTeam(r *http.Request, table *table, call *entryCall) *refusal {
	if !table.RequiresKeys {
		return nil
	}
	key := p.options.HeaderCodec.TakeAPIKey(r.Header)
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

// setCallerHeaders sets the headers that name the calling service and, where the
// configuration has teams, the caller's team.
func (p *Proxy) setCallerHeaders(h http.Header, call *entryCall) {
	p.options.HeaderCodec.SetCaller(h, p.options.Service)
	if !call.requiresKeys {
		return
	}
	team := ""
	if call.team != nil {
		team = call.team.Name
	}
	p.options.HeaderCodec.SetTeam(h, team)
}
