package measure

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// Path prefixes of the routes of a testbed.
const (
	readPath  = "/parts"
	writePath = "/orders"
)

func testRoutes(timeout time.Duration) []*schema.Route {
	return []*schema.Route{
		{Name: "look-up", PathPrefix: readPath, Service: service, Idempotent: true, Timeout: durationpb.New(timeout)},
		{Name: "order", PathPrefix: writePath, Service: service, Timeout: durationpb.New(timeout)},
	}
}
