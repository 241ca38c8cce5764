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
	// RenewInterval is the time within which a target renews its
	// announcement.
	RenewInterval = 3 * time.Second
	// renewLease is the time after the last renewal at which a target counts
	// as crashed.
	renewLease = 10 * time.Second
	// DrainBound is the time after which a draining target is gone, whether or
	// not it withdrew.
	DrainBound = 2 * time.Minute
	// leaseCheck is the time between two looks at the lease.
	leaseCheck = 500 * time.Millisecond
)

// ErrNoTarget means that no target is announced.
var ErrNoTarget = errors.New("no target is announced at this proxy")

var (
	renewals    = metrics.NewCounter("hornbeamwell_announcer_renewals_total")
	leaseEnds   = metrics.NewCounter("hornbeamwell_announcer_lease_ends_total")
	drains      = metrics.NewCounter("hornbeamwell_announcer_drains_total")
	refusedAnns = metrics.NewCounter("hornbeamwell_announcer_refused_total")
)

// AnnouncerOptions configure an Announcer.
type AnnouncerOptions struct {
	// ID is the id of the proxy, which is the id of its target as well.
	ID   string
	Zone string
	// Exit is the address of the proxy for calls to the target.
	Exit netip.AddrPort
	// OnChange is called with the target and its address after every change,
	// one call at a time. It must not call the announcer.
	OnChange func(target hornbeamwell.Target, local netip.AddrPort)
	Logger   log.Logger
	Now      func() time.Time
}

// Announcer takes the announcements of the target beside a proxy.
type Announcer struct {
	options AnnouncerOptions

	mu sync.Mutex
	// current is nil where no target was announced. It is guarded by mu.
	current *presence
	// lastIncarnation is the highest one seen. It is guarded by mu.
	lastIncarnation uint64
}

// presence is an announced target.
type presence struct {
	announcement Announcement
	target       hornbeamwell.Target
	// renewedAt is the time of the last renewal.
	renewedAt time.Time
	// sequence is the highest one announced. It never decreases.
	sequence uint64
	// isWithdrawn is true once the target said that it is gone.
	isWithdrawn bool
	// drainEnds is zero unless the target drains.
	drainEnds time.Time
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
	return &Announcer{options: options}
}

// Run ends the lease of a target that does not renew it, until the context
// ends.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheck)
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

// Announce takes an announcement or a renewal, which is an announcement that
// repeats the one before.
func (a *Announcer) Announce(now time.Time, announcement Announcement) (hornbeamwell.Target, error) {
	if err := announcement.Check(); err != nil {
		refusedAnns.Inc()
		return hornbeamwell.Target{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkIncarnation(announcement); err != nil {
		refusedAnns.Inc()
		return hornbeamwell.Target{}, err
	}
	if a.isLate(announcement) || a.isWithdrawn(announcement) {
		return a.current.target, nil
	}
	if a.isRenewal(announcement) {
		renewals.Inc()
		a.current.renewedAt = now
		a.current.sequence = max(a.current.sequence, announcement.Sequence)
		if announcement.IsDraining {
			a.startDrain(now)
		}
		return a.current.target, nil
	}
	a.replace(now, announcement)
	return a.current.target, nil
}

// checkIncarnation refuses the announcement of an earlier start.
func (a *Announcer) checkIncarnation(announcement Announcement) error {
	given := announcement.Incarnation
	if given == 0 || given >= a.lastIncarnation {
		return nil
	}
	return &StaleIncarnationError{Given: given, Known: a.lastIncarnation}
}

// isLate reports whether a later announcement of the same incarnation came
// before this one. It changes nothing.
func (a *Announcer) isLate(announcement Announcement) bool {
	if a.current == nil || announcement.Sequence == 0 || announcement.Incarnation != a.lastIncarnation {
		return false
	}
	return announcement.Sequence <= a.current.sequence
}

// isWithdrawn reports whether the target said before that it is gone. Its last
// announcements may come after that.
func (a *Announcer) isWithdrawn(announcement Announcement) bool {
	return a.current != nil && a.current.isWithdrawn && announcement.Incarnation != 0 &&
		a.current.announcement.isSameTarget(announcement)
}

// isRenewal reports whether the announcement repeats that of the target which
// is present. A target that drains and goes on renewing keeps draining; only a
// higher incarnation, or its end, lets it start anew.
func (a *Announcer) isRenewal(announcement Announcement) bool {
	if a.current == nil {
		return false
	}
	same := a.current.announcement.isSameTarget(announcement)
	return same && a.current.target.State != hornbeamwell.TargetGone
}

// replace makes the announcement the present one.
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
	a.number(now, announcement, &target)
	a.lastIncarnation = target.Incarnation
	a.current = &presence{announcement: announcement, target: target, renewedAt: now, sequence: announcement.Sequence}
	if announcement.IsDraining {
		a.current.target.State, a.current.drainEnds = hornbeamwell.TargetDraining, now.Add(DrainBound)
		target = a.current.target
	}
	_ = a.options.Logger.Log("event", "target_announced", "target", target.ID, "name", target.Name, "service", target.Service,
		"version", target.Version, "incarnation", target.Incarnation, "sequence", target.Sequence, "slots", target.Slots)
	a.options.OnChange(target, announcement.Address)
}

// number sets the incarnation and the sequence. A change of the announcement
// within an incarnation takes the next sequence and keeps the time at which
// the target was first ready.
func (a *Announcer) number(now time.Time, announcement Announcement, target *hornbeamwell.Target) {
	target.Incarnation = announcement.Incarnation
	if target.Incarnation == 0 {
		// The clock keeps incarnations growing when the proxy restarts.
		target.Incarnation = max(uint64(now.UnixMilli()), a.lastIncarnation+1)
	}
	if isFirst := a.current == nil || a.current.target.Incarnation != target.Incarnation; isFirst && announcement.Sequence > 0 {
		// The target's own count goes on when the proxy restarts beside it.
		target.Sequence = announcement.Sequence << changeBits
		return
	} else if isFirst {
		// The clock keeps sequences growing when the proxy restarts beside a
		// target that goes on.
		target.Sequence = uint64(now.UnixMilli())
		return
	}
	target.Sequence = a.current.target.Sequence + 1
	if a.current.target.State == hornbeamwell.TargetReady {
		target.ReadyAt = a.current.target.ReadyAt
	}
}

// changeBits leaves room for the proxy's own changes between two announcements
// that the target numbers.
const changeBits = 16

// Drain stops new work to the target. The target is gone when it drains again
// after its last call, or after DrainBound.
func (a *Announcer) Drain(now time.Time) (hornbeamwell.Target, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.target.State == hornbeamwell.TargetGone {
		return hornbeamwell.Target{}, ErrNoTarget
	}
	a.startDrain(now)
	return a.current.target, nil
}

func (a *Announcer) startDrain(now time.Time) {
	if a.current.target.State != hornbeamwell.TargetReady {
		return
	}
	drains.Inc()
	a.current.drainEnds = now.Add(DrainBound)
	a.enter(hornbeamwell.TargetDraining)
}

// Withdraw says that the target is gone. It is called after the target's last
// call has ended.
func (a *Announcer) Withdraw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return
	}
	a.current.isWithdrawn = true
	if a.current.target.State != hornbeamwell.TargetGone {
		a.enter(hornbeamwell.TargetGone)
	}
}

// Tick ends the lease of a target that was not renewed in time.
func (a *Announcer) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.target.State == hornbeamwell.TargetGone {
		return
	}
	isDrained := !a.current.drainEnds.IsZero() && !now.Before(a.current.drainEnds)
	isSilent := now.Sub(a.current.renewedAt) >= renewLease
	switch {
	case isDrained:
		a.enter(hornbeamwell.TargetGone)
	case isSilent && a.current.drainEnds.IsZero():
		leaseEnds.Inc()
		_ = a.options.Logger.Log("msg", "target stopped renewing", "service", a.current.target.Service)
		a.enter(hornbeamwell.TargetGone)
	}
}

// enter changes the state of the present target.
func (a *Announcer) enter(state hornbeamwell.TargetState) {
	_ = a.options.Logger.Log("event", "target_"+string(state), "target", a.current.target.ID, "name", a.current.target.Name,
		"service", a.current.target.Service, "incarnation", a.current.target.Incarnation)
	a.current.target.State = state
	a.current.target.Sequence++
	a.options.OnChange(a.current.target, a.current.announcement.Address)
}

// Current returns the target as last announced.
func (a *Announcer) Current() (hornbeamwell.Target, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return hornbeamwell.Target{}, ErrNoTarget
	}
	return a.current.target, nil
}
