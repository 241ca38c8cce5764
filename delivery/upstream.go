package delivery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// reportInterval is the time in which reports to the leader gather.
const reportInterval = 200 * time.Millisecond

// fullReportInterval is the time after which a report names every proxy again.
const fullReportInterval = time.Minute

// UpstreamOptions configure an Upstream.
type UpstreamOptions struct {
	ID, Zone string
	// Address is where this source takes sessions.
	Address netip.AddrPort
	// Post hands an event to the blackboard's loop.
	Post       func(ctx context.Context, event blackboard.Event) error
	Source     *Source
	Membership *target.Membership
	// ControlAddresses are the control instances to ask for the leader.
	ControlAddresses func() []netip.AddrPort
	// ReceiveConfiguration is true for a relay. A follower has the configuration
	// from its ledger.
	ReceiveConfiguration bool
	// Timing is DefaultTiming if it is zero.
	Timing Timing
	Logger log.Logger
	Now    func() time.Time
	Rand   *rand.Rand
}

// Upstream is the session of a relay or a follower with the leader. It is a
// blackboard.Controller, which stands behind the Source and the Membership.
type Upstream struct {
	options UpstreamOptions
	link    *link
	// leads is true while this process is the leader and needs no session.
	leads atomic.Bool
	// version is the configuration version of the board.
	boardVersion atomic.Uint64

	mu sync.Mutex
	// replica is the state that the leader sent. It is guarded by mu.
	replica replica
	// isOpen and isFresh say that a session is open and that it has not been
	// told everything yet. They are guarded by mu.
	isOpen, isFresh bool
	// openedAt is the time of the last session. It is guarded by mu.
	openedAt time.Time
	// outbox is what the leader has to be told. It is guarded by mu.
	outbox outbox
	// reportedAt and reportedAllAt are the times of the last report and of the
	// last one that named every proxy. They belong to the loop.
	reportedAt, reportedAllAt time.Time
}

// NewUpstream returns an upstream without a session.
func NewUpstream(options UpstreamOptions) *Upstream {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	options.Timing = options.Timing.orDefault()
	u := &Upstream{options: options, replica: newReplica(), outbox: newOutbox()}
	u.link = newLink(u, options.ControlAddresses, options.Timing, options.Now, options.Rand, options.Logger)
	u.link.backoff.longest = min(sourceBackoffCap, options.Timing.LongestBackoff)
	return u
}

// Run keeps a session with the leader until the context ends.
func (u *Upstream) Run(ctx context.Context) error { return u.link.run(ctx) }

// Step gathers what the leader has to be told.
func (u *Upstream) Step(now time.Time, board *blackboard.Board) {
	u.leads.Store(board.Leadership.HoldsLease)
	u.boardVersion.Store(uint64(board.Configuration.Version))
	if board.Leadership.HoldsLease {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	announced, lost := u.options.Membership.TakeChanges()
	u.outbox.addEvidence(board.Evidence)
	board.Evidence = nil
	if !u.isOpen {
		return
	}
	if u.isFresh {
		announced = u.options.Membership.Local()
	}
	u.outbox.addTargets(announced, lost)
	isLeaving := len(announced) > 0 || len(lost) > 0
	if u.isFresh || now.Sub(u.reportedAt) >= reportInterval {
		u.reportedAt = now
		u.addReport(now, board)
	}
	u.isFresh = false
	if isLeaving || u.outbox.isDue() {
		u.link.signal()
	}
}

// addReport puts a report into the outbox if it says anything new.
func (u *Upstream) addReport(now time.Time, board *blackboard.Board) {
	isFull := u.isFresh || now.Sub(u.reportedAllAt) >= fullReportInterval
	if isFull {
		u.reportedAllAt = now
	}
	if report, isNew := u.options.Source.report(now, isFull, board); isNew {
		u.outbox.setReport(report)
	}
}

// request implements client.
func (u *Upstream) request() wire.OpenRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	role := wire.RoleFollower
	if u.options.ReceiveConfiguration {
		role = wire.RoleRelay
	}
	return u.replica.open(wire.OpenRequest{
		ID:      u.options.ID,
		Zone:    u.options.Zone,
		Role:    role,
		Address: wire.FromAddress(u.options.Address),
	})
}

// opened implements client.
func (u *Upstream) opened(now time.Time) {
	u.mu.Lock()
	u.openedAt = now
	u.isOpen, u.isFresh = true, true
	u.outbox.clear()
	u.mu.Unlock()
	_ = u.options.Post(context.Background(), func(time.Time, *blackboard.Board) {})
}

// closed implements client.
func (u *Upstream) closed(time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isOpen = false
}

// update implements client.
func (u *Upstream) update(_ time.Time, update wire.Update) *wire.Resync {
	u.mu.Lock()
	next, err := u.replica.receive(update)
	if err != nil {
		defer u.mu.Unlock()
		if errors.Is(err, errPassedOver) {
			return nil
		}
		updatesRefused.Inc()
		_ = u.options.Logger.Log("msg", "update from the leader refused", "err", err)
		return u.replica.resync(0)
	}
	u.replica.held = next
	u.mu.Unlock()
	_ = u.options.Post(context.Background(), func(_ time.Time, board *blackboard.Board) { u.write(board, next, update) })
	return nil
}

// write puts the leader's state on the board.
func (u *Upstream) write(board *blackboard.Board, next *heldState, update wire.Update) {
	if board.Leadership.HoldsLease {
		return
	}
	if update.Configuration != nil && u.options.ReceiveConfiguration && next.decoded.Configuration.Version > board.Configuration.Version {
		board.Configuration = next.decoded.Configuration
	}
	if update.Presence != nil {
		u.options.Membership.Follow(next.decoded.Targets)
	}
	if update.Proxies != nil {
		u.options.Source.inheritProxies(next.proxies)
	}
}

// resync implements client.
func (u *Upstream) resync() wire.Resync {
	u.mu.Lock()
	defer u.mu.Unlock()
	return *u.replica.resync(0)
}

// beat implements client. The leader's word counts only while this source has
// the leader's configuration.
func (u *Upstream) beat(sent time.Time, beat wire.HeartbeatReply) {
	if beat.LeaseMs <= 0 || beat.Version > u.boardVersion.Load() {
		return
	}
	u.options.Source.lease.extend(sent.Add(time.Duration(beat.LeaseMs) * time.Millisecond))
}

// version implements client.
func (u *Upstream) version() uint64 { return u.boardVersion.Load() }

// wantsSession implements client.
func (u *Upstream) wantsSession() bool { return !u.leads.Load() }

// dismisses implements client. A leader that lost its lease ends the session
// itself; one that is cut off falls silent or gives no lease.
func (u *Upstream) dismisses(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.openedAt) > u.options.Timing.Stale && now.Sub(u.options.Source.lease.end()) > u.options.Timing.Stale
}

// outgoing implements client.
func (u *Upstream) outgoing(time.Time) []notification {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.outbox.take()
}
