package delivery

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// resume finds the states that the subscriber says it holds, so that it is
// sent only what changed since.
func (s *session) resume(editions *history[*edition], rolls *history[*roll], state wantedState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted = state
	if state.edition != nil && state.roll != nil {
		s.sent.configuration = s.configurationBase(editions)
		s.sent.presence = s.presenceBase(editions, rolls, state)
	}
	s.awaitsGroups = s.isUnknown(s.request.Configuration, s.sent.configuration) || s.isUnknown(s.request.Presence, s.sent.presence)
}

// isUnknown reports whether the subscriber holds something and the source does
// not know what.
func (s *session) isUnknown(base wire.Base, known *view) bool {
	return base.Digest != 0 && known == nil
}

func (s *session) configurationBase(editions *history[*edition]) *view {
	held := s.request.Configuration
	if !s.takesConfiguration() {
		return newView(held.Epoch, held.Version, nil)
	}
	e, found := editions.at(held.Version)
	if !found {
		return nil
	}
	if v := e.closureOf(s.interests).view; v.digest == held.Digest {
		return v
	}
	return nil
}

func (s *session) presenceBase(editions *history[*edition], rolls *history[*roll], state wantedState) *view {
	held := s.request.Presence
	if v := s.presenceOf(state.roll, s.servicesOf(state.edition)); v.digest == held.Digest {
		return v
	}
	r, found := rolls.at(held.Version)
	if !found || held.Epoch != r.whole.epoch {
		return nil
	}
	e, found := editions.at(s.request.Configuration.Version)
	if !found {
		return nil
	}
	if v := s.presenceOf(r, s.servicesOf(e)); v.digest == held.Digest {
		return v
	}
	return nil
}

// servicesOf returns the services that the subscriber holds, nil for all.
func (s *session) servicesOf(e *edition) []string {
	return e.closureOf(s.interests).services
}

func (s *session) presenceOf(r *roll, services []string) *view {
	if !s.isProxy() {
		return r.whole
	}
	return r.of(services)
}

func (s *session) needsGroups() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awaitsGroups
}

// answerWith answers a heartbeat with the rest of the leader's lease.
func (s *session) answerWith(now time.Time, stamp int64, lease *leaderLease, sources []netip.AddrPort) {
	s.mu.Lock()
	version := uint64(0)
	if s.wanted.edition != nil {
		version = s.wanted.edition.whole.version
	}
	var news []string
	if s.isProxy() && !slices.Equal(s.toldSources, sources) {
		s.toldSources = sources
		news = wire.FromAddresses(sources)
	}
	s.mu.Unlock()
	s.answer(wire.HeartbeatReply{Stamp: stamp, LeaseMs: lease.remaining(now).Milliseconds(), Version: version, Sources: news})
}
