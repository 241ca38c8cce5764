package delivery

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// ErrNoSession is returned for a message on a connection without an open
// session.
var ErrNoSession = errors.New("no session is open on this connection")

// handleOpen opens a session, or tells the subscriber to wait or to contact
// another source.
func (s *Source) handleOpen(ctx context.Context, p *wire.Peer, request wire.OpenRequest) (wire.OpenResponse, error) {
	now := s.options.Now()
	if err := checkOpen(p, request); err != nil {
		sessionsRefused.Inc()
		return wire.OpenResponse{}, err
	}
	response := wire.OpenResponse{Source: s.options.ID}
	if request.Role != wire.RoleProxy {
		return s.openSourceSession(ctx, p, request, response)
	}
	wait, ticket := s.admission.admit(now, request.Ticket)
	if wait > 0 {
		sessionsDeferred.Inc()
		response.RetryAfterMs, response.Ticket = max(wait.Milliseconds(), 1), ticket
		return response, nil
	}
	return s.openSession(ctx, p, request, response)
}

// maxIdentityBytes bounds the texts by which a source knows a subscriber, which outlive its
// session.
const maxIdentityBytes = 255

// errIdentity means that a subscriber has too long an id, availability zone or address.
var errIdentity = errors.New("the id, the zone or the address of the subscriber is too long")

// checkOpen checks that there is room for what a source keeps for the session of the request.
func checkOpen(p *wire.Peer, request wire.OpenRequest) error {
	if len(request.ID) > maxIdentityBytes || len(request.Zone) > maxIdentityBytes || len(request.Address) > maxIdentityBytes {
		return errIdentity
	}
	return keepInterests(p, request.Interests)
}

// keepInterests draws the memory of the interests of a session, which also the closure of the
// configuration for them takes.
func keepInterests(p *wire.Peer, services []string) error {
	const stringBytes, copies = 16, 4
	bytes := int64(0)
	for _, service := range services {
		bytes += copies * int64(stringBytes+len(service))
	}
	if err := p.Keep(bytes); err != nil {
		return fmt.Errorf("keep %d interests: %w", len(services), err)
	}
	return nil
}

// openSourceSession opens the session of a relay or a follower if this source
// leads. Otherwise it redirects it to the leader or, if none is known, tells it
// to wait.
func (s *Source) openSourceSession(ctx context.Context, p *wire.Peer, request wire.OpenRequest, response wire.OpenResponse) (wire.OpenResponse, error) {
	holdsLease := false
	err := s.runOnLoop(ctx, func(_ time.Time, board *blackboard.Board) { holdsLease = board.Leadership.HoldsLease })
	if err != nil {
		return response, err
	}
	if holdsLease {
		return s.openSession(ctx, p, request, response)
	}
	response.Redirect = wire.FromAddress(s.options.LeaderAddress())
	if response.Redirect == "" {
		response.RetryAfterMs = max(s.options.Timing.HeartbeatInterval.Milliseconds()/4, 1)
	}
	return response, nil
}

func (s *Source) openSession(ctx context.Context, p *wire.Peer, request wire.OpenRequest, response wire.OpenResponse) (wire.OpenResponse, error) {
	sess := newSession(s.options.Now(), p, request)
	err := s.runOnLoop(ctx, func(now time.Time, _ *blackboard.Board) { s.addSession(now, sess) })
	if err != nil {
		return response, err
	}
	s.storePeer(p, sess)
	response.NeedGroups = sess.needsGroups()
	sessionsOpened.Inc()
	go sess.runWriter(context.WithoutCancel(ctx), s.updates)
	sess.signal()
	return response, nil
}

// addSession registers the session in place of an older one with the same key.
// If the registered one is newer, the session is closed. A session that this
// source opened to itself, while it briefly did not lead, is closed too. If it
// were kept, the source would count itself as lost for silentRetention after the
// session has ended.
func (s *Source) addSession(now time.Time, sess *session) {
	if !sess.isProxy() && sess.request.ID == s.options.ID {
		_ = sess.peer.Close()
		return
	}
	if old, found := s.sessions[sess.key()]; found {
		if old.request.Session > sess.request.Session {
			_ = sess.peer.Close()
			return
		}
		s.removeSession(now, old)
		_ = old.peer.Close()
	}
	s.sessions[sess.key()] = sess
	if sess.isProxy() {
		s.registry.addSession(now, sess.request.Session, sess.status())
	} else {
		s.registry.sourceOpened(now, sess.status())
	}
	sess.resume(s.configurations, s.presences, s.desired)
}

// runOnLoop runs an event on the loop and waits until it has run.
func (s *Source) runOnLoop(ctx context.Context, event blackboard.Event) error {
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
		return fmt.Errorf("wait for the blackboard's loop: %w", ctx.Err())
	}
}

// handleHeartbeat records the acknowledgement and replies with the share
// lease.
func (s *Source) handleHeartbeat(ctx context.Context, p *wire.Peer, heartbeat wire.Heartbeat) (any, error) {
	sess, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	before := sess.acknowledged.Swap(heartbeat.Version)
	if before != heartbeat.Version {
		acknowledgements.Inc()
	}
	if before > heartbeat.Version {
		hornbeamwell.ReportViolation("acknowledgement_never_decreases", "%s: version %d after %d", sess.request.ID, heartbeat.Version, before)
	}
	sess.replyToHeartbeat(s.options.Now(), heartbeat.Stamp, &s.lease, &s.contact, s.options.Sources())
	if sess.isBuilding.Load() {
		return nil, wire.Notify(ctx, p, wire.MethodBusy, wire.Busy{})
	}
	return nil, nil
}

// handleResync records the digests of the subscriber's state.
func (s *Source) handleResync(_ context.Context, p *wire.Peer, resync wire.Resync) (any, error) {
	sess, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	resyncsRequested.Inc()
	sess.applyResync(resync)
	return nil, nil
}

// handleInterests replaces the services that the proxy's callers use.
func (s *Source) handleInterests(_ context.Context, p *wire.Peer, interests wire.Interests) (any, error) {
	sess, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	if err := keepInterests(p, interests.Services); err != nil {
		_ = p.Close()
		return nil, err
	}
	sess.setInterests(interests.Services)
	return nil, nil
}

func (s *Source) handleAnnounce(ctx context.Context, p *wire.Peer, announce wire.Announce) (any, error) {
	targets := s.usableTargets(p, wire.ToTargets(announce.Targets))
	return nil, s.postForSession(ctx, p, func(_ time.Time, _ *blackboard.Board, sess *session) {
		s.options.Membership.Announce(sess.sessionID(), targets)
		if sess.isProxy() {
			sess.reportRecorded(s.options.Membership.Records(targets))
		}
		sess.reportDeparted(s.options.Membership.Departed(targets))
	})
}

// usableTargets returns the targets that proxies can use. The others are counted, and
// logged at most once per second.
func (s *Source) usableTargets(p *wire.Peer, targets []hornbeamwell.Target) []hornbeamwell.Target {
	usable := make([]hornbeamwell.Target, 0, len(targets))
	for _, t := range targets {
		err := target.CheckTarget(t)
		if err == nil {
			usable = append(usable, t)
			continue
		}
		targetsSkipped.Inc()
		if s.skippedLines.AllowN(s.options.Now(), 1) {
			_ = s.options.Logger.Log("event", "target_skipped", "from", p.Remote(), "target", fmt.Sprintf("%.200s", t.ID), "err", fmt.Sprintf("%.400s", err.Error()))
		}
	}
	return usable
}

func (s *Source) handleLost(ctx context.Context, p *wire.Peer, lost wire.LostTargets) (any, error) {
	return nil, s.postForSession(ctx, p, func(now time.Time, _ *blackboard.Board, sess *session) {
		s.options.Membership.Expire(now, sess.sessionID(), wire.ToTargets(lost.Targets))
	})
}

func (s *Source) handleReport(ctx context.Context, p *wire.Peer, report wire.Report) (any, error) {
	reportsReceived.Inc()
	return nil, s.postForSession(ctx, p, func(now time.Time, _ *blackboard.Board, sess *session) {
		s.registry.applyReport(now, sess.request.ID, report)
	})
}

func (s *Source) handleEvidence(ctx context.Context, p *wire.Peer, evidence wire.Evidence) (any, error) {
	observations := wire.ToObservations(evidence.Observations)
	return nil, s.postForSession(ctx, p, func(_ time.Time, board *blackboard.Board, _ *session) {
		board.Evidence = appendEvidence(board.Evidence, observations)
	})
}

func appendEvidence(current, more []hornbeamwell.Observation) []hornbeamwell.Observation {
	room := max(maxObservations-len(current), 0)
	if len(more) > room {
		evidenceDropped.Add(len(more) - room)
		more = more[:room]
	}
	return append(current, more...)
}

// handleGoodbye closes a session whose process stops.
func (s *Source) handleGoodbye(_ context.Context, p *wire.Peer, _ wire.Goodbye) (any, error) {
	sess, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	sess.saidGoodbye.Store(true)
	_ = p.Close()
	return nil, nil
}

// handleMoving closes the session of a proxy that opens one with another source.
func (s *Source) handleMoving(_ context.Context, p *wire.Peer, _ wire.Moving) (any, error) {
	sess, err := s.sessionOf(p)
	if err != nil {
		return nil, err
	}
	sess.isMoving.Store(true)
	_ = p.Close()
	return nil, nil
}

// storePeer records the session of the connection, which may have been closed
// in the meantime.
func (s *Source) storePeer(p *wire.Peer, sess *session) {
	s.peers.Store(p, sess)
	select {
	case <-p.Closed():
		s.SessionClosed(p)
	default:
	}
}

// SessionClosed removes the session of a peer. It must be called when a
// connection has ended.
func (s *Source) SessionClosed(p *wire.Peer) {
	found, loaded := s.peers.LoadAndDelete(p)
	if !loaded {
		return
	}
	closed := found.(*session)
	_ = s.options.Post(context.Background(), func(now time.Time, _ *blackboard.Board) { s.removeSession(now, closed) })
}

func (s *Source) sessionOf(p *wire.Peer) (*session, error) {
	found, loaded := s.peers.Load(p)
	if !loaded {
		return nil, ErrNoSession
	}
	sess := found.(*session)
	sess.touch(s.options.Now())
	return sess, nil
}

// postForSession posts the event to the loop. The event runs unless the session
// has been replaced or removed by then.
func (s *Source) postForSession(ctx context.Context, p *wire.Peer, event func(time.Time, *blackboard.Board, *session)) error {
	sess, err := s.sessionOf(p)
	if err != nil {
		return err
	}
	err = s.options.Post(ctx, func(now time.Time, board *blackboard.Board) {
		if s.sessions[sess.key()] == sess {
			event(now, board, sess)
		}
	})
	if err != nil {
		return fmt.Errorf("post event: %w", err)
	}
	return nil
}
