package target

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

const (
	// leaseTime is the time for which a target stays present after the session
	// that vouched for it ended without a goodbye.
	leaseTime = 10 * time.Second
	// inheritedLeaseTime is the same for targets that a new leader knows from
	// the one before, until their sources announce them again.
	inheritedLeaseTime = 30 * time.Second
	// goneKept is the time for which a target that is gone stays on the board,
	// so that an older announcement of it cannot come back.
	goneKept = 5 * time.Minute
	// leaseCheckInterval is the time between two looks at all leases.
	leaseCheckInterval = 250 * time.Millisecond
)

var (
	staleAnnouncements = metrics.NewCounter("hornbeamwell_target_stale_announcements_total")
	leasesEnded        = metrics.NewCounter("hornbeamwell_target_leases_ended_total")
)

// SessionID is the session of the level below that vouches for targets.
type SessionID string

// inherited holds the targets that a new leader knows from the one before.
const inherited SessionID = ""

// MembershipOptions configure a Membership.
type MembershipOptions struct {
	Logger log.Logger
}

// Membership keeps the targets of a source. It is a blackboard.Controller, and
// all its methods run on the goroutine of the loop.
type Membership struct {
	logger log.Logger
	// local are the targets that sessions below announced.
	local map[string]*record
	// above are the targets that the leader knows. It is empty at the leader.
	above map[string]hornbeamwell.Target
	// goneSince is the time since which a target on the board is gone.
	goneSince map[string]time.Time
	// ended are the targets whose lease ended lately. An announcement older
	// than these is refused.
	ended map[string]endedTarget
	// dirty are targets whose place on the board has to be decided again.
	dirty map[string]bool
	// placed are targets that changed on the board since TakePlaced.
	placed map[string]bool
	// announced and lost are what the leader has not been told.
	announced, lost map[string]hornbeamwell.Target
	expiry          *expiry
	leads           bool
	// leavingVersion is the board's TargetsVersion at which a target last left.
	leavingVersion uint64
	// leasesCheckedAt is the time of the last look at all leases.
	leasesCheckedAt time.Time
}

type endedTarget struct {
	target hornbeamwell.Target
	at     time.Time
}

// record is a target that a session below announced.
type record struct {
	target hornbeamwell.Target
	holder SessionID
	// leaseEnds is zero while the holder's session is open.
	leaseEnds time.Time
	// hasLeft is true where the proxy said goodbye.
	hasLeft bool
}

func (r *record) isVouchedFor() bool { return r.leaseEnds.IsZero() }

// NewMembership returns a membership without targets.
func NewMembership(options MembershipOptions) *Membership {
	logger := options.Logger
	if logger == nil {
		logger = log.NewNopLogger()
	}
	return &Membership{
		logger:    logger,
		local:     map[string]*record{},
		above:     map[string]hornbeamwell.Target{},
		goneSince: map[string]time.Time{},
		ended:     map[string]endedTarget{},
		dirty:     map[string]bool{},
		placed:    map[string]bool{},
		announced: map[string]hornbeamwell.Target{},
		lost:      map[string]hornbeamwell.Target{},
		expiry:    newExpiry(),
	}
}

// Announce takes announcements that a session below sent. An announcement that
// is older than what is known changes nothing. An equal one renews the lease.
func (m *Membership) Announce(holder SessionID, targets []hornbeamwell.Target) {
	for _, t := range targets {
		m.announce(holder, t)
	}
}

func (m *Membership) announce(holder SessionID, t hornbeamwell.Target) {
	known, found := m.local[t.ID]
	if found && known.target.IsNewer(&t) || m.endedNewer(t) {
		staleAnnouncements.Inc()
		return
	}
	if found && known.target == t && known.holder == holder && known.isVouchedFor() {
		return
	}
	m.local[t.ID] = &record{target: t, holder: holder}
	m.dirty[t.ID] = true
	delete(m.lost, t.ID)
	m.announced[t.ID] = t
}

func (m *Membership) endedNewer(t hornbeamwell.Target) bool {
	last, found := m.ended[t.ID]
	return found && last.target.IsNewer(&t)
}

// SessionLost starts the leases of the targets that the session vouched for.
func (m *Membership) SessionLost(now time.Time, holder SessionID) {
	for _, r := range m.local {
		if r.holder == holder && r.isVouchedFor() {
			r.leaseEnds = now.Add(leaseTime)
		}
	}
}

// SessionClosed ends the targets of a proxy that said goodbye.
func (m *Membership) SessionClosed(now time.Time, holder SessionID) {
	for _, r := range m.local {
		if r.holder == holder && r.isVouchedFor() {
			m.leave(now, r)
		}
	}
	m.leasesCheckedAt = time.Time{}
}

// leave ends the target's lease on purpose, which is believed of any number.
func (m *Membership) leave(now time.Time, r *record) {
	r.leaseEnds = now
	r.hasLeft = true
	m.expiry.excuse(r.target.ID)
}

// Expire takes from a source below the targets whose lease ended there; those
// whose proxy said goodbye are gone. A target that another session announced
// since stays.
func (m *Membership) Expire(now time.Time, holder SessionID, targets []hornbeamwell.Target) {
	for _, t := range targets {
		r, found := m.local[t.ID]
		if !found || r.holder != holder || r.target.IsNewer(&t) || !r.isVouchedFor() {
			continue
		}
		r.leaseEnds = now
		if t.State == hornbeamwell.TargetGone {
			m.leave(now, r)
		}
	}
	m.leasesCheckedAt = time.Time{}
}

// SetLeaderTargets takes all targets that the leader knows.
func (m *Membership) SetLeaderTargets(targets []hornbeamwell.Target) {
	next := make(map[string]hornbeamwell.Target, len(targets))
	for _, t := range targets {
		next[t.ID] = t
		if old, found := m.above[t.ID]; !found || old != t {
			m.dirty[t.ID] = true
		}
	}
	for id := range m.above {
		if _, found := next[id]; !found {
			m.dirty[id] = true
			m.leaderDropped(id)
		}
	}
	m.above = next
}

// leaderDropped announces a target again that a session below still vouches
// for, and drops it where none does.
func (m *Membership) leaderDropped(id string) {
	r, found := m.local[id]
	switch {
	case !found:
	case r.isVouchedFor():
		m.announced[id] = r.target
	default:
		delete(m.local, id)
	}
}

// Local returns the targets that sessions below vouch for.
func (m *Membership) Local() []hornbeamwell.Target {
	targets := make([]hornbeamwell.Target, 0, len(m.local))
	for _, r := range m.local {
		if r.isVouchedFor() {
			targets = append(targets, r.target)
		}
	}
	return targets
}

// TakeChanges returns what changed since the last call, for the leader.
func (m *Membership) TakeChanges() (announced, lost []hornbeamwell.Target) {
	for _, t := range m.announced {
		announced = append(announced, t)
	}
	for _, t := range m.lost {
		lost = append(lost, t)
	}
	clear(m.announced)
	clear(m.lost)
	return announced, lost
}

// Step ends leases and writes the targets to the board.
func (m *Membership) Step(now time.Time, board *blackboard.Board) {
	if board.Leadership.HoldsLease && !m.leads {
		m.inherit(now)
	}
	m.leads = board.Leadership.HoldsLease
	if now.Sub(m.leasesCheckedAt) >= leaseCheckInterval {
		m.leasesCheckedAt = now
		m.endLeases(now, board)
		m.forgetGone(now, board)
	}
	changed := false
	leaves := false
	for id := range m.dirty {
		old := board.Targets[id]
		if !m.place(now, board, id) {
			continue
		}
		changed = true
		m.placed[id] = true
		isReady := board.Targets[id].State == hornbeamwell.TargetReady
		leaves = leaves || old.State == hornbeamwell.TargetReady && !isReady
	}
	clear(m.dirty)
	if changed {
		board.TargetsVersion++
	}
	if leaves {
		m.leavingVersion = board.TargetsVersion
	}
}

// TakeChangedIDs returns the ids of the targets that changed on the board since the
// last call.
func (m *Membership) TakeChangedIDs() map[string]bool {
	placed := m.placed
	m.placed = map[string]bool{}
	return placed
}

// DepartureVersion is the board's TargetsVersion at which a target last stopped
// being ready. Such a change should not wait for others.
func (m *Membership) DepartureVersion() uint64 { return m.leavingVersion }

// inherit gives every target that only the leader before knew a lease.
func (m *Membership) inherit(now time.Time) {
	for id, t := range m.above {
		m.dirty[id] = true
		known, found := m.local[id]
		if found && !t.IsNewer(&known.target) {
			continue
		}
		m.local[id] = &record{target: t, holder: inherited, leaseEnds: now.Add(inheritedLeaseTime)}
	}
	clear(m.above)
}
