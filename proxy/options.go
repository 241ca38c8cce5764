package proxy

import (
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// Options describe a proxy. The zero value of each field but Instance and
// Zone has a default.
type Options struct {
	// Instance is the id of the process, Zone its availability zone.
	Instance, Zone string
	// Logger takes one line for each change of state. The default drops them.
	Logger log.Logger
	// Tracer starts a span for each hop. Without it traceparent headers pass
	// through unchanged.
	Tracer trace.Tracer
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// RecordsSince is the time from which on this process knows of each call
	// with a key that its target was given. The default is the time of New. An
	// earlier time may be given only where no predecessor of the process ran
	// such a call, as at the first start of a deployment.
	RecordsSince time.Time
	// Rand is the source of randomness. It is used by several goroutines at
	// once.
	Rand route.Random
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RecordsSince.IsZero() {
		o.RecordsSince = o.Now()
	}
	if o.Rand == nil {
		o.Rand = route.GlobalRandom{}
	}
}
