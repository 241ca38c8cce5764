package target

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// maxAnnouncementBytes limits the request body of an announcement.
const maxAnnouncementBytes = 64 << 10

// announcementRequest is the JSON request body of an announcement.
type announcementRequest struct {
	Service     string `json:"service"`
	Version     string `json:"version"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	HealthURL   string `json:"health_url"`
	// ColdStart is a duration such as 20s. Empty means DefaultColdStart.
	ColdStart   string `json:"cold_start"`
	Incarnation uint64 `json:"incarnation"`
}

// targetResponse is the response to every successful request.
type targetResponse struct {
	wire.Target
	// RenewMs is the time in milliseconds within which the target must announce
	// itself again.
	RenewMs int64 `json:"renew_ms"`
}

// errorResponse is the response to a refused request.
type errorResponse struct {
	Error  string         `json:"error"`
	Faults []faultMessage `json:"faults,omitempty"`
}

type faultMessage struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Handler returns the HTTP API for the target. It has no authentication and
// must be served on loopback only.
//
//	PUT /v1/target     announces the target or renews its announcement
//	DELETE /v1/target  drains the target
//	GET /v1/target     returns the announced target in its current state
func (a *Announcer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", a.servePut)
	mux.HandleFunc("DELETE /v1/target", a.serveDelete)
	mux.HandleFunc("GET /v1/target", a.serveGet)
	return mux
}

func (a *Announcer) servePut(w http.ResponseWriter, r *http.Request) {
	announcement, err := readAnnouncement(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	target, err := a.Announce(a.options.Now(), announcement)
	writeTarget(w, target, err)
}

func (a *Announcer) serveDelete(w http.ResponseWriter, _ *http.Request) {
	target, err := a.Drain(a.options.Now())
	writeTarget(w, target, err)
}

func (a *Announcer) serveGet(w http.ResponseWriter, _ *http.Request) {
	target, err := a.Current()
	writeTarget(w, target, err)
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (Announcement, error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	var m announcementRequest
	if err := decoder.Decode(&m); err != nil {
		return Announcement{}, &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{decodeFault(err)}}
	}
	coldStart, err := parseColdStart(m.ColdStart)
	if err != nil {
		return Announcement{}, err
	}
	return Announcement{
		Service:     m.Service,
		Version:     m.Version,
		Address:     wire.ToAddress(m.Address),
		Slots:       m.Slots,
		Connections: m.Connections,
		HealthURL:   m.HealthURL,
		ColdStart:   coldStart,
		Incarnation: m.Incarnation,
	}, nil
}

func parseColdStart(text string) (time.Duration, error) {
	if text == "" {
		return DefaultColdStart, nil
	}
	coldStart, err := time.ParseDuration(text)
	if err != nil {
		problem := fmt.Sprintf("%q is not a duration such as 20s", text)
		return 0, &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: "cold_start", Problem: problem}}}
	}
	return coldStart, nil
}

// decodeFault converts a JSON error into a fault. It names the field if the
// error does.
func decodeFault(err error) hornbeamwell.Fault {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return hornbeamwell.Fault{Field: typeErr.Field, Problem: fmt.Sprintf("a JSON %s does not fit", typeErr.Value)}
	}
	return hornbeamwell.Fault{Field: "body", Problem: err.Error()}
}

func writeTarget(w http.ResponseWriter, target hornbeamwell.Target, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, targetResponse{Target: wire.FromTarget(target), RenewMs: RenewInterval.Milliseconds()})
}

func writeError(w http.ResponseWriter, err error) {
	response := errorResponse{Error: err.Error()}
	status := http.StatusInternalServerError
	var invalid *hornbeamwell.InvalidError
	var stale *StaleIncarnationError
	switch {
	case errors.As(err, &invalid):
		status = http.StatusBadRequest
		for _, f := range invalid.Faults {
			response.Faults = append(response.Faults, faultMessage{Field: f.Field, Problem: f.Problem})
		}
	case errors.As(err, &stale):
		status = http.StatusConflict
	case errors.Is(err, ErrNoTarget):
		status = http.StatusNotFound
	}
	writeJSON(w, status, response)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
