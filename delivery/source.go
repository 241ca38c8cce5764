package delivery

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// drainDelay limits the time for which the change of a target that drains
	// or stops is delayed to be combined with others.
	drainDelay = 30 * time.Millisecond
	// convergenceInterval is the interval at which silent sessions are closed
	// and the convergence is written to the board.
	convergenceInterval = 100 * time.Millisecond
	// proxiesInterval is the interval at which the list of all proxies is
	// written to the board.
	proxiesInterval = time.Second
	// defaultSettleTime is the time for which a new leader that does not know
	// the proxies waits for them to connect before it reports a configuration
	// as in force.
	defaultSettleTime = 15 * time.Second
	// maxObservations limits the observations on the board.
	maxObservations = 100_000
)

// SourceAddress is the address of a source and its availability zone, which is empty
// if it is not known.
type SourceAddress struct {
	Address netip.AddrPort
	Zone    string
}

// SourceOptions are the options of a Source.
type SourceOptions struct {
	ID, Zone string
	// Post posts an event to the blackboard's loop.
	Post       func(ctx context.Context, event blackboard.Event) error
	Membership *target.Membership
	// LeaderAddress returns the address to which relays and followers are
	// redirected when this process does not lead. It is invalid if no leader is
	// known.
	LeaderAddress func() netip.AddrPort
	// HoldsLease reports whether this process holds the leader's lease at the moment of the
	// call. If it is nil, it does while the board says so.
	HoldsLease func() bool
	// Sources returns this source and the others as proxies can reach them. It
	// may be nil.
	Sources func() []SourceAddress
	// SettleTime is the time for which a leader that has no list of proxies
	// from the previous leader does not report what is in force; 0 means 15 s.
	SettleTime time.Duration
	// HistoryBytes bounds the memory of the past configurations, and that of the past versions
	// of the targets, from which a source can send changes. PartBytes bounds that of the
	// changes that are kept for several subscribers. 0 means 8 MiB and 4 MiB.
	HistoryBytes, PartBytes int
	// Timing is DefaultTiming if it is zero.
	Timing Timing
	Logger log.Logger
	Now    func() time.Time
}

// Source serves sessions to proxies, relays and followers. It is a
// blackboard.Controller: Step runs on the goroutine of the loop.
type Source struct {
	options   SourceOptions
	epoch     uint64
	admission *admission
	updates   *updateBuilder
	// lease is this source's share lease. Replies to heartbeats contain its
	// remaining time.
	lease shareLease
	// contact is the time until which the leader is known to lead, also while this source
	// is behind it and has no share lease. It is not extended by the leader itself.
	contact shareLease
	// peers holds the session of each connection (*wire.Peer to *session).
	peers sync.Map
	// The following fields belong to the goroutine of the loop.
	sessions       map[sessionKey]*session
	registry       *proxyRegistry
	configurations *history[*configOutline]
	presences      *history[*presenceOutline]
	// lastOutline is the newest one in configurations, nil if there is none.
	lastOutline     *configOutline
	desired         desiredState
	presenceBuilder *presenceBuilder
	published       publishedTargets
	// convergenceAt is the time at which the convergence was last written.
	convergenceAt time.Time
	// judgeSilenceAt is the time from which silent sessions are closed. It is later than now
	// after a delay of this process, during which the subscribers may not have run either.
	judgeSilenceAt time.Time
	// proxiesAt is the time at which the list of all proxies was last written.
	proxiesAt time.Time
	// settledAt is the time from which a leader reports what is in force.
	settledAt time.Time
	isLeader  bool
	// previousProxies is the registry received from the leader, nil if there is
	// none. This source adopts it when it becomes the leader.
	previousProxies *streamState
	// publishedRegistry and registryPublishedAt are the last published version
	// of the registry and the time of its publication.
	publishedRegistry   uint64
	registryPublishedAt time.Time
	// lastReport is the last report to the leader.
	lastReport wire.Report
	// skippedLines bounds the log lines about targets that no proxy can use.
	skippedLines *rate.Limiter
}

// publishedTargets is the state of the publication of board.Targets.
type publishedTargets struct {
	// version and at are the version and the time of the last publication.
	version uint64
	at      time.Time
	// changedAt is the time of the first unpublished change, zero if there is
	// none.
	changedAt time.Time
}

// NewSource returns a source without sessions.
func NewSource(options SourceOptions) *Source {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	options.Timing = options.Timing.orDefault()
	if options.SettleTime == 0 {
		options.SettleTime = defaultSettleTime
	}
	options.HistoryBytes = cmp.Or(options.HistoryBytes, defaultHistoryBytes)
	options.PartBytes = cmp.Or(options.PartBytes, defaultPartBytes)
	if options.Sources == nil {
		options.Sources = func() []SourceAddress { return nil }
	}
	if options.HoldsLease == nil {
		options.HoldsLease = func() bool { return true }
	}
	if options.LeaderAddress == nil {
		options.LeaderAddress = func() netip.AddrPort { return netip.AddrPort{} }
	}
	epoch := uint64(options.Now().UnixNano())
	return &Source{
		options:         options,
		epoch:           epoch,
		presenceBuilder: newPresenceBuilder(epoch),
		admission:       newAdmission(admissionsPerSecond, admissionBurst),
		updates:         newUpdateBuilder(options.PartBytes),
		skippedLines:    rate.NewLimiter(1, 1),
		sessions:        map[sessionKey]*session{},
		registry:        newProxyRegistry(),
		configurations:  newHistory[*configOutline](maxConfigHistory, options.HistoryBytes),
		presences:       newHistory[*presenceOutline](maxPresenceHistory, options.HistoryBytes),
	}
}

// Register registers the session handlers on the mux.
func (s *Source) Register(mux *wire.Mux) {
	wire.Handle(mux, wire.MethodOpen, s.handleOpen)
	wire.Handle(mux, wire.MethodHeartbeat, s.handleHeartbeat)
	wire.Handle(mux, wire.MethodResync, s.handleResync)
	wire.Handle(mux, wire.MethodInterests, s.handleInterests)
	wire.Handle(mux, wire.MethodAnnounce, s.handleAnnounce)
	wire.Handle(mux, wire.MethodLost, s.handleLost)
	wire.Handle(mux, wire.MethodReport, s.handleReport)
	wire.Handle(mux, wire.MethodEvidence, s.handleEvidence)
	wire.Handle(mux, wire.MethodGoodbye, s.handleGoodbye)
	wire.Handle(mux, wire.MethodMoving, s.handleMoving)
}

// Step publishes changes of the board to the sessions and writes the proxies
// and the convergence to the board.
func (s *Source) Step(now time.Time, board *blackboard.Board) {
	s.updateLeadership(now, board)
	s.reportDepartures()
	changed := s.publishConfiguration(board)
	changed = s.publishTargets(now, board) || changed
	changed = s.publishRegistry(now, board) || changed
	if changed {
		for _, sess := range s.sessions {
			sess.setDesired(s.desired)
		}
	}
	if now.Sub(s.convergenceAt) < convergenceInterval {
		return
	}
	if now.Sub(s.convergenceAt) > s.options.Timing.SilenceTimeout/2 {
		s.judgeSilenceAt = now.Add(2 * s.options.Timing.HeartbeatInterval)
	}
	s.convergenceAt = now
	s.closeSilent(now)
	s.registry.expireMoves(now)
	s.registry.removeSilent(now)
	s.writeConvergence(now, board)
}

func (s *Source) updateLeadership(now time.Time, board *blackboard.Board) {
	holdsLease := board.Leadership.HoldsLease
	// Before the first configuration no proxy can have an older one.
	isUnconfigured := board.Configuration.Version == 0
	if holdsLease && !s.isLeader && !s.adoptPreviousProxies(now) && !isUnconfigured {
		s.settledAt = now.Add(s.options.SettleTime)
	}
	if !holdsLease && s.isLeader {
		s.dropSources(now)
		s.registry.dropDownstream()
		s.desired.proxies = nil
	}
	if holdsLease {
		clear(s.registry.unreported)
	}
	s.isLeader = holdsLease
	// After a delay of this process the board may be older than the end of the leader's lease.
	if holdsLease && s.options.HoldsLease() {
		s.lease.extend(now.Add(s.options.Timing.ShareLease))
	}
}

// dropSources closes the sessions of relays and followers when this source
// stops leading. They must end before this source announces its targets to the
// next leader. Otherwise it would announce the targets of those sessions too,
// and the next leader would assign them to this source.
func (s *Source) dropSources(now time.Time) {
	for _, sess := range s.sessions {
		if !sess.isProxy() {
			_ = sess.peer.Close()
			s.removeSession(now, sess)
		}
	}
}

// publishConfiguration publishes the board's configuration. It reports whether
// the desired state changed.
func (s *Source) publishConfiguration(board *blackboard.Board) bool {
	current := s.desired.configuration
	if current != nil && current.full.version >= uint64(board.Configuration.Version) {
		return false
	}
	next, err := newConfigSnapshot(current, board.Configuration)
	if err != nil {
		hornbeamwell.ReportViolation("configuration_encodes", "%v", err)
		return false
	}
	if current != nil {
		s.keepOutline(current.supersede())
	}
	s.desired.configuration = next
	return true
}

// keepOutline adds the outline of a past configuration to the history.
func (s *Source) keepOutline(outline *configOutline) {
	outline.shareWith(s.lastOutline)
	s.lastOutline = outline
	s.configurations.add(outline.full.version, outline)
	historyBytes.Set(uint64(s.configurations.bytes + s.presences.bytes))
}

// publishTargets publishes the board's targets and reports whether the desired
// state changed. The change of a target that drains or stops is delayed by at
// most drainDelay, any other change by at most Timing.PresenceDelay.
func (s *Source) publishTargets(now time.Time, board *blackboard.Board) bool {
	if s.desired.presence != nil && s.published.version == board.TargetsVersion {
		return false
	}
	if s.published.changedAt.IsZero() {
		s.published.changedAt = now
	}
	if s.desired.presence != nil && !s.areTargetsDue(now) {
		return false
	}
	next, err := s.presenceBuilder.build(board.TargetsVersion, board.Targets, s.options.Membership.TakeChangedIDs())
	if err != nil {
		hornbeamwell.ReportViolation("targets_encode", "%v", err)
		return false
	}
	s.presences.add(board.TargetsVersion, next.outlined())
	historyBytes.Set(uint64(s.configurations.bytes + s.presences.bytes))
	s.desired.presence = next
	s.published = publishedTargets{version: board.TargetsVersion, at: now}
	return true
}

func (s *Source) areTargetsDue(now time.Time) bool {
	if now.Sub(s.published.at) < drainDelay {
		return false
	}
	delay := s.options.Timing.PresenceDelay
	if now.Sub(s.published.changedAt) >= delay || now.Sub(s.published.at) >= delay {
		return true
	}
	return s.options.Membership.UnreadyVersion() > s.published.version
}

// closeSilent closes the sessions on which nothing has arrived for Timing.SilenceTimeout.
// The bytes of a message that has not arrived as a whole are signs of life.
func (s *Source) closeSilent(now time.Time) {
	for _, sess := range s.sessions {
		if sess.partial.hasGrown(sess.peer) {
			sess.touch(now)
			sess.reportReceiving()
		}
		if now.Before(s.judgeSilenceAt) || !sess.isSilent(now, s.options.Timing.SilenceTimeout) || sess.peer.HasBacklog() {
			continue
		}
		// A message that is handled meanwhile counts, since the time is looked up last.
		lastContact := time.Unix(0, sess.lastContact.Load())
		if now.Sub(lastContact) > s.options.Timing.SilenceTimeout {
			sessionsSilent.Inc()
			_ = s.options.Logger.Log("event", "session_silent", "session", sess.sessionID(), "silent_ms", now.Sub(lastContact).Milliseconds(),
				"unhandled_bytes", sess.peer.Unhandled(), "backlog", sess.peer.HasBacklog())
			_ = sess.peer.Close()
			s.removeSession(now, sess)
		}
	}
}

// writeConvergence writes the proxies and the convergence to the board.
func (s *Source) writeConvergence(now time.Time, board *blackboard.Board) {
	c := s.registry.overallConvergence(board.Configuration.Version, s.sessions)
	if now.Before(s.settledAt) {
		c.Watermark = 0
	}
	if c.IsInForce(c.Version) && len(c.Behind) > 0 {
		hornbeamwell.ReportViolation("watermark_not_above_minimum", "version %d in force with %d proxies behind", c.Version, len(c.Behind))
	}
	board.Convergence = c
	if now.Sub(s.proxiesAt) >= proxiesInterval {
		s.proxiesAt = now
		board.Proxies = s.registry.proxies(s.sessions)
	}
}

// removeSession removes a session that has ended.
func (s *Source) removeSession(now time.Time, sess *session) {
	if s.sessions[sess.key()] != sess {
		return
	}
	delete(s.sessions, sess.key())
	id, sessionID := sess.request.ID, sess.sessionID()
	lastContact := time.Unix(0, sess.lastContact.Load())
	switch {
	case !sess.isProxy():
		s.registry.sourceClosed(id, sess.saidGoodbye.Load())
		s.options.Membership.SessionLost(now, sessionID)
	case sess.saidGoodbye.Load():
		s.registry.removeSession(id, sess.request.Session)
		s.options.Membership.SessionClosed(now, sessionID)
	case sess.isMoving.Load():
		s.registry.markMoving(now, sess.request.Session, sess.status())
		s.options.Membership.SessionLost(now, sessionID)
	default:
		s.registry.markSilent(id, sess.request.Session, lastContact)
		s.options.Membership.SessionLost(now, sessionID)
	}
}

// reportDepartures tells the sessions which departures of their targets came into the ledger.
func (s *Source) reportDepartures() {
	departed := s.options.Membership.TakeDeparted()
	if len(departed) == 0 {
		return
	}
	for _, sess := range s.sessions {
		sess.reportDeparted(departed[sess.sessionID()])
	}
}
