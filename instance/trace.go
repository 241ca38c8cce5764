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

// tracerName names the instrumentation in exported spans.
const tracerName = "github.com/hornbeamwell/hornbeamwell"

// tracing holds the provider of spans. The provider is nil where spans are not
// exported.
type tracing struct {
	provider *sdktrace.TracerProvider
}

// newTracing exports spans to the endpoint, a URL for OTLP over HTTP. An empty
// endpoint exports nothing.
func newTracing(ctx context.Context, endpoint, instance, zone string) (*tracing, error) {
	if endpoint == "" {
		return &tracing{}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, fmt.Errorf("export traces to %s: %w", endpoint, err)
	}
	described := resource.NewSchemaless(
		attribute.String("service.name", "hornbeamwell"),
		attribute.String("service.instance.id", instance),
		attribute.String("cloud.availability_zone", zone),
	)
	return &tracing{provider: sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(described),
	)}, nil
}

// tracer returns a tracer that costs nothing where spans are not exported.
func (t *tracing) tracer() trace.Tracer {
	if t.provider == nil {
		return noop.NewTracerProvider().Tracer(tracerName)
	}
	return t.provider.Tracer(tracerName)
}

// shutdown sends the spans that wait.
func (t *tracing) shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("send the last spans: %w", err)
	}
	return nil
}
