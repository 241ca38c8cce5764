package delivery

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// rosterInterval is the time in which changes of the roster gather before
// followers hear of them.
const rosterInterval = time.Second

// publishRoster makes the roster part of the wanted state of followers, so that
// the next leader knows which proxies it has to hear from.
func (s *Source) publishRoster(now time.Time, board *blackboard.Board) bool {
	isKnown := s.state.proxies != nil && s.rosterSeen == s.roster.version
	if !board.Leadership.HoldsLease || isKnown || now.Sub(s.rosterAt) < rosterInterval {
		return false
	}
	listed := s.roster.list()
	items := make([]*item, 0, len(listed))
	for _, p := range listed {
		it, err := proxyItem(s.state.proxies, p)
		if err != nil {
			hornbeamwell.ReportViolation("proxies_encode", "%v", err)
			return false
		}
		items = append(items, it)
	}
	s.rosterAt = now
	s.rosterSeen = s.roster.version
	s.state.proxies = newView(s.epoch, s.roster.version, groupItems(s.state.proxies, items))
	return true
}

// list returns every proxy and every source that the leader has to hear from.
func (r *roster) list() []wire.ReportedProxy {
	listed := make([]wire.ReportedProxy, 0, len(r.members)+len(r.sources)+len(r.lost))
	for _, m := range r.members {
		listed = append(listed, reported(m))
	}
	for _, below := range r.sources {
		listed = append(listed, reportedSource(below.status))
	}
	for _, status := range r.lost {
		listed = append(listed, reportedSource(status))
	}
	return listed
}

func reportedSource(status hornbeamwell.ProxyStatus) wire.ReportedProxy {
	return wire.ReportedProxy{ID: status.ID, Zone: status.Zone, Address: wire.FromAddress(status.Address), IsSource: true}
}

// proxyItem encodes what stays the same of a proxy while its session lasts.
func proxyItem(previous *view, p wire.ReportedProxy) (*item, error) {
	p.Version = 0
	p.LastContactAgoMs = 0
	key := keyOfProxy(p)
	if previous != nil {
		if old, found := previous.item(key); found && *old.proxy == p {
			return old, nil
		}
	}
	return encodeItem(&item{key: key, proxy: &p})
}

// inheritProxies keeps the roster of the leader for the time after it.
func (s *Source) inheritProxies(held *mirror) {
	s.inherited = held
}

// takeInheritance marks every proxy silent that the leader before knew and that
// has not been heard from here. It reports whether any was known.
func (s *Source) takeInheritance(now time.Time) bool {
	if s.inherited == nil {
		return false
	}
	known := false
	s.inherited.each(func(it *item) {
		known = true
		if it.proxy.ID != s.options.ID || !it.proxy.IsSource {
			s.roster.inherit(now, *it.proxy)
		}
	})
	s.inherited = nil
	return known
}

// inherit adds a proxy or a source that is known from the leader before.
func (r *roster) inherit(now time.Time, p wire.ReportedProxy) {
	status := hornbeamwell.ProxyStatus{ID: p.ID, Zone: p.Zone, Address: wire.ToAddress(p.Address), LastContact: now, Silent: true}
	if p.IsSource {
		if _, found := r.sources[p.ID]; !found {
			r.lose(status, now)
		}
		return
	}
	if known, found := r.members[p.ID]; found && known.session >= p.Session {
		return
	}
	r.set(&member{status: status, session: p.Session})
}

// report returns the report to the leader and whether it says anything new.
func (s *Source) report(now time.Time, full bool, board *blackboard.Board) (wire.Report, bool) {
	report := reportOf(s.roster.convergence(board.Configuration.Version, s.sessions))
	report.Full = full
	if full {
		report.Changes = s.roster.all(now)
	} else {
		report.Changes = s.roster.takeChanges(now)
	}
	isNew := full || len(report.Changes) > 0 || !isSameProgress(report, s.reported)
	s.reported = report
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
