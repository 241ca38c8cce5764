package proxy

import (
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/quota"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// Options configures a Proxy. Each field except Instance and Zone has a
// default.
type Options struct {
	// Instance is the id of the process, Zone its availability zone.
	Instance, Zone string
	// Service is the name of the service of the local target, empty if there is
	// none.
	Service string
	// HeaderCodec maps call metadata to the headers of callers and targets. The
	// default uses Hornbeamwell-Timeout, Request-Id and Retry-After.
	HeaderCodec hornbeamwell.HeaderCodec
	// Retries limits how often calls are sent again. The default is
	// DefaultRetryPolicy.
	Retries RetryPolicy
	// HedgeShare is the maximum share of the calls of a service that are hedged: sent to
	// a second target because the first is slow. With 0, none are.
	HedgeShare float64
	// LinkRate is the bandwidth of this machine's network link in bits per
	// second, 0 for no limit.
	LinkRate float64
	// RequiresKeyLease is true where calls that need an API key are served only during
	// the lease of SetKeyLease.
	RequiresKeyLease bool
	// Connections bounds the connections that the proxy opens. With nil they have no bound.
	Connections *connection.Table
	// Grace is the time from the signal of a planned stop until the process is killed. With
	// 0 it is not known, and BeginStop does nothing.
	Grace time.Duration
	// OnTargetLeaving is called once for each incarnation of the local target that
	// states in a response that it is about to stop. The default does nothing.
	OnTargetLeaving func(incarnation uint64)
	// Logger receives lines about calls at a limited rate. The default discards
	// them.
	Logger log.Logger
	// Tracer starts a span for each hop. Without it, traceparent headers pass
	// through unchanged.
	Tracer trace.Tracer
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
	// LeaseNow returns the current time on the clock of SetShareLease and SetKeyLease. The clock
	// must count the time for which the machine was suspended, and must not follow
	// steps of the wall clock. The default is Now.
	LeaseNow func() time.Time
	// RecordsCompleteSince is the time since which this process has a record of
	// each keyed call that was sent to its target. The default is the time of
	// New. An earlier time is valid only if no previous process ran such a call,
	// as at the first start of a deployment.
	RecordsCompleteSince time.Time
	// Quota bounds the calls of a team over all proxies. The default is
	// quota.DefaultBounds.
	Quota quota.Bounds
	// Rand is the source of randomness. It must be safe for concurrent use.
	Rand route.Random
}

// RetryPolicy limits the retries of calls to a service.
type RetryPolicy struct {
	// Ratio is the fraction of a proxy's calls to a service that may be
	// retried.
	Ratio float64
	// Reserve is the number of retries that are allowed without any traffic. If
	// IsShared is true, all proxies share it.
	Reserve  float64
	IsShared bool
}

// DefaultRetryPolicy returns a policy whose reserve is not shared among
// proxies.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Ratio: route.DefaultRetryRatio, Reserve: route.DefaultRetryReserve}
}

// reservePerProxy returns the reserve of each proxy, given their number.
func (r RetryPolicy) reservePerProxy(proxies int) float64 {
	if !r.IsShared {
		return r.Reserve
	}
	return r.Reserve / float64(max(proxies, 1))
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.OnTargetLeaving == nil {
		o.OnTargetLeaving = func(uint64) {}
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
	if o.LeaseNow == nil {
		o.LeaseNow = o.Now
	}
	if o.RecordsCompleteSince.IsZero() {
		o.RecordsCompleteSince = o.Now()
	}
	if o.Quota == (quota.Bounds{}) {
		o.Quota = quota.DefaultBounds()
	}
	if o.Rand == nil {
		o.Rand = route.GlobalRandom{}
	}
}
