package demo

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// Services and paths of the demonstration.
const (
	serviceBooking = "workshop-booking"
	serviceParts   = "parts-catalogue"
	orderPath      = "/parts/orders"
)

// versionPair holds the old and the new version of a service.
type versionPair struct {
	old, new string
}

var versionsOf = map[string]versionPair{
	serviceBooking: {old: "7.1", new: "7.2"},
	serviceParts:   {old: "3.4", new: "3.5"},
}

// services returns both services, with all calls on the old version.
func services() []*schema.Service {
	return []*schema.Service{service(serviceParts), service(serviceBooking)}
}

func service(name string) *schema.Service {
	return &schema.Service{Name: name, Versions: []*schema.TargetVersion{
		{Name: versionsOf[name].old, Share: uint32(hornbeamwell.FullShare)},
		{Name: versionsOf[name].new},
	}}
}

// routes returns the routes. The timeout of look-ups is a parameter, so that a
// second configuration can differ from the first.
func routes(lookUpTimeout time.Duration) []*schema.Route {
	readMethods := []string{http.MethodGet, http.MethodHead}
	return []*schema.Route{
		{Name: "book-slot", PathPrefix: "/bookings", Methods: []string{http.MethodPost}, Service: serviceBooking, Timeout: durationpb.New(5 * time.Second)},
		{Name: "look-up-part", PathPrefix: "/parts", Methods: readMethods, Service: serviceParts, Idempotent: true, Timeout: durationpb.New(lookUpTimeout)},
		{Name: "order-spares", PathPrefix: "/parts", Methods: []string{http.MethodPost}, Service: serviceParts, Timeout: durationpb.New(5 * time.Second)},
		{Name: "read-booking", PathPrefix: "/bookings", Methods: readMethods, Service: serviceBooking, Idempotent: true, Timeout: durationpb.New(2 * time.Second)},
	}
}

// callMix returns the mix of calls: mostly reads, besides bookings and orders
// with and without a body and an idempotency key.
func callMix() []load.Call {
	return []load.Call{
		{Weight: 3, Method: http.MethodGet, Path: "/parts/7", Idempotent: true, ResponseBytes: 2048},
		{Weight: 3, Method: http.MethodGet, Path: "/bookings/7", Idempotent: true, ResponseBytes: 512},
		{Weight: 1, Method: http.MethodPost, Path: "/bookings", BodyBytes: 300},
		{Weight: 1, Method: http.MethodPost, Path: "/bookings", Keyed: true},
		{Weight: 1, Method: http.MethodPost, Path: orderPath, BodyBytes: 300, Keyed: true},
		{Weight: 1, Method: http.MethodPost, Path: orderPath},
	}
}
