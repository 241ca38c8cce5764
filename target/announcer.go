package target

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// RenewInterval is the time within which a target is told to announce itself
	// again.
	RenewInterval = 3 * time.Second
	// renewalTimeout is the time after the last renewal at which a target
	// counts as crashed.
	renewalTimeout = 10 * time.Second
	// DrainTimeout is the time after which a draining target is gone, whether
	// or not it has withdrawn.
	DrainTimeout = 2 * time.Minute
	// sequenceDoubt is the time for which announcements below the highest sequence, or of
	// an earlier incarnation, have to go on before the highest one counts as an error.
	// Delayed announcements arrive within a shorter time.
	sequenceDoubt = 5 * time.Second
	// tickInterval is the time between two checks of the lease.
	tickInterval = 500 * time.Millisecond
)

// ErrNoTarget means that no target has been announced, or that the target to drain
// is gone.
var ErrNoTarget = errors.New("no target is announced at this proxy")

var (
	renewals             = metrics.NewCounter("hornbeamwell_announcer_renewals_total")
	leaseExpiries        = metrics.NewCounter("hornbeamwell_announcer_lease_ends_total")
	drains               = metrics.NewCounter("hornbeamwell_announcer_drains_total")
	refusedAnnouncements = metrics.NewCounter("hornbeamwell_announcer_refused_total")
	sequencesReset       = metrics.NewCounter("hornbeamwell_announcer_sequences_reset_total")
)

// AnnouncerOptions are the options of an Announcer.
type AnnouncerOptions struct {
	// ID is the ID of the proxy and of its target.
	ID   string
	Zone string
	// Service is the service of the target, if it is known beforehand. Without it, a
	// target that this process has not heard of can't be withdrawn.
	Service string
	// Exit is the address at which the proxy accepts calls to the target.
	Exit netip.AddrPort
	// OnChange is called with the target and its local address after every
	// change. The address is not valid for a target that was withdrawn before this
	// process heard of it. Calls do not overlap. It must not call the announcer.
	OnChange func(target hornbeamwell.Target, local netip.AddrPort)
	// OnColdRemaining is called with the incarnation and the remaining cold time of every
	// announcement and renewal that gives it, in the order of their sequence and after
	// OnChange. It must not call the announcer. The default does nothing.
	OnColdRemaining func(incarnation uint64, remaining time.Duration)
	Logger          log.Logger
	Now             func() time.Time
}

// Announcer accepts the announcements of the target next to a proxy and ends
// its lease if it stops renewing. Its methods may be called from any goroutine.
type Announcer struct {
	options AnnouncerOptions

	mu sync.Mutex
	// current is nil if no target has been announced. It is guarded by mu.
	current *announcedTarget
	// lastIncarnation is the highest incarnation of current so far. It is guarded by mu.
	lastIncarnation uint64
	// lastGiven is the last accepted incarnation that the target gave itself, 0 if there is
	// none. It decreases only after sequenceDoubt. It is guarded by mu.
	lastGiven uint64
	// leavingIncarnation is the last incarnation that DrainIncarnation was called
	// for. It is guarded by mu.
	leavingIncarnation uint64
	// withdrawals is guarded by mu.
	withdrawals withdrawals
	// record is the newest that a source had of the target, departure the newest departure of
	// it that the ledger is known to have. They are zero if none is known. recordChanged is
	// closed when one of them changes. All are guarded by mu.
	record        hornbeamwell.Target
	departure     hornbeamwell.Departure
	recordChanged chan struct{}
}

// announcedTarget is a target with the state of its lease.
type announcedTarget struct {
	announcement Announcement
	target       hornbeamwell.Target
	// renewedAt is the time of the last announcement or renewal.
	renewedAt time.Time
	// sequence is the highest sequence announced. It decreases only after
	// sequenceDoubt.
	sequence uint64
	// ignored is the highest sequence ignored as out of order since the last renewal,
	// ignoredSince the time of the first one, 0 and zero if there is none. Both are of the
	// incarnation that the target gave as ignoredIncarnation.
	ignored, ignoredIncarnation uint64
	ignoredSince                time.Time
	// isWithdrawn is true once the target has been withdrawn.
	isWithdrawn bool
	// drainDeadline is when a draining target is gone. It is zero if the target
	// is not draining.
	drainDeadline time.Time
}

// NewAnnouncer returns an announcer without a target.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.OnChange == nil {
		options.OnChange = func(hornbeamwell.Target, netip.AddrPort) {}
	}
	if options.OnColdRemaining == nil {
		options.OnColdRemaining = func(uint64, time.Duration) {}
	}
	return &Announcer{options: options, withdrawals: withdrawals{}, recordChanged: make(chan struct{})}
}

// Run checks the lease of the target until the context is canceled.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.Tick(a.options.Now())
		}
	}
}

// Announce processes an announcement or a renewal, which is an announcement
// that repeats the previous one. It returns the target as it stands afterwards.
func (a *Announcer) Announce(now time.Time, announcement Announcement) (hornbeamwell.Target, error) {
	if err := announcement.Check(); err != nil {
		refusedAnnouncements.Inc()
		return hornbeamwell.Target{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.withdrawals.covers(now, announcement) {
		return a.currentTarget(), nil
	}
	if err := a.checkIncarnation(announcement); err != nil && !a.continuesBelow(now, announcement) {
		refusedAnnouncements.Inc()
		return hornbeamwell.Target{}, err
	}
	if a.isWithdrawn(announcement) || a.isOutOfOrder(announcement) && !a.continuesBelow(now, announcement) {
		return a.current.target, nil
	}
	if a.isRenewal(announcement) {
		renewals.Inc()
		a.current.renewedAt = now
		a.current.sequence = max(a.current.sequence, announcement.Sequence)
		a.current.ignored, a.current.ignoredSince = 0, time.Time{}
		if announcement.IsDraining {
			a.startDrain(now, ownSequence(announcement))
		}
		a.reportCold(announcement)
		return a.current.target, nil
	}
	a.replace(now, announcement)
	a.reportCold(announcement)
	return a.current.target, nil
}

// reportCold passes on the remaining cold time of an announcement that was accepted.
func (a *Announcer) reportCold(announcement Announcement) {
	if announcement.HasColdRemaining {
		a.options.OnColdRemaining(a.current.target.Incarnation, announcement.ColdRemaining)
	}
}

// checkIncarnation refuses the announcement of an earlier incarnation, and one without an
// incarnation beside a target that gives its own.
func (a *Announcer) checkIncarnation(announcement Announcement) error {
	given := announcement.Incarnation
	if given == 0 {
		if a.current != nil && a.current.announcement.Incarnation != 0 && a.current.target.State != hornbeamwell.TargetGone {
			return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: "incarnation", Problem: "is missing, but was given before"}}}
		}
		return nil
	}
	if given < a.lastGiven {
		return &StaleIncarnationError{Given: given, Known: a.lastGiven}
	}
	return nil
}

// isOutOfOrder reports whether this announcement or a later one of the same
// incarnation arrived before. Such an announcement is ignored.
func (a *Announcer) isOutOfOrder(announcement Announcement) bool {
	if a.current == nil || announcement.Sequence == 0 || announcement.Incarnation == 0 {
		return false
	}
	return announcement.Incarnation == a.current.announcement.Incarnation && announcement.Sequence <= a.current.sequence
}

// continuesBelow records an announcement that is out of order or of an earlier
// incarnation. It reports whether growing sequences of its incarnation have gone on for
// sequenceDoubt, without a renewal. What is in force then was an error, and the target
// continues from this announcement.
func (a *Announcer) continuesBelow(now time.Time, announcement Announcement) bool {
	if a.current == nil {
		return false
	}
	if announcement.Incarnation != a.current.ignoredIncarnation {
		a.current.ignoredIncarnation = announcement.Incarnation
		a.current.ignored, a.current.ignoredSince = 0, time.Time{}
	}
	if announcement.Sequence <= a.current.ignored {
		return false
	}
	a.current.ignored = announcement.Sequence
	if a.current.ignoredSince.IsZero() {
		a.current.ignoredSince = now
	}
	if now.Sub(a.current.ignoredSince) < sequenceDoubt {
		return false
	}
	sequencesReset.Inc()
	_ = a.options.Logger.Log("event", "sequence_reset", "target", a.current.target.ID, "name", announcement.Name,
		"before", a.current.sequence, "sequence", announcement.Sequence,
		"incarnation_before", a.current.announcement.Incarnation, "incarnation", announcement.Incarnation)
	a.current.sequence = announcement.Sequence
	return true
}

// isWithdrawn reports whether the announcement is of a target that was already
// withdrawn. The last announcements of a target may arrive after its withdrawal.
func (a *Announcer) isWithdrawn(announcement Announcement) bool {
	return a.current != nil && a.current.isWithdrawn && announcement.Incarnation != 0 &&
		a.current.announcement.Incarnation == announcement.Incarnation
}

// isRenewal reports whether the announcement repeats that of the current
// target. A draining target that continues to renew keeps draining. It becomes
// ready again only with a changed announcement, such as one of a higher
// incarnation, or after it is gone.
func (a *Announcer) isRenewal(announcement Announcement) bool {
	if a.current == nil {
		return false
	}
	same := a.current.announcement.isSameTarget(announcement)
	return same && a.current.target.State != hornbeamwell.TargetGone
}

// replace makes the announced target the current one.
func (a *Announcer) replace(now time.Time, announcement Announcement) {
	target := hornbeamwell.Target{
		ID:          a.options.ID,
		Name:        announcement.Name,
		Service:     announcement.Service,
		Version:     announcement.Version,
		Zone:        a.options.Zone,
		Exit:        a.options.Exit,
		Slots:       announcement.Slots,
		Connections: announcement.Connections,
		State:       hornbeamwell.TargetReady,
		ReadyAt:     now.Round(0).UTC(),
		ColdStart:   announcement.ColdStart,
	}
	a.setNumbers(now, announcement, &target)
	a.lastIncarnation = target.Incarnation
	if announcement.Incarnation != 0 {
		a.lastGiven = announcement.Incarnation
	}
	a.current = &announcedTarget{announcement: announcement, target: target, renewedAt: now, sequence: announcement.Sequence}
	if announcement.IsDraining || target.Incarnation == a.leavingIncarnation {
		a.current.target.State, a.current.drainDeadline = hornbeamwell.TargetDraining, now.Add(DrainTimeout)
	}
	departed := &a.departure.Target
	if departed.IsNewer(&a.current.target) && now.Sub(a.departure.RecordedAt) < goneRetention {
		// The announcement is a late one from before the departure.
		a.current.target.State = departed.State
		a.current.drainDeadline = now.Add(DrainTimeout)
		if departed.Incarnation == target.Incarnation {
			a.current.target.Sequence = departed.Sequence
			a.current.isWithdrawn = departed.State == hornbeamwell.TargetGone
		}
	}
	target = a.current.target
	_ = a.options.Logger.Log("event", "target_announced", "target", target.ID, "name", target.Name, "service", target.Service,
		"version", target.Version, "incarnation", target.Incarnation, "sequence", target.Sequence, "slots", target.Slots)
	a.options.OnChange(target, announcement.Address)
}

// setNumbers sets the incarnation and the sequence. A change of the
// announcement within an incarnation gets the next sequence. If the target was
// ready before the change, it keeps the time at which it became ready.
func (a *Announcer) setNumbers(now time.Time, announcement Announcement, target *hornbeamwell.Target) {
	given := announcement.Incarnation
	isFirst := given == 0 || a.current == nil || a.current.announcement.Incarnation != given
	switch {
	case !isFirst:
		target.Incarnation = a.current.target.Incarnation
	case given != 0:
		// It increases also where the one in force before was an error.
		target.Incarnation = max(given, a.lastIncarnation+1)
	default:
		// The clock makes incarnations increase across restarts of the proxy.
		target.Incarnation = max(uint64(now.UnixMilli()), a.lastIncarnation+1)
	}
	if isFirst && (announcement.Sequence > 0 || given != 0 && announcement.Name != "") {
		// The target's own numbers continue across restarts of the proxy. A named target
		// has them, so that an announcement without one is no later than others.
		target.Sequence = ownSequence(announcement)
		return
	} else if isFirst {
		// The clock makes sequences increase if the proxy restarts while the
		// target keeps running.
		target.Sequence = uint64(now.UnixMilli())
		return
	}
	target.Sequence = a.current.target.Sequence + 1
	if announcement.IsDraining {
		target.Sequence = max(target.Sequence, ownSequence(announcement))
	}
	if a.current.target.State == hornbeamwell.TargetReady {
		target.ReadyAt = a.current.target.ReadyAt
	}
}

// changeBits is the number of low bits of a sequence that are reserved for changes
// after the first announcement of an incarnation to this proxy. The target's own
// number of that announcement is in the bits above.
const changeBits = 16

// maxShiftedSequence is the highest of the target's own numbers that has room for these
// bits. Higher ones are times, which leave room between two announcements.
const maxShiftedSequence = 1<<(63-changeBits) - 1

// ownSequence returns the sequence that follows from the target's own number, 0 if it has none.
// A drain that the target announces gets it, so that an earlier announcement does not end
// the drain at a later process.
func ownSequence(announcement Announcement) uint64 {
	if announcement.Sequence > maxShiftedSequence {
		return announcement.Sequence
	}
	return announcement.Sequence << changeBits
}

// Drain stops new calls to the target. The target is gone after Withdraw or
// after DrainTimeout.
func (a *Announcer) Drain(now time.Time) (hornbeamwell.Target, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.target.State == hornbeamwell.TargetGone {
		return hornbeamwell.Target{}, ErrNoTarget
	}
	a.startDrain(now, 0)
	return a.current.target, nil
}

// DrainIncarnation stops new calls to an incarnation of the target, which stated by
// another way than an announcement that it is about to stop. Later announcements of
// the incarnation do not make it ready again. Other incarnations are not affected.
func (a *Announcer) DrainIncarnation(now time.Time, incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leavingIncarnation = max(a.leavingIncarnation, incarnation)
	if a.current != nil && a.current.target.Incarnation == incarnation {
		a.startDrain(now, 0)
	}
}

// startDrain drains the target with a sequence of at least minSequence.
func (a *Announcer) startDrain(now time.Time, minSequence uint64) {
	if a.current.target.State != hornbeamwell.TargetReady {
		return
	}
	drains.Inc()
	a.current.drainDeadline = now.Add(DrainTimeout)
	a.setState(hornbeamwell.TargetDraining, minSequence)
}

// Tick marks the target as gone if its drain timed out or its lease was not
// renewed in time. A draining target need not renew its lease.
func (a *Announcer) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.target.State == hornbeamwell.TargetGone {
		return
	}
	hasDrainTimedOut := !a.current.drainDeadline.IsZero() && !now.Before(a.current.drainDeadline)
	hasLeaseExpired := now.Sub(a.current.renewedAt) >= renewalTimeout
	switch {
	case hasDrainTimedOut:
		a.setState(hornbeamwell.TargetGone, 0)
	case hasLeaseExpired && a.current.drainDeadline.IsZero():
		leaseExpiries.Inc()
		_ = a.options.Logger.Log("msg", "target did not renew its announcement in time", "service", a.current.target.Service)
		a.setState(hornbeamwell.TargetGone, 0)
	}
}

// setState changes the state of the current target. Its sequence grows to at least
// minSequence.
func (a *Announcer) setState(state hornbeamwell.TargetState, minSequence uint64) {
	_ = a.options.Logger.Log("event", "target_"+string(state), "target", a.current.target.ID, "name", a.current.target.Name,
		"service", a.current.target.Service, "incarnation", a.current.target.Incarnation)
	a.current.target.State = state
	a.current.target.Sequence = min(max(a.current.target.Sequence+1, minSequence), finalSequence)
	a.options.OnChange(a.current.target, a.current.announcement.Address)
}

// currentTarget returns the announced target, the zero Target if there is none.
func (a *Announcer) currentTarget() hornbeamwell.Target {
	if a.current == nil {
		return hornbeamwell.Target{}
	}
	return a.current.target
}

// Current returns the announced target in its current state.
func (a *Announcer) Current() (hornbeamwell.Target, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return hornbeamwell.Target{}, ErrNoTarget
	}
	return a.current.target, nil
}
