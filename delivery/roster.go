package delivery

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// forgetAfter is the time after which a silent proxy is no longer counted. Until
// then no configuration is said to be in force everywhere.
const forgetAfter = 10 * time.Minute

// outliveAfter is the time of silence after which no source can still hold an
// older session of a proxy for open.
const outliveAfter = 15 * time.Second

// member is a proxy that a source knows.
type member struct {
	status hornbeamwell.ProxyStatus
	// session is the number of the proxy's newest session.
	session uint64
	// via is the id of the source that serves the proxy, empty for this one.
	via string
}

// roster holds the proxies below a source. It belongs to the goroutine of the
// loop.
type roster struct {
	members map[string]*member
	// mute are the members that are silent.
	mute map[string]*member
	// sources holds the last report of each source below by id.
	sources map[string]*sourceBelow
	// lost are the sources whose session ended without a goodbye. Proxies may
	// have come to them that nobody here knows.
	lost map[string]hornbeamwell.ProxyStatus
	// changed are the proxies that the leader has not been told of.
	changed map[string]wire.ReportedProxy
	// version grows with every change of a member.
	version uint64
}

// sourceBelow is a source with a session here.
type sourceBelow struct {
	status    hornbeamwell.ProxyStatus
	watermark hornbeamwell.ConfigVersion
	live      int
	behind    []wire.BehindProxy
	heardAt   time.Time
}

func newRoster() *roster {
	return &roster{
		members: map[string]*member{},
		mute:    map[string]*member{},
		sources: map[string]*sourceBelow{},
		lost:    map[string]hornbeamwell.ProxyStatus{},
		changed: map[string]wire.ReportedProxy{},
	}
}

// opened notes that the proxy opened a session with this source, unless a newer
// one is known. One that has been silent for long gives way whatever its number,
// since the clock of a proxy may have gone back with its restart.
func (r *roster) opened(now time.Time, number uint64, status hornbeamwell.ProxyStatus) {
	if known, found := r.members[status.ID]; found && known.session > number && !known.isOutlived(now) {
		return
	}
	r.set(&member{status: status, session: number})
}

// silent notes that the session of the proxy ended without a goodbye.
func (r *roster) silent(id string, number uint64, heardAt time.Time) {
	m, found := r.members[id]
	if !found || m.session != number || m.status.Silent {
		return
	}
	m.status.Silent = true
	m.status.LastContact = heardAt
	r.set(m)
}

// left forgets a proxy that said goodbye.
func (r *roster) left(id string, number uint64) {
	m, found := r.members[id]
	if !found || m.session != number {
		return
	}
	r.forget(m)
}

func (r *roster) set(m *member) {
	r.version++
	r.members[m.status.ID] = m
	delete(r.mute, m.status.ID)
	if m.status.Silent {
		r.mute[m.status.ID] = m
	}
	r.changed[m.status.ID] = reported(m)
}

func (r *roster) forget(m *member) {
	r.version++
	delete(r.members, m.status.ID)
	delete(r.mute, m.status.ID)
	gone := reported(m)
	gone.Forgotten = true
	r.changed[m.status.ID] = gone
}

func reported(m *member) wire.ReportedProxy {
	return wire.ReportedProxy{
		ID:      m.status.ID,
		Zone:    m.status.Zone,
		Address: wire.FromAddress(m.status.Address),
		Session: m.session,
		Version: uint64(m.status.InForce),
		Silent:  m.status.Silent,
	}
}

// report takes the report of the source below.
func (r *roster) report(now time.Time, source string, report wire.Report) {
	below, found := r.sources[source]
	if !found {
		return
	}
	below.watermark = hornbeamwell.ConfigVersion(report.Watermark)
	below.live = report.Live
	below.behind = report.Behind
	below.heardAt = now
	listed := map[string]bool{}
	for _, p := range report.Changes {
		listed[p.ID] = true
		r.reportedProxy(now, source, p)
	}
	if report.Full {
		r.missing(now, source, listed)
	}
}

// reportedProxy takes what the source below says of one proxy.
func (r *roster) reportedProxy(now time.Time, source string, p wire.ReportedProxy) {
	known, found := r.members[p.ID]
	if found && !known.givesWay(now, source, p) {
		return
	}
	if p.Forgotten {
		if found && known.via == source {
			r.forget(known)
		}
		return
	}
	r.set(&member{
		status: hornbeamwell.ProxyStatus{
			ID:          p.ID,
			Zone:        p.Zone,
			Address:     wire.ToAddress(p.Address),
			InForce:     hornbeamwell.ConfigVersion(p.Version),
			LastContact: now.Add(-time.Duration(p.LastContactAgoMs) * time.Millisecond),
			Silent:      p.Silent,
		},
		session: p.Session,
		via:     source,
	})
}

func (m *member) isOutlived(now time.Time) bool {
	return m.status.Silent && now.Sub(m.status.LastContact) >= outliveAfter
}

// givesWay reports whether what the source says of the proxy replaces what is
// known.
func (m *member) givesWay(now time.Time, source string, p wire.ReportedProxy) bool {
	switch {
	case m.isOutlived(now) && !p.Silent && !p.Forgotten:
		return true
	case m.session != p.Session:
		return m.session < p.Session
	default:
		return m.via == source || m.status.Silent
	}
}

// dropBelow forgets the proxies of other sources without a word to anybody.
func (r *roster) dropBelow() {
	clear(r.sources)
	clear(r.lost)
	for id, m := range r.members {
		if m.via != "" {
			delete(r.members, id)
			delete(r.mute, id)
		}
	}
	r.version++
}

// missing marks the proxies silent that the source below no longer knows.
func (r *roster) missing(now time.Time, source string, listed map[string]bool) {
	for id, m := range r.members {
		if m.via == source && !listed[id] {
			r.silent(id, m.session, now)
		}
	}
}

// sourceOpened notes a source that opened a session. Until it reports, nothing is
// in force below it.
func (r *roster) sourceOpened(now time.Time, status hornbeamwell.ProxyStatus) {
	r.version++
	delete(r.lost, status.ID)
	r.sources[status.ID] = &sourceBelow{status: status, heardAt: now}
}

// sourceEnded marks every proxy below the source silent: nothing is known of
// them until they are heard from again. A source that did not say goodbye is
// itself lost.
func (r *roster) sourceEnded(source string, saidGoodbye bool) {
	ended, found := r.sources[source]
	if !found {
		return
	}
	delete(r.sources, source)
	r.version++
	if !saidGoodbye {
		r.lose(ended.status, ended.heardAt)
	}
	for id, m := range r.members {
		if m.via == source {
			r.silent(id, m.session, ended.heardAt)
		}
	}
}

func (r *roster) lose(status hornbeamwell.ProxyStatus, heardAt time.Time) {
	status.Silent = true
	status.LastContact = heardAt
	r.lost[status.ID] = status
}

// forgetSilent drops the proxies and sources that have been silent for long.
func (r *roster) forgetSilent(now time.Time) {
	for id, status := range r.lost {
		if now.Sub(status.LastContact) >= forgetAfter {
			proxiesForgotten.Inc()
			delete(r.lost, id)
			r.version++
		}
	}
	for _, m := range r.mute {
		if now.Sub(m.status.LastContact) >= forgetAfter {
			proxiesForgotten.Inc()
			r.forget(m)
		}
	}
}

// takeChanges returns the proxies that changed since the last call.
func (r *roster) takeChanges(now time.Time) []wire.ReportedProxy {
	if len(r.changed) == 0 {
		return nil
	}
	changes := make([]wire.ReportedProxy, 0, len(r.changed))
	for id, p := range r.changed {
		if m, found := r.members[id]; found && m.status.Silent {
			p.LastContactAgoMs = now.Sub(m.status.LastContact).Milliseconds()
		}
		changes = append(changes, p)
	}
	clear(r.changed)
	slices.SortFunc(changes, func(a, b wire.ReportedProxy) int { return strings.Compare(a.ID, b.ID) })
	return changes
}

// all returns every proxy, for a leader that knows none.
func (r *roster) all(now time.Time) []wire.ReportedProxy {
	for id, m := range r.members {
		if m.via == "" {
			r.changed[id] = reported(m)
		}
	}
	return r.takeChanges(now)
}
