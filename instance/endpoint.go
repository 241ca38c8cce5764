package instance

import (
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// readiness records whether this process accepts new work. It is safe for
// concurrent use.
type readiness struct {
	configured atomic.Bool
	stopping   atomic.Bool
}

// isReady reports whether a configuration is in force in this process and a
// stop has not begun. It is always false in a process without a proxy.
func (r *readiness) isReady() bool {
	return r.configured.Load() && !r.stopping.Load()
}

// endpointHandler serves metrics and health checks, and the operator API unless
// operator is nil.
func endpointHandler(ready *readiness, operatorPath string, operator http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready.isReady() {
			http.Error(w, "not ready: no configuration is in force or the process is stopping", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	if operator != nil {
		mux.Handle(operatorPath, operator)
	}
	return mux
}
