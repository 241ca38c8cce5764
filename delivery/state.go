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
	Route, Service string
}

// Error describes the error.
func (e *MissingServiceError) Error() string {
	return fmt.Sprintf("route %s points at service %s, which the configuration does not hold", e.Route, e.Service)
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
	var err error
	if part := update.configuration; part != nil {
		if part.Version < h.configuration.version {
			return nil, &OlderVersionError{
				Given: hornbeamwell.ConfigVersion(part.Version),
				Held:  hornbeamwell.ConfigVersion(h.configuration.version),
			}
		}
		if next.configuration, err = h.configuration.apply(part); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", part.Version, err)
		}
		next.decoded.Configuration = next.configuration.configuration()
		if err := checkRoutes(next.decoded.Configuration); err != nil {
			return nil, err
		}
	}
	if part := update.presence; part != nil {
		if next.presence, err = h.presence.apply(part); err != nil {
			return nil, fmt.Errorf("targets: %w", err)
		}
		next.decoded.Targets = next.presence.targets()
	}
	if part := update.proxies; part != nil {
		if next.proxies, err = h.proxies.apply(part); err != nil {
			return nil, fmt.Errorf("proxies: %w", err)
		}
	}
	return &next, nil
}

// checkRoutes reports a route without its service.
func checkRoutes(c *hornbeamwell.Configuration) error {
	for _, r := range c.Routes {
		if _, found := c.Service(r.Service); !found {
			return &MissingServiceError{Route: r.Name, Service: r.Service}
		}
	}
	return nil
}
