package delivery

import (
	"fmt"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// StaleVersionError is returned for a configuration that is older than the
// current one.
type StaleVersionError struct {
	Received, Current hornbeamwell.ConfigVersion
}

// Error implements error.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("configuration %d is older than %d, which is in force", e.Received, e.Current)
}

// MissingServiceError is returned for a configuration that has a route but not
// the service of the route.
type MissingServiceError struct {
	Service string
}

// Error implements error.
func (e *MissingServiceError) Error() string {
	return fmt.Sprintf("configuration has a route to service %s but not the service itself", e.Service)
}

// Update is the complete state of a proxy after a change.
type Update struct {
	// Configuration contains the service of each of its routes. Its version
	// never decreases from one update to the next.
	Configuration *hornbeamwell.Configuration
	// Targets are sorted by ID. A proxy with interests receives only the targets
	// of the services that it needs.
	Targets []hornbeamwell.Target
}

// subscriberState is the state that a subscriber has received. It is immutable.
type subscriberState struct {
	configuration, presence, proxies *streamState
	// decoded is the state in the form passed to SubscriberOptions.Apply.
	decoded Update
}

func newSubscriberState() *subscriberState {
	return &subscriberState{
		configuration: &streamState{},
		presence:      &streamState{keepsUnreadable: true},
		proxies:       &streamState{keepsUnreadable: true},
		decoded:       Update{Configuration: &hornbeamwell.Configuration{}},
	}
}

// unpackedUpdate holds the decoded parts of an update.
type unpackedUpdate struct {
	configuration, presence, proxies *wire.Part
}

func unpack(update wire.Update) (unpackedUpdate, error) {
	var unpacked unpackedUpdate
	var err error
	if unpacked.configuration, err = wire.UnpackPart(update.Configuration); err != nil {
		return unpackedUpdate{}, fmt.Errorf("configuration: %w", err)
	}
	if unpacked.presence, err = wire.UnpackPart(update.Presence); err != nil {
		return unpackedUpdate{}, fmt.Errorf("targets: %w", err)
	}
	if unpacked.proxies, err = wire.UnpackPart(update.Proxies); err != nil {
		return unpackedUpdate{}, fmt.Errorf("proxies: %w", err)
	}
	return unpacked, nil
}

// apply returns the state after the update. The receiver is not modified.
func (s *subscriberState) apply(update unpackedUpdate) (*subscriberState, error) {
	next := *s
	if part := update.configuration; part != nil {
		if err := next.applyConfiguration(part); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", part.Version, err)
		}
	}
	if part := update.presence; part != nil {
		if err := next.applyPresence(part); err != nil {
			return nil, fmt.Errorf("targets: %w", err)
		}
	}
	if part := update.proxies; part != nil {
		proxies, _, err := s.proxies.apply(part)
		if err != nil {
			return nil, fmt.Errorf("proxies: %w", err)
		}
		next.proxies = proxies
	}
	return &next, nil
}

func (s *subscriberState) applyConfiguration(part *wire.Part) error {
	if current := s.configuration.version; part.Version < current {
		return &StaleVersionError{Received: hornbeamwell.ConfigVersion(part.Version), Current: hornbeamwell.ConfigVersion(current)}
	}
	after, changes, err := s.configuration.apply(part)
	if err != nil {
		return err
	}
	if err := after.checkRoutes(); err != nil {
		return err
	}
	before := s.decoded.Configuration
	if part.Full {
		before = &hornbeamwell.Configuration{}
	}
	s.configuration = after
	s.decoded.Configuration = nextConfiguration(before, part.Version, changes)
	return nil
}

func (s *subscriberState) applyPresence(part *wire.Part) error {
	after, changes, err := s.presence.apply(part)
	if err != nil {
		return err
	}
	before := s.decoded.Targets
	if part.Full {
		before = nil
	}
	targetsSkipped.Add(skippedTargets(changes))
	s.presence = after
	s.decoded.Targets = nextTargets(before, changes)
	return nil
}

// checkRoutes returns an error if the service of a route is missing.
func (s *streamState) checkRoutes() error {
	for service, g := range s.groups {
		if !g.isComplete(service) {
			return &MissingServiceError{Service: service}
		}
	}
	return nil
}
