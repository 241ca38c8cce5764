package delivery

import (
	"fmt"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// OlderVersionError refuses a configuration that is older than the one held.
type OlderVersionError struct {
	Given, Held hornbeamwell.ConfigVersion
}

// Error describes the error.
func (e *OlderVersionError) Error() string {
	return fmt.Sprintf("configuration %d is older than %d, which is in force", e.Given, e.Held)
}

// MissingServiceError refuses a configuration with a route to a service that it
// does not hold.
type MissingServiceError struct {
	Service string
}

// Error describes the error.
func (e *MissingServiceError) Error() string {
	return fmt.Sprintf("a route points at service %s, which the configuration does not hold", e.Service)
}

// Update is the whole state of a proxy after a change.
type Update struct {
	// Configuration holds a service for each of its routes. Its version never
	// decreases from one update to the next.
	Configuration *hornbeamwell.Configuration
	// Targets are the targets of the configuration's services, sorted by id.
	Targets []hornbeamwell.Target
}

// heldState is what a subscriber holds. It never changes after it was made.
type heldState struct {
	configuration, presence, proxies *mirror
	// decoded is the state for the subscriber's use.
	decoded Update
}

func newHeldState() *heldState {
	return &heldState{
		configuration: &mirror{},
		presence:      &mirror{},
		proxies:       &mirror{},
		decoded:       Update{Configuration: &hornbeamwell.Configuration{}},
	}
}

// parts is an unpacked update.
type parts struct {
	configuration, presence, proxies *wire.Part
}

func unpack(update wire.Update) (parts, error) {
	var unpacked parts
	var err error
	if unpacked.configuration, err = wire.UnpackPart(update.Configuration); err != nil {
		return parts{}, fmt.Errorf("configuration: %w", err)
	}
	if unpacked.presence, err = wire.UnpackPart(update.Presence); err != nil {
		return parts{}, fmt.Errorf("targets: %w", err)
	}
	if unpacked.proxies, err = wire.UnpackPart(update.Proxies); err != nil {
		return parts{}, fmt.Errorf("proxies: %w", err)
	}
	return unpacked, nil
}

// apply returns the state after the update. On an error nothing has changed.
func (h *heldState) apply(update parts) (*heldState, error) {
	next := *h
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
		proxies, _, err := h.proxies.apply(part)
		if err != nil {
			return nil, fmt.Errorf("proxies: %w", err)
		}
		next.proxies = proxies
	}
	return &next, nil
}

func (h *heldState) applyConfiguration(part *wire.Part) error {
	if held := h.configuration.version; part.Version < held {
		return &OlderVersionError{Given: hornbeamwell.ConfigVersion(part.Version), Held: hornbeamwell.ConfigVersion(held)}
	}
	after, changes, err := h.configuration.apply(part)
	if err != nil {
		return err
	}
	if err := after.checkRoutes(); err != nil {
		return err
	}
	before := h.decoded.Configuration
	if part.Full {
		before = &hornbeamwell.Configuration{}
	}
	h.configuration = after
	h.decoded.Configuration = nextConfiguration(before, part.Version, changes)
	return nil
}

func (h *heldState) applyPresence(part *wire.Part) error {
	after, changes, err := h.presence.apply(part)
	if err != nil {
		return err
	}
	before := h.decoded.Targets
	if part.Full {
		before = nil
	}
	h.presence = after
	h.decoded.Targets = nextTargets(before, changes)
	return nil
}

// checkRoutes reports a route without its service.
func (m *mirror) checkRoutes() error {
	for service, g := range m.groups {
		if !g.isWhole(service) {
			return &MissingServiceError{Service: service}
		}
	}
	return nil
}
