package delivery

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// session is the source's end of a session. Its writer goroutine sends the
// newest wanted state; states between are never sent, so that a slow
// subscriber costs no memory.
type session struct {
	request wire.OpenRequest
	peer    *wire.Peer
	// acknowledged is the configuration version in force at the subscriber.
	acknowledged atomic.Uint64
	// heardAt is the time, in ns since 1970, of its last message.
	heardAt atomic.Int64
	// saidGoodbye is set before the connection ends on purpose.
	saidGoodbye atomic.Bool
	wake        chan struct{}

	mu sync.Mutex
	// interests are the services of the proxy's callers, none means all. It is
	// guarded by mu.
	interests []string
	// services are those of the closure last sent, none before. It is guarded
	// by mu.
	services []string
	// wanted is the state that the subscriber should have. It is guarded by
	// mu.
	wanted wantedState
	// sent is the state that the subscriber has once it has read everything.
	// It is guarded by mu.
	sent sentState
	// beat is the answer to the last heartbeat, nil once sent. It is guarded
	// by mu.
	beat *wire.HeartbeatReply
	// round is that of the last request or resync. It is guarded by mu.
	round uint64
	// toldSources are the sources last sent. It is guarded by mu.
	toldSources []netip.AddrPort
	// awaitsGroups holds updates back until the subscriber has said what it
	// holds. It is guarded by mu.
	awaitsGroups bool
}

// wantedState is what the source publishes.
type wantedState struct {
	edition *edition
	roll    *roll
	// proxies is nil except for followers.
	proxies *view
}

// sentState holds what the subscriber was sent, nil where that is unknown.
type sentState struct {
	configuration, presence, proxies *view
	// version is the highest configuration version that the subscriber has.
	version uint64
	// refused is the version that the subscriber could not apply.
	refused uint64
}

// sessionKey names a session. The proxy and the source of one process have the
// same id.
type sessionKey struct {
	isProxy bool
	id      string
}

func newSession(now time.Time, peer *wire.Peer, request wire.OpenRequest) *session {
	s := &session{request: request, peer: peer, wake: make(chan struct{}, 1), interests: request.Interests, round: request.Round}
	s.acknowledged.Store(request.Configuration.Version)
	s.sent.version = request.Configuration.Version
	s.heard(now)
	return s
}

func (s *session) heard(now time.Time) { s.heardAt.Store(now.UnixNano()) }

func (s *session) key() sessionKey { return sessionKey{s.isProxy(), s.request.ID} }

// holder names the session to the membership of targets.
func (s *session) holder() target.SessionID {
	return target.SessionID(s.request.Role + "/" + s.request.ID)
}

func (s *session) isProxy() bool { return s.request.Role == wire.RoleProxy }

func (s *session) takesConfiguration() bool { return s.request.Role != wire.RoleFollower }

func (s *session) takesEveryTarget() bool { return !s.isProxy() || len(s.interests) == 0 }

func (s *session) setInterests(services []string) {
	s.mu.Lock()
	s.interests = services
	s.mu.Unlock()
	s.signal()
}

// want makes the state the one to send.
func (s *session) want(state wantedState) {
	s.mu.Lock()
	isNews := s.isNews(state)
	s.wanted = state
	s.mu.Unlock()
	if isNews {
		s.signal()
	}
}

// isNews reports whether the state may differ for the subscriber from the one
// wanted before.
func (s *session) isNews(state wantedState) bool {
	if s.wanted.edition != state.edition {
		return true
	}
	if s.request.Role == wire.RoleFollower && s.wanted.proxies != state.proxies {
		return true
	}
	if s.wanted.roll == state.roll {
		return false
	}
	if s.takesEveryTarget() || len(s.services) == 0 {
		return true
	}
	return slices.ContainsFunc(s.services, func(name string) bool { return state.roll.changed[name] })
}

// answer makes the beat the one to send.
func (s *session) answer(beat wire.HeartbeatReply) {
	s.mu.Lock()
	if s.beat != nil && len(beat.Sources) == 0 {
		beat.Sources = s.beat.Sources
	}
	s.beat = &beat
	s.mu.Unlock()
	s.signal()
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// holds notes what the subscriber holds and lets updates go out.
func (s *session) holds(resync wire.Resync) {
	s.mu.Lock()
	s.round = resync.Round
	s.sent.configuration = opaqueView(resync.Configuration)
	s.sent.presence = opaqueView(resync.Presence)
	s.sent.proxies = nil
	s.sent.refused = max(s.sent.refused, resync.Refused)
	s.awaitsGroups = false
	s.mu.Unlock()
	s.signal()
}

// opaqueView returns the view of a subscriber of which only digests are known.
func opaqueView(digests []wire.GroupDigest) *view {
	if len(digests) == 0 {
		return nil
	}
	groups := make([]*group, 0, len(digests))
	for _, d := range digests {
		groups = append(groups, &group{service: d.Service, digest: d.Digest, opaque: true})
	}
	return newView(0, 0, groups)
}

// write sends what is wanted until the context or the connection ends.
func (s *session) write(ctx context.Context, maker *updateMaker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.peer.Closed():
			return
		case <-s.wake:
		}
		if err := s.flush(ctx, maker); err != nil {
			_ = s.peer.Close()
			return
		}
	}
}

// flush sends the update and then the beat, so that the subscriber has what
// the beat's version names.
func (s *session) flush(ctx context.Context, maker *updateMaker) error {
	update, beat := s.take(maker)
	if update != nil {
		updatesSent.Inc()
		if err := wire.Notify(ctx, s.peer, wire.MethodUpdate, update); err != nil {
			return err
		}
	}
	if beat != nil {
		return wire.Notify(ctx, s.peer, wire.MethodHeartbeatReply, beat)
	}
	return nil
}

// take returns what has to be sent and notes it as sent.
func (s *session) take(maker *updateMaker) (*wire.Update, *wire.HeartbeatReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	beat := s.beat
	s.beat = nil
	if s.awaitsGroups || s.wanted.edition == nil {
		return nil, beat
	}
	update, sent := maker.update(s, s.sent, s.wanted)
	s.sent = sent
	return update, beat
}

// status returns what is known of the proxy at the other end.
func (s *session) status() hornbeamwell.ProxyStatus {
	return hornbeamwell.ProxyStatus{
		ID:          s.request.ID,
		Zone:        s.request.Zone,
		Address:     wire.ToAddress(s.request.Address),
		InForce:     hornbeamwell.ConfigVersion(s.acknowledged.Load()),
		LastContact: time.Unix(0, s.heardAt.Load()),
	}
}
