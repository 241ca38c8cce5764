package delivery

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// overallConvergence computes how far the version is in force on all proxies. It
// counts each proxy once, also while it moves from one source to another, when the
// old source may still report it. A moving proxy counts with the version that it
// acknowledged last.
func (r *proxyRegistry) overallConvergence(version hornbeamwell.ConfigVersion, sessions map[sessionKey]*session) hornbeamwell.Convergence {
	c := r.countConvergence(version, sessions)
	for _, e := range r.movingEntries {
		c.Watermark = min(c.Watermark, e.status.InForce)
		if e.status.InForce < version {
			c.Behind = appendLimited(c.Behind, e.status)
		}
	}
	slices.SortFunc(c.Behind, func(a, b hornbeamwell.ProxyStatus) int { return strings.Compare(a.ID, b.ID) })
	c.Live = len(r.entries) - len(r.silentEntries)
	if c.Live == 0 {
		c.Watermark = 0
	}
	return c
}

// convergence computes how far the version is in force on the proxies with a session
// at this source or below it. The sessions are those at this source.
func (r *proxyRegistry) convergence(version hornbeamwell.ConfigVersion, sessions map[sessionKey]*session) hornbeamwell.Convergence {
	c := r.countConvergence(version, sessions)
	if c.Live == 0 {
		c.Watermark = 0
	}
	return c
}

func (r *proxyRegistry) countConvergence(version hornbeamwell.ConfigVersion, sessions map[sessionKey]*session) hornbeamwell.Convergence {
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
			c.Behind = appendLimited(c.Behind, status)
		}
	}
	for _, downstream := range r.sources {
		c.Live += downstream.live
		lowest = min(lowest, downstream.watermark)
		r.addBehind(&c, downstream.behind)
	}
	r.addSilent(&c)
	c.Watermark = lowest
	return c
}

// addBehind adds the proxies that are behind the version. A source that knows a newer one
// lists those behind that.
func (r *proxyRegistry) addBehind(c *hornbeamwell.Convergence, behind []wire.BehindProxy) {
	for _, b := range behind {
		if e, found := r.entries[b.ID]; found && hornbeamwell.ConfigVersion(b.Version) < c.Version {
			status := e.status
			status.InForce = hornbeamwell.ConfigVersion(b.Version)
			c.Behind = appendLimited(c.Behind, status)
		}
	}
}

func (r *proxyRegistry) addSilent(c *hornbeamwell.Convergence) {
	c.SilentCount = len(r.silentEntries) + len(r.lostSources)
	for _, status := range r.lostSources {
		c.Silent = appendLimited(c.Silent, status)
	}
	for _, e := range r.silentEntries {
		c.Silent = appendLimited(c.Silent, e.status)
	}
	slices.SortFunc(c.Silent, func(a, b hornbeamwell.ProxyStatus) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(c.Behind, func(a, b hornbeamwell.ProxyStatus) int { return strings.Compare(a.ID, b.ID) })
}

func appendLimited(list []hornbeamwell.ProxyStatus, status hornbeamwell.ProxyStatus) []hornbeamwell.ProxyStatus {
	if len(list) >= hornbeamwell.MaxListedProxies {
		return list
	}
	return append(list, status)
}

// newReport returns a source's report to the leader. A source without live
// proxies reports the version that a new proxy would receive.
func newReport(c hornbeamwell.Convergence) wire.Report {
	report := wire.Report{Watermark: uint64(c.Watermark), Live: c.Live}
	if c.Live == 0 {
		report.Watermark = uint64(c.Version)
	}
	for _, p := range c.Behind {
		report.Behind = append(report.Behind, wire.BehindProxy{ID: p.ID, Version: uint64(p.InForce)})
	}
	return report
}

// proxies returns the status of every proxy. A proxy of a downstream source
// that is not reported as behind has at least the watermark of that source.
func (r *proxyRegistry) proxies(sessions map[sessionKey]*session) map[string]hornbeamwell.ProxyStatus {
	behind := map[string]hornbeamwell.ConfigVersion{}
	for _, downstream := range r.sources {
		for _, b := range downstream.behind {
			behind[b.ID] = hornbeamwell.ConfigVersion(b.Version)
		}
	}
	all := make(map[string]hornbeamwell.ProxyStatus, len(r.entries))
	for id, e := range r.entries {
		status := e.status
		if s, found := sessions[sessionKey{true, id}]; found && e.source == "" {
			status = s.status()
		}
		if downstream, found := r.sources[e.source]; found && !status.Silent && !e.isMoving() {
			status.InForce = max(status.InForce, downstream.watermark)
			status.LastContact = downstream.lastContact
			if version, found := behind[id]; found {
				status.InForce = version
			}
		}
		all[id] = status
	}
	return all
}
