package delivery

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// registryInterval is the shortest time between two versions of the registry
// that are sent to followers.
const registryInterval = time.Second

// publishRegistry adds the registry to the state of followers, so that the next
// leader knows which proxies have to report to it. It reports whether the
// desired state changed.
func (s *Source) publishRegistry(now time.Time, board *blackboard.Board) bool {
	isPublished := s.desired.proxies != nil && s.publishedRegistry == s.registry.version
	if !board.Leadership.HoldsLease || isPublished || now.Sub(s.registryPublishedAt) < registryInterval {
		return false
	}
	listed := s.registry.list()
	items := make([]*item, 0, len(listed))
	for _, p := range listed {
		it, err := proxyItem(s.desired.proxies, p)
		if err != nil {
			hornbeamwell.ReportViolation("proxies_encode", "%v", err)
			return false
		}
		items = append(items, it)
	}
	s.registryPublishedAt = now
	s.publishedRegistry = s.registry.version
	s.desired.proxies = newView(s.epoch, s.registry.version, groupItems(s.desired.proxies, items))
	return true
}

// list returns every proxy and source that has to report to the leader.
func (r *proxyRegistry) list() []wire.ReportedProxy {
	listed := make([]wire.ReportedProxy, 0, len(r.entries)+len(r.sources)+len(r.lostSources))
	for _, e := range r.entries {
		listed = append(listed, newReportedProxy(e))
	}
	for _, downstream := range r.sources {
		listed = append(listed, newReportedSource(downstream.status))
	}
	for _, status := range r.lostSources {
		listed = append(listed, newReportedSource(status))
	}
	return listed
}

func newReportedSource(status hornbeamwell.ProxyStatus) wire.ReportedProxy {
	return wire.ReportedProxy{ID: status.ID, Zone: status.Zone, Address: wire.FromAddress(status.Address), IsSource: true}
}

// proxyItem encodes a proxy or a source without its version and the age of its
// last contact, which change during a session. It returns the item of the
// previous view if that is equal.
func proxyItem(previous *view, p wire.ReportedProxy) (*item, error) {
	p.Version = 0
	p.LastContactAgoMs = 0
	key := proxyKey(p)
	if previous != nil {
		if old, found := previous.item(key); found && *old.proxy == p {
			return old, nil
		}
	}
	return encodeItem(&item{key: key, proxy: &p})
}

// setPreviousProxies stores the leader's registry, which this source adopts if it
// becomes the leader.
func (s *Source) setPreviousProxies(proxies *streamState) {
	s.previousProxies = proxies
}

// adoptPreviousProxies marks as silent every proxy and every other source that
// the previous leader knew. It leaves out proxies of which this source knows the
// same or a newer session, and sources that have a session with it. It reports
// whether the previous leader knew any.
func (s *Source) adoptPreviousProxies(now time.Time) bool {
	if s.previousProxies == nil {
		return false
	}
	known := false
	s.previousProxies.forEach(func(it *item) {
		if it.proxy == nil {
			return
		}
		known = true
		if it.proxy.ID != s.options.ID || !it.proxy.IsSource {
			s.registry.adopt(now, *it.proxy)
		}
	})
	s.previousProxies = nil
	return known
}

// adopt adds a proxy or a source from the registry of the previous leader.
func (r *proxyRegistry) adopt(now time.Time, p wire.ReportedProxy) {
	status := hornbeamwell.ProxyStatus{ID: p.ID, Zone: p.Zone, Address: wire.ToAddress(p.Address), LastContact: now, Silent: true}
	if p.IsSource {
		if _, found := r.sources[p.ID]; !found {
			r.addLostSource(status, now)
		}
		return
	}
	if known, found := r.entries[p.ID]; found && known.session >= p.Session {
		return
	}
	r.set(&proxyEntry{status: status, session: p.Session})
}

// report returns the report to the leader and whether it is full or contains
// changes since the last one.
func (s *Source) report(now time.Time, full bool, board *blackboard.Board) (wire.Report, bool) {
	report := newReport(s.registry.convergence(board.Configuration.Version, s.sessions))
	report.Full = full
	if full {
		report.Changes = s.registry.allChanges(now)
	} else {
		report.Changes = s.registry.takeChanges(now)
	}
	isNew := full || len(report.Changes) > 0 || !isSameProgress(report, s.lastReport)
	s.lastReport = report
	return report, isNew
}

func isSameProgress(a, b wire.Report) bool {
	if a.Watermark != b.Watermark || a.Live != b.Live || len(a.Behind) != len(b.Behind) {
		return false
	}
	for i, p := range a.Behind {
		if b.Behind[i] != p {
			return false
		}
	}
	return true
}
