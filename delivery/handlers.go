package delivery

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// ErrNoSession means that a message came before the session was open.
var ErrNoSession = errors.New("no session is open on this connection")

// handleOpen opens a session unless the caller has to wait or to go elsewhere.
func (s *Source) handleOpen(ctx context.Context, p *wire.Peer, request wire.OpenRequest) (wire.OpenResponse, error) {
	now := s.options.Now()
	response := wire.OpenResponse{Source: s.options.ID}
	if request.Role != wire.RoleProxy {
		return s.openSource(ctx, p, request, response)
	}
	wait, ticket := s.admission.admit(now, request.Ticket)
	if wait > 0 {
		sessionsDeferred.Inc()
		response.RetryAfterMs, response.Ticket = max(wait.Milliseconds(), 1), ticket
		return response, nil
	}
	return s.open(ctx, p, request, response)
}

// openSource opens the session of a relay or a follower at the leader, and
// sends it to the leader otherwise.
func (s *Source) openSource(ctx context.Context, p *wire.Peer, request wire.OpenRequest, response wire.OpenResponse) (wire.OpenResponse, error) {
	leads := false
	err := s.do(ctx, func(_ time.Time, board *blackboard.Board) { leads = board.Leadership.HoldsLease })
	if err != nil {
		return response, err
	}
	if leads {
		return s.open(ctx, p, request, response)
	}
	response.Redirect = wire.FromAddress(s.options.LeaderAddress())
	if response.Redirect == "" {
		response.RetryAfterMs = max(s.options.Timing.Heartbeat.Milliseconds()/4, 1)
	}
	return response, nil
}

func (s *Source) open(ctx context.Context, p *wire.Peer, request wire.OpenRequest, response wire.OpenResponse) (wire.OpenResponse, error) {
	opened := newSession(s.options.Now(), p, request)
	err := s.do(ctx, func(now time.Time, _ *blackboard.Board) { s.enter(now, opened) })
	if err != nil {
		return response, err
	}
	s.keep(p, opened)
	response.NeedGroups = opened.needsGroups()
	sessionsOpened.Inc()
	go opened.write(context.WithoutCancel(ctx), s.maker)
	opened.signal()
	return response, nil
}

// enter makes the session the one of its id. A session that this source opened to
// itself, since it did not lead for a moment, is closed: when it ended, the source
// would count as lost for as long as it leads.
func (s *Source) enter(now time.Time, opened *session) {
	if !opened.isProxy() && opened.request.ID == s.options.ID {
		_ = opened.peer.Close()
		return
	}
	if old, found := s.sessions[opened.key()]; found {
		if old.request.Session > opened.request.Session {
			_ = opened.peer.Close()
			return
		}
		s.ended(now, old)
		_ = old.peer.Close()
	}
	s.sessions[opened.key()] = opened
	if opened.isProxy() {
		s.roster.opened(now, opened.request.Session, opened.status())
	} else {
		s.roster.sourceOpened(now, opened.status())
	}
	opened.resume(s.editions, s.rolls, s.state)
}

// do runs an event on the loop and waits for it.
func (s *Source) do(ctx context.Context, event blackboard.Event) error {
	done := make(chan struct{})
	err := s.options.Post(ctx, func(now time.Time, board *blackboard.Board) {
		event(now, board)
		close(done)
	})
	if err != nil {
		return fmt.Errorf("post event: %w", err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the control loop: %w", ctx.Err())
	}
}

// handleHeartbeat takes the acknowledgement and answers with the lease.
func (s *Source) handleHeartbeat(_ context.Context, p *wire.Peer, beat wire.Heartbeat) (any, error) {
	opened, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	before := opened.acknowledged.Swap(beat.Version)
	if before != beat.Version {
		acknowledgements.Inc()
	}
	if before > beat.Version {
		hornbeamwell.ReportViolation("acknowledgement_never_decreases", "%s: version %d after %d", opened.request.ID, beat.Version, before)
	}
	opened.answerWith(s.options.Now(), beat.Stamp, &s.lease, s.options.Sources())
	return nil, nil
}

// handleResync takes what the subscriber holds.
func (s *Source) handleResync(_ context.Context, p *wire.Peer, resync wire.Resync) (any, error) {
	opened, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	resyncsAsked.Inc()
	opened.holds(resync)
	return nil, nil
}

// handleInterests takes the services that the proxy's callers use from now on.
func (s *Source) handleInterests(_ context.Context, p *wire.Peer, interests wire.Interests) (any, error) {
	opened, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	opened.setInterests(interests.Services)
	return nil, nil
}

func (s *Source) handleAnnounce(ctx context.Context, p *wire.Peer, announce wire.Announce) (any, error) {
	return nil, s.post(ctx, p, func(_ time.Time, _ *blackboard.Board, opened *session) {
		s.options.Membership.Announce(opened.holder(), wire.ToTargets(announce.Targets))
	})
}

func (s *Source) handleLost(ctx context.Context, p *wire.Peer, lost wire.Lost) (any, error) {
	return nil, s.post(ctx, p, func(now time.Time, _ *blackboard.Board, opened *session) {
		s.options.Membership.Expire(now, opened.holder(), wire.ToTargets(lost.Targets))
	})
}

func (s *Source) handleReport(ctx context.Context, p *wire.Peer, report wire.Report) (any, error) {
	upstreamReports.Inc()
	return nil, s.post(ctx, p, func(now time.Time, _ *blackboard.Board, opened *session) {
		s.roster.report(now, opened.request.ID, report)
	})
}

func (s *Source) handleEvidence(ctx context.Context, p *wire.Peer, evidence wire.Evidence) (any, error) {
	observations := wire.ToObservations(evidence.Observations)
	return nil, s.post(ctx, p, func(_ time.Time, board *blackboard.Board, _ *session) {
		board.Evidence = appendEvidence(board.Evidence, observations)
	})
}

func appendEvidence(held, more []hornbeamwell.Observation) []hornbeamwell.Observation {
	room := max(maxEvidence-len(held), 0)
	if len(more) > room {
		evidenceDropped.Add(len(more) - room)
		more = more[:room]
	}
	return append(held, more...)
}

// handleGoodbye ends a session on purpose.
func (s *Source) handleGoodbye(_ context.Context, p *wire.Peer, _ wire.Goodbye) (any, error) {
	opened, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	opened.saidGoodbye.Store(true)
	_ = p.Close()
	return nil, nil
}

// keep notes the session of the connection, which may have ended already.
func (s *Source) keep(p *wire.Peer, opened *session) {
	s.peers.Store(p, opened)
	select {
	case <-p.Closed():
		s.SessionClosed(p)
	default:
	}
}

// SessionClosed is called when the connection of a peer has ended.
func (s *Source) SessionClosed(p *wire.Peer) {
	found, loaded := s.peers.LoadAndDelete(p)
	if !loaded {
		return
	}
	closed := found.(*session)
	_ = s.options.Post(context.Background(), func(now time.Time, _ *blackboard.Board) { s.ended(now, closed) })
}

func (s *Source) sessionOf(p *wire.Peer) (*session, error) {
	found, loaded := s.peers.Load(p)
	if !loaded {
		return nil, ErrNoSession
	}
	opened := found.(*session)
	opened.heard(s.options.Now())
	return opened, nil
}

// post runs the event on the loop if the session is still that of its id.
func (s *Source) post(ctx context.Context, p *wire.Peer, event func(time.Time, *blackboard.Board, *session)) error {
	opened, err := s.sessionOf(p)
	if err != nil {
		return err
	}
	err = s.options.Post(ctx, func(now time.Time, board *blackboard.Board) {
		if s.sessions[opened.key()] == opened {
			event(now, board, opened)
		}
	})
	if err != nil {
		return fmt.Errorf("post event: %w", err)
	}
	return nil
}
