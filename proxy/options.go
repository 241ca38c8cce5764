package proxy

import (
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// Options describe a proxy. The zero value of each field but Instance and
// Zone has a default.
type Options struct {
	// Instance is the id of the process, Zone its availability zone.
	Instance, Zone string
	// Service is the service beside this process, empty where there is none.
	Service string
	// HeaderCodec is the headers towards callers and targets, by default the
	// product's own.
	HeaderCodec hornbeamwell.HeaderCodec
	// Retries bounds the calls that reach a target again.
	Retries RetryPolicy
	// LinkRate is what the link of this machine carries, in bits a second, 0
	// where it is no bound.
	LinkRate float64
	// Logger takes one line for each change of state. The default drops them.
	Logger log.Logger
	// Tracer starts a span for each hop. Without it traceparent headers pass
	// through unchanged.
	Tracer trace.Tracer
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// RecordsCompleteSince is the time from which on this process knows of each call
	// with a key that its target was given. The default is the time of New. An
	// earlier time may be given only where no predecessor of the process ran
	// such a call, as at the first start of a deployment.
	RecordsCompleteSince time.Time
	// Rand is the source of randomness. It is used by several goroutines at
	// once.
	Rand route.Random
}

// RetryPolicy bounds the calls of a service that reach its targets again.
type RetryPolicy struct {
	// Ratio is the part of a proxy's calls to a service that may be sent again.
	Ratio float64
	// Reserve is the number of calls that may be sent again without any
	// traffic, shared by all proxies where IsShared is true.
	Reserve  float64
	IsShared bool
}

// DefaultRetryPolicy returns the policy of a proxy that shares nothing.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Ratio: route.DefaultRetryRatio, Reserve: route.DefaultRetryReserve}
}

// reserveOf returns the reserve of one of so many proxies.
func (r RetryPolicy) reserveOf(proxies int) float64 {
	if !r.IsShared {
		return r.Reserve
	}
	return r.Reserve / float64(max(proxies, 1))
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.HeaderCodec == nil {
		o.HeaderCodec = plainHeaderCodec{}
	}
	if o.Retries == (RetryPolicy{}) {
		o.Retries = DefaultRetryPolicy()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RecordsCompleteSince.IsZero() {
		o.RecordsCompleteSince = o.Now()
	}
	if o.Rand == nil {
		o.Rand = route.GlobalRandom{}
	}
}
