package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Paths of the endpoints of a stand-in target.
const (
	PathHealth = "/standin/health"
	PathLoad   = "/standin/load"
	PathRuns   = "/standin/runs"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 16 << 20

// shedRetryAfterSeconds is the Retry-After of a shed call.
const shedRetryAfterSeconds = 1

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, t.serveHealth)
	mux.HandleFunc("GET "+PathLoad, t.serveLoad)
	mux.HandleFunc("GET "+PathRuns, t.serveRuns)
	mux.HandleFunc("/", t.serveCall)
	return mux
}

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	running := int(t.running.Add(1))
	defer t.running.Add(-1)
	t.countCall(time.Now())
	t.rate.record(time.Now())
	w = &statingWriter{ResponseWriter: w, target: t}
	w.Header().Set(HeaderVersion, t.options.Version)
	if t.options.Name != "" {
		w.Header().Set(HeaderTarget, t.options.Name)
	}
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	p := t.faults.plan(time.Now(), r.URL.Path, running)
	if p.sheds {
		w.Header().Set("Retry-After", strconv.Itoa(shedRetryAfterSeconds))
		http.Error(w, "too many concurrent calls", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	endRun := t.options.Runs.Begin(runID(r))
	defer endRun()
	if r.Header.Get(HeaderCrash) != "" {
		t.crash()
		return
	}
	if !wait(r, p.delay) {
		return
	}
	if p.fails {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	response := ResponseBody(r.Header.Get(HeaderRequestID), body, responseSize(r.Header.Get(HeaderResponseBytes)))
	if r.Header.Get(HeaderChunked) == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	}
	w.WriteHeader(http.StatusOK)
	if delay := bodyDelay(r.Header.Get(HeaderBodyDelay)); delay > 0 {
		_ = http.NewResponseController(w).Flush()
		if !wait(r, delay) {
			// The response ends without its body.
			panic(http.ErrAbortHandler)
		}
	}
	endRun()
	_, _ = w.Write(response)
}

// statingWriter adds what the target states about itself at the time of its response.
type statingWriter struct {
	http.ResponseWriter
	target *Target
}

// WriteHeader implements http.ResponseWriter.
func (w *statingWriter) WriteHeader(status int) {
	w.target.rate.setHeader(time.Now(), w.Header())
	if w.target.isLeaving.Load() {
		w.Header().Set(HeaderLeaving, "1")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for http.ResponseController.
func (w *statingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// runID returns the id under which the run of a request is counted: its key,
// otherwise its request id.
func runID(r *http.Request) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return r.Header.Get(HeaderRequestID)
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, "request body truncated", http.StatusBadRequest)
}

// wait waits for the delay and reports whether the caller is still connected.
func wait(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	failing := t.options.Health == HealthFailing
	if t.options.Health == HealthActual {
		failing = !t.faults.isHealthy(time.Now())
	}
	if failing {
		http.Error(w, "failing", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "good\n")
}

// loadStatus is the response of the load endpoint.
type loadStatus struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	message := loadStatus{Running: int(t.running.Load()), Slots: t.options.Slots}
	switch t.options.Load {
	case LoadIdle:
		message.Running = 0
	case LoadFull:
		message.Running = t.options.Slots
	case LoadActual:
	}
	writeJSON(w, message)
}

// RunsMessage is the response of the runs endpoint.
type RunsMessage struct {
	Runs    map[string]int `json:"runs"`
	Dropped uint64         `json:"dropped"`
}

func (t *Target) serveRuns(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, RunsMessage{
		Runs:    t.options.Runs.WithPrefix(r.URL.Query().Get("prefix")),
		Dropped: t.options.Runs.Dropped(),
	})
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
