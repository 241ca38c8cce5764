package target

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

const (
	// LeaseDuration is the time for which a target stays present after its
	// session ended, unless a proxy closed the session with a goodbye.
	LeaseDuration = 10 * time.Second
	// inheritedLeaseDuration is the time for which a new leader keeps the
	// targets of its predecessor until their sources announce them again.
	inheritedLeaseDuration = 30 * time.Second
	// goneRetention is the time for which a target that is gone stays on the
	// board, so that an older announcement cannot bring it back. For the same
	// time, announcements older than an expired one are refused.
	goneRetention = 5 * time.Minute
	// leaseCheckInterval is the time between two checks of all leases.
	leaseCheckInterval = 250 * time.Millisecond
)

var (
	staleAnnouncements = metrics.NewCounter("hornbeamwell_target_stale_announcements_total")
	leasesExpired      = metrics.NewCounter("hornbeamwell_target_leases_ended_total")
)

// SessionID identifies the downstream subscriber whose session announced a
// target. Successive sessions of a subscriber have the same SessionID.
type SessionID string

// inheritedSession is the session of targets that a new leader took over from
// its predecessor.
const inheritedSession SessionID = ""

// MembershipOptions are the options of a Membership.
type MembershipOptions struct {
	Logger log.Logger
}

// Membership tracks the targets of a source. It implements
// blackboard.Controller. All its methods run on the goroutine of the
// blackboard's loop.
type Membership struct {
	logger log.Logger
	// local holds the targets announced by downstream sessions and, on a leader,
	// those inherited from its predecessor.
	local map[string]*localTarget
	// fromLeader holds the targets received from the leader. It is empty on the
	// leader.
	fromLeader map[string]hornbeamwell.Target
	// goneSince is the time since which a target on the board is gone.
	goneSince map[string]time.Time
	// recentlyExpired holds targets whose lease expired within goneRetention.
	// Older announcements of them are refused.
	recentlyExpired map[string]expiredTarget
	// dirty holds the IDs of targets whose entry on the board must be
	// recomputed.
	dirty map[string]bool
	// changedIDs holds the IDs of targets that changed on the board since the
	// last TakeChangedIDs.
	changedIDs map[string]bool
	// announced and expired are the changes not yet taken by TakeChanges.
	announced, expired map[string]hornbeamwell.Target
	expiryFilter       *expiryFilter
	departures         departures
	// holdsLease is true if this source held the leader's lease at the last step.
	holdsLease bool
	// unreadyVersion is the board's TargetsVersion at which a target last
	// stopped being ready.
	unreadyVersion uint64
	// leasesCheckedAt is the time of the last check of all leases. It is zero if
	// the next step must check them.
	leasesCheckedAt time.Time
}

type expiredTarget struct {
	target hornbeamwell.Target
	at     time.Time
}

// localTarget is a target announced by a downstream session or inherited from the
// previous leader.
type localTarget struct {
	target  hornbeamwell.Target
	session SessionID
	// leaseEnds is zero while the session is open.
	leaseEnds time.Time
	// hasDeparted is true if the proxy closed its session with a goodbye, here or
	// at a downstream source.
	hasDeparted bool
}

func (r *localTarget) hasSession() bool { return r.leaseEnds.IsZero() }

// NewMembership returns a membership without targets.
func NewMembership(options MembershipOptions) *Membership {
	logger := options.Logger
	if logger == nil {
		logger = log.NewNopLogger()
	}
	return &Membership{
		logger:          logger,
		local:           map[string]*localTarget{},
		fromLeader:      map[string]hornbeamwell.Target{},
		goneSince:       map[string]time.Time{},
		recentlyExpired: map[string]expiredTarget{},
		dirty:           map[string]bool{},
		changedIDs:      map[string]bool{},
		announced:       map[string]hornbeamwell.Target{},
		expired:         map[string]hornbeamwell.Target{},
		expiryFilter:    newExpiryFilter(),
		departures:      newDepartures(),
	}
}

// Announce applies announcements received from a downstream session. An
// announcement older than the known one changes nothing; an equal one cancels a
// running lease.
func (m *Membership) Announce(session SessionID, targets []hornbeamwell.Target) {
	for _, t := range targets {
		m.announce(session, t)
	}
}

func (m *Membership) announce(session SessionID, t hornbeamwell.Target) {
	known, found := m.local[t.ID]
	if found && known.target.IsNewer(&t) || m.hasExpiredNewer(t) {
		staleAnnouncements.Inc()
		return
	}
	if found && known.target == t && known.session == session && known.hasSession() {
		return
	}
	m.expiryFilter.forget(t.ID)
	m.local[t.ID] = &localTarget{target: t, session: session}
	m.dirty[t.ID] = true
	delete(m.expired, t.ID)
	m.announced[t.ID] = t
}

func (m *Membership) hasExpiredNewer(t hornbeamwell.Target) bool {
	last, found := m.recentlyExpired[t.ID]
	return found && last.target.IsNewer(&t)
}

// SessionLost starts the leases of the targets announced by a session that
// ended. It is called for a proxy that said no goodbye and for every downstream
// source.
func (m *Membership) SessionLost(now time.Time, session SessionID) {
	for _, r := range m.local {
		if r.session == session && r.hasSession() {
			r.leaseEnds = now.Add(LeaseDuration)
		}
	}
}

// SessionClosed ends the leases of the targets of a proxy that closed its
// session with a goodbye.
func (m *Membership) SessionClosed(now time.Time, session SessionID) {
	for _, r := range m.local {
		if r.session == session && r.hasSession() {
			m.depart(now, r)
		}
	}
	m.leasesCheckedAt = time.Time{}
}

// depart ends the lease of a target whose proxy closed its session. The expiry
// is accepted regardless of how many leases expire at once.
func (m *Membership) depart(now time.Time, r *localTarget) {
	r.leaseEnds = now
	r.hasDeparted = true
	m.expiryFilter.markDeparted(r.target.ID)
}

// Expire applies the lease expiries reported by a downstream source. Targets
// whose proxy closed its session are reported as gone. A target that another
// session has announced since is kept.
func (m *Membership) Expire(now time.Time, session SessionID, targets []hornbeamwell.Target) {
	for _, t := range targets {
		r, found := m.local[t.ID]
		if !found || r.session != session || r.target.IsNewer(&t) || !r.hasSession() {
			continue
		}
		r.leaseEnds = now
		if t.State == hornbeamwell.TargetGone {
			m.depart(now, r)
		}
	}
	m.leasesCheckedAt = time.Time{}
}

// SetLeaderTargets replaces the set of targets received from the leader.
func (m *Membership) SetLeaderTargets(targets []hornbeamwell.Target) {
	next := make(map[string]hornbeamwell.Target, len(targets))
	for _, t := range targets {
		next[t.ID] = t
		if old, found := m.fromLeader[t.ID]; !found || old != t {
			m.dirty[t.ID] = true
		}
	}
	for id := range m.fromLeader {
		if _, found := next[id]; !found {
			m.dirty[id] = true
			m.handleLeaderRemoval(id)
		}
	}
	m.fromLeader = next
}

// handleLeaderRemoval handles a target that the leader no longer has: it
// announces the target again if a downstream session for it is open, and
// removes it otherwise.
func (m *Membership) handleLeaderRemoval(id string) {
	r, found := m.local[id]
	switch {
	case !found:
	case r.hasSession():
		m.announced[id] = r.target
	default:
		m.removeLocal(id)
	}
}

// removeLocal removes a target that no open session announces.
func (m *Membership) removeLocal(id string) {
	delete(m.local, id)
	m.expiryFilter.forget(id)
}

// Local returns the targets whose downstream session is open.
func (m *Membership) Local() []hornbeamwell.Target {
	targets := make([]hornbeamwell.Target, 0, len(m.local))
	for _, r := range m.local {
		if r.hasSession() {
			targets = append(targets, r.target)
		}
	}
	return targets
}

// Records returns the newest announcement of each of the targets that this source has.
func (m *Membership) Records(targets []hornbeamwell.Target) []hornbeamwell.Target {
	records := make([]hornbeamwell.Target, 0, len(targets))
	for _, t := range targets {
		record, found := m.fromLeader[t.ID]
		if known := m.local[t.ID]; known != nil && (!found || known.target.IsNewer(&record)) {
			record, found = known.target, true
		}
		if d, departed := m.departures.known[t.ID]; departed && (!found || d.Target.IsNewer(&record)) {
			record, found = d.Target, true
		}
		if found {
			records = append(records, record)
		}
	}
	return records
}

// TakeChanges returns the targets announced and expired since the last call, to
// be sent to the leader.
func (m *Membership) TakeChanges() (announced, expired []hornbeamwell.Target) {
	for _, t := range m.announced {
		announced = append(announced, t)
	}
	for _, t := range m.expired {
		expired = append(expired, t)
	}
	clear(m.announced)
	clear(m.expired)
	return announced, expired
}

// Step expires leases and writes changed targets to the board.
func (m *Membership) Step(now time.Time, board *blackboard.Board) {
	if board.Leadership.HoldsLease && !m.holdsLease {
		m.inheritTargets(now)
	}
	m.holdsLease = board.Leadership.HoldsLease
	m.readDepartures(now, board)
	if now.Sub(m.leasesCheckedAt) >= leaseCheckInterval {
		m.leasesCheckedAt = now
		m.expireLeases(now, board)
		m.removeGone(now, board)
		m.forgetDepartures(now)
	}
	changed := false
	becameUnready := false
	for id := range m.dirty {
		old := board.Targets[id]
		if !m.updateBoard(now, board, id) {
			continue
		}
		changed = true
		m.changedIDs[id] = true
		isReady := board.Targets[id].State == hornbeamwell.TargetReady
		becameUnready = becameUnready || old.State == hornbeamwell.TargetReady && !isReady
	}
	clear(m.dirty)
	if changed {
		board.TargetsVersion++
	}
	if becameUnready {
		m.unreadyVersion = board.TargetsVersion
	}
}

// TakeChangedIDs returns the IDs of the targets that changed on the board since
// the last call.
func (m *Membership) TakeChangedIDs() map[string]bool {
	changed := m.changedIDs
	m.changedIDs = map[string]bool{}
	return changed
}

// UnreadyVersion returns the board's TargetsVersion at which a target last
// stopped being ready. Such a change should be sent without waiting for others.
func (m *Membership) UnreadyVersion() uint64 { return m.unreadyVersion }

// inheritTargets gives a lease to every target that only the previous leader
// knew, or of which it had a newer announcement.
func (m *Membership) inheritTargets(now time.Time) {
	for id, t := range m.fromLeader {
		m.dirty[id] = true
		known, found := m.local[id]
		if found && !t.IsNewer(&known.target) {
			continue
		}
		m.local[id] = &localTarget{target: t, session: inheritedSession, leaseEnds: now.Add(inheritedLeaseDuration)}
	}
	clear(m.fromLeader)
}
