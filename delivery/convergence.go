package delivery

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// convergence returns how far the configuration is in force on the proxies of
// the roster. The sessions are those of the proxies at this source.
func (r *roster) convergence(version hornbeamwell.ConfigVersion, sessions map[sessionKey]*session) hornbeamwell.Convergence {
	c := hornbeamwell.Convergence{Version: version}
	lowest := version
	for _, s := range sessions {
		if !s.isProxy() {
			continue
		}
		status := s.status()
		c.Live++
		lowest = min(lowest, status.InForce)
		if status.InForce < version {
			c.Behind = appendNamed(c.Behind, status)
		}
	}
	for _, below := range r.sources {
		c.Live += below.live
		lowest = min(lowest, below.watermark)
		r.nameBehind(&c, below.behind)
	}
	r.nameSilent(&c)
	if c.Live > 0 {
		c.Watermark = lowest
	}
	return c
}

func (r *roster) nameBehind(c *hornbeamwell.Convergence, behind []wire.BehindProxy) {
	for _, b := range behind {
		if m, found := r.members[b.ID]; found {
			status := m.status
			status.InForce = hornbeamwell.ConfigVersion(b.Version)
			c.Behind = appendNamed(c.Behind, status)
		}
	}
}

func (r *roster) nameSilent(c *hornbeamwell.Convergence) {
	c.SilentCount = len(r.mute) + len(r.lost)
	for _, status := range r.lost {
		c.Silent = appendNamed(c.Silent, status)
	}
	for _, m := range r.mute {
		c.Silent = appendNamed(c.Silent, m.status)
	}
	slices.SortFunc(c.Silent, func(a, b hornbeamwell.ProxyStatus) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(c.Behind, func(a, b hornbeamwell.ProxyStatus) int { return strings.Compare(a.ID, b.ID) })
}

func appendNamed(named []hornbeamwell.ProxyStatus, status hornbeamwell.ProxyStatus) []hornbeamwell.ProxyStatus {
	if len(named) >= hornbeamwell.MaxListedProxies {
		return named
	}
	return append(named, status)
}

// reportOf returns the report of a source to the leader. A source without proxies
// reports the version that a new one would get.
func reportOf(c hornbeamwell.Convergence) wire.Report {
	report := wire.Report{Watermark: uint64(c.Watermark), Live: c.Live}
	if c.Live == 0 {
		report.Watermark = uint64(c.Version)
	}
	for _, p := range c.Behind {
		report.Behind = append(report.Behind, wire.BehindProxy{ID: p.ID, Version: uint64(p.InForce)})
	}
	return report
}

// proxies returns what is known of every proxy. A proxy of a source below that
// is not named as behind has at least the watermark of that source.
func (r *roster) proxies(sessions map[sessionKey]*session) map[string]hornbeamwell.ProxyStatus {
	behind := map[string]hornbeamwell.ConfigVersion{}
	for _, below := range r.sources {
		for _, b := range below.behind {
			behind[b.ID] = hornbeamwell.ConfigVersion(b.Version)
		}
	}
	all := make(map[string]hornbeamwell.ProxyStatus, len(r.members))
	for id, m := range r.members {
		status := m.status
		if s, found := sessions[sessionKey{true, id}]; found && m.via == "" {
			status = s.status()
		}
		if below, found := r.sources[m.via]; found && !status.Silent {
			status.InForce = max(status.InForce, below.watermark)
			status.LastContact = below.heardAt
			if version, found := behind[id]; found {
				status.InForce = version
			}
		}
		all[id] = status
	}
	return all
}
