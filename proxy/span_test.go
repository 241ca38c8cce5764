package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestSpanOfEachHop checks that a trace continues from the caller to the
// target.
func TestSpanOfEachHop(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.add("a", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Traceparent"))
	}))
	n.proxy.tracer = newHopTracer(provider.Tracer("test"))
	m.update()
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, n.entry+"/profiles/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
	got := do(request)
	spans := recorder.Ended()
	if len(spans) != 2 {
		t.Fatalf("%d spans, want 2; response %v", len(spans), got)
	}
	exit, entry := spans[0], spans[1]
	if exit.Name() != "exit browse" || entry.Name() != "entry browse" {
		t.Fatalf("spans %q and %q, want \"exit browse\" and \"entry browse\"", exit.Name(), entry.Name())
	}
	if entry.Parent().SpanID().String() != "b7ad6b7169203331" || exit.Parent().SpanID() != entry.SpanContext().SpanID() {
		t.Fatal("the spans are not nested")
	}
	if !strings.Contains(got.body, traceID) || !strings.Contains(got.body, exit.SpanContext().SpanID().String()) {
		t.Fatalf("the target got traceparent %q, want the caller's trace id and the span id of the exit", got.body)
	}
}
