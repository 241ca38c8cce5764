package measure

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// Paths of the routes of a measurement.
const (
	readPath  = "/parts"
	writePath = "/orders"
)

func siteRoutes(timeout time.Duration) []*schema.Route {
	return []*schema.Route{
		{Name: "look-up", PathPrefix: readPath, Service: service, Idempotent: true, Timeout: durationpb.New(timeout)},
		{Name: "order", PathPrefix: writePath, Service: service, Timeout: durationpb.New(timeout)},
	}
}
