package delivery

import "github.com/hornbeamwell/hornbeamwell/wire"

// resume looks up the states that the subscriber has, so that only later
// changes are sent to it. A state that this source does not know is set to nil.
func (s *session) resume(configurations *history[*configOutline], presences *history[*presenceOutline], state desiredState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDesired(state)
	if state.configuration != nil && state.presence != nil {
		s.sent.configuration = s.configurationBase(configurations, state)
		s.sent.presence = s.presenceBase(configurations, presences, state)
	}
	s.awaitingGroups = s.isUnknown(s.request.Configuration, s.sent.configuration) || s.isUnknown(s.request.Presence, s.sent.presence)
}

// isUnknown reports whether the subscriber has a state that the source does not
// know.
func (s *session) isUnknown(base wire.Base, known *view) bool {
	return base.Digest != 0 && known == nil
}

func (s *session) configurationBase(configurations *history[*configOutline], state desiredState) *view {
	base := s.request.Configuration
	if !s.receivesConfiguration() {
		// A follower counts as up to date, since it needs no configuration.
		return newView(base.Epoch, base.Version, nil).outlined()
	}
	if closure, found := s.closureAt(base.Version, configurations, state); found && closure.view.digest == base.Digest {
		return closure.view.outlined()
	}
	return nil
}

func (s *session) presenceBase(configurations *history[*configOutline], presences *history[*presenceOutline], state desiredState) *view {
	base := s.request.Presence
	current := state.configuration.closureOf(s.interests).services
	if v := s.presenceOf(state.presence, current); v.digest == base.Digest {
		return v.outlined()
	}
	presence, found := presences.get(base.Version)
	if !found || base.Epoch != presence.full.epoch {
		return nil
	}
	closure, found := s.closureAt(s.request.Configuration.Version, configurations, state)
	if !found {
		return nil
	}
	if v := s.pastPresenceOf(presence, closure.services); v.digest == base.Digest {
		return v
	}
	return nil
}

// closureAt returns the subscriber's closure of the configuration with the version. It reports
// false if that is not known.
func (s *session) closureAt(version uint64, configurations *history[*configOutline], state desiredState) (*closureView, bool) {
	if state.configuration.full.version == version {
		return state.configuration.closureOf(s.interests), true
	}
	config, found := configurations.get(version)
	if !found {
		return nil, false
	}
	return config.closureOf(s.interests)
}

// presenceOf returns the subscriber's view of the presence, where services are those of its
// closure, nil for all.
func (s *session) presenceOf(presence *presenceSnapshot, services []string) *view {
	if !s.isProxy() {
		return presence.full
	}
	return presence.viewFor(services)
}

func (s *session) pastPresenceOf(presence *presenceOutline, services []string) *view {
	if !s.isProxy() {
		return presence.full
	}
	return presence.viewFor(services)
}

func (s *session) needsGroups() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awaitingGroups
}
