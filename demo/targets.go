package demo

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

// startTargets starts each version of each service in every zone. The new
// version of the parts catalogue is the bad one: after badFaultsAfter half of
// its orders fail.
func (s *scenario) startTargets(processCtx context.Context) error {
	for _, service := range []string{serviceBooking, serviceParts} {
		v := versionsOf[service]
		if err := s.startVersion(processCtx, standin.Options{Service: service, Version: v.old}); err != nil {
			return err
		}
		options := standin.Options{Service: service, Version: v.new}
		if service == serviceParts {
			options.FaultsAfter = badFaultsAfter
			options.Paths = []standin.PathFault{{Prefix: orderPath, FailureShare: badFailureShare}}
		}
		if err := s.startVersion(processCtx, options); err != nil {
			return err
		}
	}
	s.progressf("started an old and a new version of 2 services in 3 zones; %s %s will fail half of its orders after %s",
		serviceParts, versionsOf[serviceParts].new, badFaultsAfter)
	return nil
}

// startVersion starts a target of the version in every zone, each with a proxy
// beside it.
func (s *scenario) startVersion(processCtx context.Context, options standin.Options) error {
	options.Delay, options.Jitter = 2*time.Millisecond, 2*time.Millisecond
	options.ColdStart, options.ColdDelay = 2*time.Second, 3*time.Millisecond
	options.Slots, options.Connections = 12, 110
	for _, zone := range zones {
		if err := s.cluster.startTarget(processCtx, targetID(options.Service, options.Version, zone), zone, options); err != nil {
			return err
		}
	}
	return nil
}

func targetID(service, version, zone string) string {
	return service + "-" + version + "-" + zone
}
