package instance

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// TestExportsSpansOfBothHops sends a call through two proxies that export their
// spans, and checks that the collector receives at least as many spans as the call
// has hops.
func TestExportsSpansOfBothHops(t *testing.T) {
	t.Parallel()
	var spans atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
			return
		}
		var request collector.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &request); err != nil {
			t.Errorf("decode spans: %v", err)
		}
		for _, resource := range request.GetResourceSpans() {
			for _, scope := range resource.GetScopeSpans() {
				spans.Add(int64(len(scope.GetSpans())))
			}
		}
	}))
	t.Cleanup(server.Close)
	d := newDeployment(t, "proxy-0", "proxy-1")
	for id, process := range d.settings {
		process.TraceEndpoint = server.URL + "/v1/traces"
		d.settings[id] = process
	}
	d.startAll()
	d.startTarget("proxy-0", "v1")
	d.awaitInForce("control-0", d.apply("control-0"))
	d.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := d.call(ctx, "proxy-1")
		return err
	})
	const spansPerCall = 2
	d.eventually(15*time.Second, func(context.Context) error {
		if spans.Load() < spansPerCall {
			return errors.New("the collector received fewer spans than the call has hops")
		}
		return nil
	})
}
