package delivery

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// drainDelay bounds the time for which the news of a leaving target waits
	// for more.
	drainDelay = 30 * time.Millisecond
	// convergenceInterval is the time between two looks at all sessions.
	convergenceInterval = 100 * time.Millisecond
	// proxiesInterval is the time between two lists of all proxies.
	proxiesInterval = time.Second
	// defaultSettleTime is the time for which a new leader that does not know
	// the proxies waits for them before it says that a configuration is in
	// force.
	defaultSettleTime = 15 * time.Second
	// maxEvidence bounds the observations on the board.
	maxEvidence = 100_000
)

// SourceOptions configure a Source.
type SourceOptions struct {
	ID, Zone string
	// Post hands an event to the blackboard's loop.
	Post       func(ctx context.Context, event blackboard.Event) error
	Membership *target.Membership
	// LeaderAddress is where to send relays and followers when this process
	// does not lead, invalid where no leader is known.
	LeaderAddress func() netip.AddrPort
	// Sources are the addresses at which proxies find this and the other
	// sources. It may be nil.
	Sources func() []netip.AddrPort
	// SettleTime is the time for which a leader that knows of no proxies from
	// the one before says nothing of what is in force; 0 means 15 s.
	SettleTime time.Duration
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
	maker     *updateMaker
	// lease is how long this source's state is known to follow the leader's.
	lease leaderLease
	// peers holds the session of each connection, *wire.Peer to *session.
	peers sync.Map
	// The other fields belong to the goroutine of the loop.
	sessions    map[sessionKey]*session
	roster      *roster
	editions    *history[*edition]
	rolls       *history[*roll]
	state       wantedState
	rollMaker   *rollMaker
	targets     targetsSeen
	convergedAt time.Time
	// proxiesAt is the time of the last list of all proxies.
	proxiesAt time.Time
	// settledAt is the time from which a leader says what is in force.
	settledAt time.Time
	leadsNow  bool
	// inherited is the roster of the leader before, nil for none.
	inherited *mirror
	// rosterSeen and rosterAt are the published version of the roster and its
	// time.
	rosterSeen uint64
	rosterAt   time.Time
	// reported is the last report to the leader.
	reported wire.Report
}

// targetsSeen is what the source published of board.Targets.
type targetsSeen struct {
	version uint64
	at      time.Time
	// changedAt is the time since which a change waits, zero for none.
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
	if options.Sources == nil {
		options.Sources = func() []netip.AddrPort { return nil }
	}
	if options.LeaderAddress == nil {
		options.LeaderAddress = func() netip.AddrPort { return netip.AddrPort{} }
	}
	epoch := uint64(options.Now().UnixNano())
	return &Source{
		options:   options,
		epoch:     epoch,
		rollMaker: newRollMaker(epoch),
		admission: newAdmission(admissionsPerSecond, admissionBurst),
		maker:     newUpdateMaker(),
		sessions:  map[sessionKey]*session{},
		roster:    newRoster(),
		editions:  newHistory[*edition](editionsKept),
		rolls:     newHistory[*roll](rollsKept),
	}
}

// Register registers the handlers of sessions.
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
}

// Step publishes what changed on the board and writes what came from below.
func (s *Source) Step(now time.Time, board *blackboard.Board) {
	s.followLeadership(now, board)
	changed := s.publishConfiguration(board)
	changed = s.publishTargets(now, board) || changed
	changed = s.publishRoster(now, board) || changed
	if changed {
		for _, session := range s.sessions {
			session.want(s.state)
		}
	}
	if now.Sub(s.convergedAt) < convergenceInterval {
		return
	}
	s.convergedAt = now
	s.closeSilent(now)
	s.roster.forgetSilent(now)
	s.writeConvergence(now, board)
}

func (s *Source) followLeadership(now time.Time, board *blackboard.Board) {
	leads := board.Leadership.HoldsLease
	// Before the first configuration no proxy can have an older one.
	isFirst := board.Configuration.Version == 0
	if leads && !s.leadsNow && !s.takeInheritance(now) && !isFirst {
		s.settledAt = now.Add(s.options.SettleTime)
	}
	if !leads && s.leadsNow {
		s.dropSources(now)
		s.roster.dropBelow()
		s.state.proxies = nil
	}
	if leads {
		clear(s.roster.changed)
	}
	s.leadsNow = leads
	if leads {
		s.lease.extend(now.Add(s.options.Timing.ShareLease))
	}
}

// dropSources ends the sessions of relays and followers, which belong to the
// leader. They end before this source announces its targets to the next leader,
// which must not take it for their holder.
func (s *Source) dropSources(now time.Time) {
	for _, session := range s.sessions {
		if !session.isProxy() {
			_ = session.peer.Close()
			s.ended(now, session)
		}
	}
}

// publishConfiguration makes the board's configuration the wanted one.
func (s *Source) publishConfiguration(board *blackboard.Board) bool {
	current := s.state.edition
	if current != nil && current.whole.version >= uint64(board.Configuration.Version) {
		return false
	}
	made, err := newEdition(current, board.Configuration)
	if err != nil {
		hornbeamwell.ReportViolation("configuration_encodes", "%v", err)
		return false
	}
	if current != nil {
		current.supersede()
	}
	s.editions.add(uint64(board.Configuration.Version), made)
	s.state.edition = made
	return true
}

// publishTargets makes the board's targets the wanted ones. News of a leaving
// target waits for drainDelay at most, other news for Timing.Presence.
func (s *Source) publishTargets(now time.Time, board *blackboard.Board) bool {
	if s.state.roll != nil && s.targets.version == board.TargetsVersion {
		return false
	}
	if s.targets.changedAt.IsZero() {
		s.targets.changedAt = now
	}
	if s.state.roll != nil && !s.isTargetsDue(now) {
		return false
	}
	made, err := s.rollMaker.make(board.TargetsVersion, board.Targets, s.options.Membership.TakeChangedIDs())
	if err != nil {
		hornbeamwell.ReportViolation("targets_encode", "%v", err)
		return false
	}
	s.rolls.add(board.TargetsVersion, made)
	s.state.roll = made
	s.targets = targetsSeen{version: board.TargetsVersion, at: now}
	return true
}

func (s *Source) isTargetsDue(now time.Time) bool {
	if now.Sub(s.targets.at) < drainDelay {
		return false
	}
	delay := s.options.Timing.Presence
	if now.Sub(s.targets.changedAt) >= delay || now.Sub(s.targets.at) >= delay {
		return true
	}
	return s.options.Membership.LeavingVersion() > s.targets.version
}

// closeSilent ends the sessions that were not heard from.
func (s *Source) closeSilent(now time.Time) {
	for _, session := range s.sessions {
		heardAt := time.Unix(0, session.heardAt.Load())
		if now.Sub(heardAt) > s.options.Timing.Silence {
			sessionsSilent.Inc()
			_ = session.peer.Close()
			s.ended(now, session)
		}
	}
}

// writeConvergence writes the proxies and the convergence to the board.
func (s *Source) writeConvergence(now time.Time, board *blackboard.Board) {
	c := s.roster.convergence(board.Configuration.Version, s.sessions)
	if now.Before(s.settledAt) {
		c.Watermark = 0
	}
	if c.IsInForce(c.Version) && len(c.Behind) > 0 {
		hornbeamwell.ReportViolation("watermark_not_above_minimum", "version %d in force with %d proxies behind", c.Version, len(c.Behind))
	}
	board.Convergence = c
	if now.Sub(s.proxiesAt) >= proxiesInterval {
		s.proxiesAt = now
		board.Proxies = s.roster.proxies(s.sessions)
	}
}

// ended removes a session that has ended.
func (s *Source) ended(now time.Time, ended *session) {
	if s.sessions[ended.key()] != ended {
		return
	}
	delete(s.sessions, ended.key())
	id, holder := ended.request.ID, ended.holder()
	heardAt := time.Unix(0, ended.heardAt.Load())
	switch {
	case !ended.isProxy():
		s.roster.sourceEnded(id, ended.saidGoodbye.Load())
		s.options.Membership.SessionLost(now, holder)
	case ended.saidGoodbye.Load():
		s.roster.left(id, ended.request.Session)
		s.options.Membership.SessionClosed(now, holder)
	default:
		s.roster.silent(id, ended.request.Session, heardAt)
		s.options.Membership.SessionLost(now, holder)
	}
}
