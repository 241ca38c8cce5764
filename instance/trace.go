package instance

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName is the instrumentation name of exported spans.
const tracerName = "github.com/hornbeamwell/hornbeamwell"

// tracing holds the tracer provider. The provider is nil if spans are not
// exported.
type tracing struct {
	provider *sdktrace.TracerProvider
}

// newTracing sets up the export of spans to the endpoint, a URL for OTLP over
// HTTP. Nothing is exported if the endpoint is empty.
func newTracing(ctx context.Context, endpoint, instance, zone string) (*tracing, error) {
	if endpoint == "" {
		return &tracing{}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, fmt.Errorf("create trace exporter for %s: %w", endpoint, err)
	}
	attributes := resource.NewSchemaless(
		attribute.String("service.name", "hornbeamwell"),
		attribute.String("service.instance.id", instance),
		attribute.String("cloud.availability_zone", zone),
	)
	return &tracing{provider: sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(attributes),
	)}, nil
}

// tracer returns the tracer, a no-op one if spans are not exported.
func (t *tracing) tracer() trace.Tracer {
	if t.provider == nil {
		return noop.NewTracerProvider().Tracer(tracerName)
	}
	return t.provider.Tracer(tracerName)
}

// shutdown exports the remaining spans and closes the provider.
func (t *tracing) shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("export remaining spans: %w", err)
	}
	return nil
}
