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

// TestSpansOfBothHopsReachTheCollector sends calls with an endpoint for traces
// set on both proxies.
func TestSpansOfBothHopsReachTheCollector(t *testing.T) {
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
	s := newSite(t, "proxy-0", "proxy-1")
	for id, process := range s.settings {
		process.TraceEndpoint = server.URL + "/v1/traces"
		s.settings[id] = process
	}
	s.startAll()
	s.startTarget("proxy-0", "v1")
	s.awaitInForce("control-0", s.apply("control-0"))
	s.eventually(5*time.Second, func(ctx context.Context) error {
		_, err := s.call(ctx, "proxy-1")
		return err
	})
	const spansPerCall = 2
	s.eventually(15*time.Second, func(context.Context) error {
		if spans.Load() < spansPerCall {
			return errors.New("no span for each hop")
		}
		return nil
	})
}
