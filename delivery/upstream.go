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

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// reportInterval is the shortest time between two reports to the leader.
const reportInterval = 200 * time.Millisecond

// fullReportInterval is the interval at which a report lists every proxy.
const fullReportInterval = time.Minute

// UpstreamOptions are the options of an Upstream.
type UpstreamOptions struct {
	ID, Zone string
	// Address is the address at which this source accepts sessions.
	Address netip.AddrPort
	// Post posts an event to the blackboard's loop.
	Post       func(ctx context.Context, event blackboard.Event) error
	Source     *Source
	Membership *target.Membership
	// ControlAddresses returns the addresses of the control instances, any of
	// which redirects to the leader.
	ControlAddresses func() []netip.AddrPort
	// ReceiveConfiguration is true for a relay, which receives the
	// configuration from the leader. A follower reads it from its ledger.
	ReceiveConfiguration bool
	// Timing is DefaultTiming if it is zero.
	Timing Timing
	Logger log.Logger
	Now    func() time.Time
	Rand   *rand.Rand
}

// Upstream is the session of a relay or a follower with the leader. It is a
// blackboard.Controller that must run after the Source and the Membership.
type Upstream struct {
	options UpstreamOptions
	link    *link
	// isLeader is true while this process leads and needs no session.
	isLeader atomic.Bool
	// boardVersion is the configuration version of the board.
	boardVersion atomic.Uint64

	mu sync.Mutex
	// replica is the state received from the leader. It is guarded by mu.
	replica replica
	// isOpen is true while a session is open, isUnsynced from its start until
	// the complete state has been queued for it. They are guarded by mu.
	isOpen, isUnsynced bool
	// openedAt is the time at which the last session was opened. It is guarded
	// by mu.
	openedAt time.Time
	// answeredAt is the time at which the last heartbeat that was answered in this session
	// was sent, zero before the first answer. It is guarded by mu.
	answeredAt time.Time
	// granted is the last share lease that the leader granted. It is guarded by mu.
	granted grant
	// outbox holds the messages for the leader. It is guarded by mu.
	outbox outbox
	// reportedAt is the time of the last call of addReport, fullReportedAt that
	// of the last report that listed every proxy. They belong to the goroutine
	// of the loop.
	reportedAt, fullReportedAt time.Time
}

// grant is a share lease for processes that have a configuration version or a later one.
type grant struct {
	version uint64
	until   time.Time
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
	u.link.backoff.limit = min(maxSourceBackoff, options.Timing.MaxBackoff)
	return u
}

// Run keeps a session with the leader open until the context ends.
func (u *Upstream) Run(ctx context.Context) error { return u.link.run(ctx) }

// Step collects changes of the board for the leader.
func (u *Upstream) Step(now time.Time, board *blackboard.Board) {
	u.isLeader.Store(board.Leadership.HoldsLease)
	u.boardVersion.Store(uint64(board.Configuration.Version))
	u.mu.Lock()
	defer u.mu.Unlock()
	if board.Leadership.HoldsLease {
		if !u.isOpen {
			// The next session begins with all targets.
			u.options.Membership.TakeChanges()
		}
		return
	}
	u.extendLease()
	announced, lost := u.options.Membership.TakeChanges()
	u.outbox.addEvidence(board.Evidence)
	board.Evidence = nil
	if !u.isOpen {
		return
	}
	if u.isUnsynced {
		announced = u.options.Membership.Local()
	}
	u.outbox.addTargets(announced, lost)
	hasTargetChanges := len(announced) > 0 || len(lost) > 0
	if u.isUnsynced || now.Sub(u.reportedAt) >= reportInterval {
		u.reportedAt = now
		u.addReport(now, board)
	}
	u.isUnsynced = false
	if hasTargetChanges || u.outbox.hasPending() {
		u.link.signal()
	}
}

// addReport adds a report to the outbox if it is full or differs from the last
// one.
func (u *Upstream) addReport(now time.Time, board *blackboard.Board) {
	isFull := u.isUnsynced || now.Sub(u.fullReportedAt) >= fullReportInterval
	if isFull {
		u.fullReportedAt = now
	}
	if report, isNew := u.options.Source.report(now, isFull, board); isNew {
		u.outbox.setReport(report)
	}
}

// recorded implements client. Sources answer the announcements of proxies only.
func (u *Upstream) recorded([]hornbeamwell.Target) {}

// departed implements client. A relay knows only from its source what is in the ledger.
func (u *Upstream) departed(departures []hornbeamwell.Departure) {
	_ = u.options.Post(context.Background(), func(now time.Time, _ *blackboard.Board) {
		u.options.Membership.RecordDepartures(now, departures)
	})
}

// request implements client.
func (u *Upstream) request() wire.OpenRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	role := wire.RoleFollower
	if u.options.ReceiveConfiguration {
		role = wire.RoleRelay
	}
	return u.replica.openRequest(wire.OpenRequest{
		ID:      u.options.ID,
		Zone:    u.options.Zone,
		Role:    role,
		Address: wire.FromAddress(u.options.Address),
	})
}

// opened implements client.
func (u *Upstream) opened(now time.Time) {
	u.mu.Lock()
	u.openedAt, u.answeredAt = now, time.Time{}
	u.isOpen, u.isUnsynced = true, true
	u.outbox.resetForNewSession()
	u.mu.Unlock()
	// The empty event makes the loop call Step without waiting for its tick.
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
		if errors.Is(err, errStaleRound) {
			return nil
		}
		updatesRefused.Inc()
		_ = u.options.Logger.Log("msg", "update from the leader refused", "err", err)
		return u.replica.resync(0)
	}
	u.replica.state = next
	u.mu.Unlock()
	_ = u.options.Post(context.Background(), func(_ time.Time, board *blackboard.Board) { u.writeBoard(board, next, update) })
	return nil
}

// writeBoard writes the leader's state to the board.
func (u *Upstream) writeBoard(board *blackboard.Board, next *subscriberState, update wire.Update) {
	if board.Leadership.HoldsLease {
		return
	}
	if update.Configuration != nil && u.options.ReceiveConfiguration && next.decoded.Configuration.Version > board.Configuration.Version {
		board.Configuration = next.decoded.Configuration
	}
	if update.Presence != nil {
		u.options.Membership.SetLeaderTargets(next.decoded.Targets)
	}
	if update.Proxies != nil {
		u.options.Source.setPreviousProxies(next.proxies)
	}
}

// resync implements client.
func (u *Upstream) resync() wire.Resync {
	u.mu.Lock()
	defer u.mu.Unlock()
	return *u.replica.resync(0)
}

// heartbeatReply implements client.
func (u *Upstream) heartbeatReply(sent time.Time, reply wire.HeartbeatReply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answeredAt = sent
	if reply.LeaseMs <= 0 {
		return
	}
	u.granted = grant{version: reply.Version, until: sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond)}
	u.options.Source.contact.extend(u.granted.until)
	u.extendLease()
}

// extendLease extends the source's share lease once the board has the configuration that the
// leader granted it for. The caller holds mu.
func (u *Upstream) extendLease() {
	if u.granted.version <= u.boardVersion.Load() {
		u.options.Source.lease.extend(u.granted.until)
	}
}

// version implements client.
func (u *Upstream) version() uint64 { return u.boardVersion.Load() }

// needsSession implements client.
func (u *Upstream) needsSession() bool { return !u.isLeader.Load() }

// shouldSwitch implements client. A leader that lost its lease ends the session
// itself; one that is partitioned becomes silent or sends no share lease, which counts from
// its answer to a heartbeat that was sent after the last one had ended.
func (u *Upstream) shouldSwitch(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	leaderUntil, stale := u.options.Source.contact.end(), u.options.Timing.StaleAfter
	hasAnswered := !u.answeredAt.IsZero() && !u.answeredAt.Before(leaderUntil)
	return hasAnswered && now.Sub(u.openedAt) > stale && now.Sub(leaderUntil) > stale
}

// outgoing implements client.
func (u *Upstream) outgoing(time.Time) []notification {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.outbox.take()
}
