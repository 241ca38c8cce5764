package delivery

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// silentRetention is the time after which a silent proxy or a lost source is no
// longer counted. Until then no configuration counts as in force everywhere.
const silentRetention = 10 * time.Minute

// oldSessionTimeout is the time of silence after which no source can still
// consider an older session of the proxy open.
const oldSessionTimeout = 15 * time.Second

// moveTimeout is the time after which a proxy that left for another source counts as
// silent if no source has reported its next session.
const moveTimeout = 2 * time.Second

// proxyEntry is a proxy of a source or of its downstream sources.
type proxyEntry struct {
	status hornbeamwell.ProxyStatus
	// session is the number of the proxy's newest session.
	session uint64
	// source is the ID of the downstream source that serves the proxy. It is
	// empty for this source and for a proxy adopted from the previous leader.
	source string
	// movingUntil is the end of moveTimeout if the proxy left for another source,
	// else zero.
	movingUntil time.Time
}

// proxyRegistry records the proxies of a source and of its downstream sources.
// It belongs to the goroutine of the loop.
type proxyRegistry struct {
	entries map[string]*proxyEntry
	// silentEntries are the entries of silent proxies.
	silentEntries map[string]*proxyEntry
	// movingEntries are the entries of proxies that left for another source. They
	// are not silent.
	movingEntries map[string]*proxyEntry
	// sources holds the last report of each downstream source by ID.
	sources map[string]*downstreamSource
	// lostSources are the sources whose session ended without a goodbye, and
	// those of the previous leader that have not opened a session since.
	// Proxies that are not in the registry may have connected to them.
	lostSources map[string]hornbeamwell.ProxyStatus
	// unreported are the changes that have not been reported to the leader.
	unreported map[string]wire.ReportedProxy
	// version increases with every change of an entry and whenever a downstream
	// source opens or closes its session or a lost source is removed.
	version uint64
}

// downstreamSource is a source that has a session with this one.
type downstreamSource struct {
	status      hornbeamwell.ProxyStatus
	watermark   hornbeamwell.ConfigVersion
	live        int
	behind      []wire.BehindProxy
	lastContact time.Time
}

func newProxyRegistry() *proxyRegistry {
	return &proxyRegistry{
		entries:       map[string]*proxyEntry{},
		silentEntries: map[string]*proxyEntry{},
		movingEntries: map[string]*proxyEntry{},
		sources:       map[string]*downstreamSource{},
		lostSources:   map[string]hornbeamwell.ProxyStatus{},
		unreported:    map[string]wire.ReportedProxy{},
	}
}

// addSession records that the proxy opened a session with this source, unless a
// newer session is known. A session that has been silent for oldSessionTimeout
// is replaced regardless of its number, because the clock of a proxy may have
// been set back when it restarted.
func (r *proxyRegistry) addSession(now time.Time, number uint64, status hornbeamwell.ProxyStatus) {
	if known, found := r.entries[status.ID]; found && known.session > number && !known.isSessionTimedOut(now) {
		return
	}
	r.set(&proxyEntry{status: status, session: number})
}

// markSilent marks the proxy as silent if the session is its newest.
func (r *proxyRegistry) markSilent(id string, number uint64, lastContact time.Time) {
	e, found := r.entries[id]
	if !found || e.session != number || e.status.Silent {
		return
	}
	e.status.Silent = true
	e.status.LastContact = lastContact
	e.movingUntil = time.Time{}
	r.set(e)
}

// markMoving marks the proxy as moving if the session is its newest.
func (r *proxyRegistry) markMoving(now time.Time, number uint64, status hornbeamwell.ProxyStatus) {
	e, found := r.entries[status.ID]
	if !found || e.session != number || e.status.Silent {
		return
	}
	e.status = status
	e.movingUntil = now.Add(moveTimeout)
	r.set(e)
}

// expireMoves marks the proxies as silent that have been moving for moveTimeout.
func (r *proxyRegistry) expireMoves(now time.Time) {
	for id, e := range r.movingEntries {
		if !now.Before(e.movingUntil) {
			r.markSilent(id, e.session, e.status.LastContact)
		}
	}
}

func (e *proxyEntry) isMoving() bool { return !e.movingUntil.IsZero() }

// removeSession removes a proxy that sent a goodbye if the session is its
// newest.
func (r *proxyRegistry) removeSession(id string, number uint64) {
	e, found := r.entries[id]
	if !found || e.session != number {
		return
	}
	r.remove(e)
}

func (r *proxyRegistry) set(e *proxyEntry) {
	r.version++
	r.entries[e.status.ID] = e
	delete(r.silentEntries, e.status.ID)
	if e.status.Silent {
		r.silentEntries[e.status.ID] = e
	}
	delete(r.movingEntries, e.status.ID)
	if e.isMoving() {
		r.movingEntries[e.status.ID] = e
	}
	r.unreported[e.status.ID] = newReportedProxy(e)
}

func (r *proxyRegistry) remove(e *proxyEntry) {
	r.version++
	delete(r.entries, e.status.ID)
	delete(r.silentEntries, e.status.ID)
	delete(r.movingEntries, e.status.ID)
	gone := newReportedProxy(e)
	gone.Forgotten = true
	r.unreported[e.status.ID] = gone
}

// newReportedProxy returns the record of a proxy. A moving one is reported as silent
// too, since a leader of an earlier version does not know the difference.
func newReportedProxy(e *proxyEntry) wire.ReportedProxy {
	return wire.ReportedProxy{
		ID:      e.status.ID,
		Zone:    e.status.Zone,
		Address: wire.FromAddress(e.status.Address),
		Session: e.session,
		Version: uint64(e.status.InForce),
		Silent:  e.status.Silent || e.isMoving(),
		Moving:  e.isMoving(),
	}
}

// applyReport applies a report of a downstream source.
func (r *proxyRegistry) applyReport(now time.Time, source string, report wire.Report) {
	downstream, found := r.sources[source]
	if !found {
		return
	}
	downstream.watermark = hornbeamwell.ConfigVersion(report.Watermark)
	downstream.live = report.Live
	downstream.behind = report.Behind
	downstream.lastContact = now
	listed := map[string]bool{}
	for _, p := range report.Changes {
		listed[p.ID] = true
		r.applyReportedProxy(now, source, p)
	}
	if report.Full {
		r.markMissing(now, source, listed)
	}
}

// applyReportedProxy applies a downstream source's record of one proxy.
func (r *proxyRegistry) applyReportedProxy(now time.Time, source string, p wire.ReportedProxy) {
	known, found := r.entries[p.ID]
	if found && !known.isReplacedBy(now, source, p) {
		return
	}
	if p.Forgotten {
		if found && known.source == source {
			r.remove(known)
		}
		return
	}
	e := &proxyEntry{
		status: hornbeamwell.ProxyStatus{
			ID:          p.ID,
			Zone:        p.Zone,
			Address:     wire.ToAddress(p.Address),
			InForce:     hornbeamwell.ConfigVersion(p.Version),
			LastContact: now.Add(-fromMillis(p.LastContactAgoMs, maxSilence)),
			Silent:      p.Silent && !p.Moving,
		},
		session: p.Session,
		source:  source,
	}
	if p.Moving {
		e.movingUntil = now.Add(moveTimeout)
	}
	r.set(e)
}

func (e *proxyEntry) isSessionTimedOut(now time.Time) bool {
	return e.status.Silent && now.Sub(e.status.LastContact) >= oldSessionTimeout
}

// isReplacedBy reports whether the source's record of the proxy replaces the
// entry.
func (e *proxyEntry) isReplacedBy(now time.Time, source string, p wire.ReportedProxy) bool {
	switch {
	case e.isSessionTimedOut(now) && !p.Silent && !p.Forgotten:
		return true
	case e.session != p.Session:
		return e.session < p.Session
	default:
		return e.source == source || e.status.Silent
	}
}

// dropDownstream removes the downstream sources, their proxies and the lost
// sources without reporting the removal.
func (r *proxyRegistry) dropDownstream() {
	clear(r.sources)
	clear(r.lostSources)
	for id, e := range r.entries {
		if e.source != "" {
			delete(r.entries, id)
			delete(r.silentEntries, id)
			delete(r.movingEntries, id)
		}
	}
	r.version++
}

// markMissing marks as silent the proxies of a downstream source that it no
// longer lists.
func (r *proxyRegistry) markMissing(now time.Time, source string, listed map[string]bool) {
	for id, e := range r.entries {
		if e.source == source && !listed[id] {
			r.markSilent(id, e.session, now)
		}
	}
}

// sourceOpened records a source that opened a session. Until its first report,
// no version counts as in force on its proxies.
func (r *proxyRegistry) sourceOpened(now time.Time, status hornbeamwell.ProxyStatus) {
	r.version++
	delete(r.lostSources, status.ID)
	r.sources[status.ID] = &downstreamSource{status: status, lastContact: now}
}

// sourceClosed marks every proxy of the source as silent until it is reported
// again. If the source did not send a goodbye, it counts as lost itself.
func (r *proxyRegistry) sourceClosed(source string, saidGoodbye bool) {
	ended, found := r.sources[source]
	if !found {
		return
	}
	delete(r.sources, source)
	r.version++
	if !saidGoodbye {
		r.addLostSource(ended.status, ended.lastContact)
	}
	for id, e := range r.entries {
		if e.source == source {
			r.markSilent(id, e.session, ended.lastContact)
		}
	}
}

func (r *proxyRegistry) addLostSource(status hornbeamwell.ProxyStatus, lastContact time.Time) {
	status.Silent = true
	status.LastContact = lastContact
	r.lostSources[status.ID] = status
}

// removeSilent removes the proxies and sources that have been silent for
// silentRetention.
func (r *proxyRegistry) removeSilent(now time.Time) {
	for id, status := range r.lostSources {
		if now.Sub(status.LastContact) >= silentRetention {
			proxiesForgotten.Inc()
			delete(r.lostSources, id)
			r.version++
		}
	}
	for _, e := range r.silentEntries {
		if now.Sub(e.status.LastContact) >= silentRetention {
			proxiesForgotten.Inc()
			r.remove(e)
		}
	}
}

// takeChanges returns the proxies that changed since the last call.
func (r *proxyRegistry) takeChanges(now time.Time) []wire.ReportedProxy {
	if len(r.unreported) == 0 {
		return nil
	}
	changes := make([]wire.ReportedProxy, 0, len(r.unreported))
	for id, p := range r.unreported {
		if e, found := r.entries[id]; found && p.Silent {
			p.LastContactAgoMs = now.Sub(e.status.LastContact).Milliseconds()
		}
		changes = append(changes, p)
	}
	clear(r.unreported)
	slices.SortFunc(changes, func(a, b wire.ReportedProxy) int { return strings.Compare(a.ID, b.ID) })
	return changes
}

// allChanges returns every proxy of this source, for a full report to the
// leader, and the proxies that changed since the last call of takeChanges.
func (r *proxyRegistry) allChanges(now time.Time) []wire.ReportedProxy {
	for id, e := range r.entries {
		if e.source == "" {
			r.unreported[id] = newReportedProxy(e)
		}
	}
	return r.takeChanges(now)
}
