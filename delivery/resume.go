package delivery

import "github.com/hornbeamwell/hornbeamwell/wire"

// resume looks up the states that the subscriber has, so that only later
// changes are sent to it. A state that this source does not know is set to nil.
func (s *session) resume(configurations *history[*configSnapshot], presences *history[*presenceSnapshot], state desiredState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDesired(state)
	if state.configuration != nil && state.presence != nil {
		s.sent.configuration = s.configurationBase(configurations)
		s.sent.presence = s.presenceBase(configurations, presences, state)
	}
	s.awaitingGroups = s.isUnknown(s.request.Configuration, s.sent.configuration) || s.isUnknown(s.request.Presence, s.sent.presence)
}

// isUnknown reports whether the subscriber has a state that the source does not
// know.
func (s *session) isUnknown(base wire.Base, known *view) bool {
	return base.Digest != 0 && known == nil
}

func (s *session) configurationBase(configurations *history[*configSnapshot]) *view {
	base := s.request.Configuration
	if !s.receivesConfiguration() {
		// A follower counts as up to date, since it needs no configuration.
		return newView(base.Epoch, base.Version, nil)
	}
	config, found := configurations.get(base.Version)
	if !found {
		return nil
	}
	if v := config.closureOf(s.interests).view; v.digest == base.Digest {
		return v
	}
	return nil
}

func (s *session) presenceBase(configurations *history[*configSnapshot], presences *history[*presenceSnapshot], state desiredState) *view {
	base := s.request.Presence
	if v := s.presenceOf(state.presence, s.servicesOf(state.configuration)); v.digest == base.Digest {
		return v
	}
	presence, found := presences.get(base.Version)
	if !found || base.Epoch != presence.full.epoch {
		return nil
	}
	config, found := configurations.get(s.request.Configuration.Version)
	if !found {
		return nil
	}
	if v := s.presenceOf(presence, s.servicesOf(config)); v.digest == base.Digest {
		return v
	}
	return nil
}

// servicesOf returns the services in the subscriber's closure, nil for all.
func (s *session) servicesOf(config *configSnapshot) []string {
	return config.closureOf(s.interests).services
}

func (s *session) presenceOf(presence *presenceSnapshot, services []string) *view {
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
