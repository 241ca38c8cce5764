package proxy

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// hopTracer starts a span for each hop of a call. Without a tracer the
// traceparent header passes through unchanged.
type hopTracer struct {
	// tracer is nil if no spans are recorded.
	tracer     trace.Tracer
	propagator propagation.TraceContext
}

func newHopTracer(tracer trace.Tracer) hopTracer {
	if _, isNoop := tracer.(noop.Tracer); isNoop {
		tracer = nil
	}
	return hopTracer{tracer: tracer}
}

// start starts the span of a hop and injects it into the headers of the next
// hop.
func (t *hopTracer) start(ctx context.Context, kind trace.SpanKind, name string, h http.Header) trace.Span {
	if t.tracer == nil {
		return nil
	}
	carrier := propagation.HeaderCarrier(h)
	ctx, span := t.tracer.Start(t.propagator.Extract(ctx, carrier), name, trace.WithSpanKind(kind))
	t.propagator.Inject(ctx, carrier)
	return span
}

// endSpan ends the span of a hop with its status or refusal.
func endSpan(span trace.Span, status int, refused *refusal) {
	if span == nil {
		return
	}
	defer span.End()
	if refused != nil {
		span.SetStatus(codes.Error, string(refused.reason))
		span.SetAttributes(
			attribute.String("hornbeamwell.outcome", string(refused.outcome)),
			attribute.String("hornbeamwell.reason", string(refused.reason)),
			attribute.Int("http.response.status_code", refused.status),
		)
		return
	}
	span.SetAttributes(
		attribute.String("hornbeamwell.outcome", string(route.OutcomeRan)),
		attribute.Int("http.response.status_code", status),
	)
	if status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(status))
	}
}
