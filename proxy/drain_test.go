package proxy

import (
	"encoding/json"
	"net/http"
	"testing"
)

// callerResponse is the part of a response that the tests check.
type callerResponse struct {
	status     int
	isClosing  bool
	retryAfter string
	reason     string
}

// callEntry sends a call to an entry server.
func callEntry(t *testing.T, entry string) callerResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var refusal struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	return callerResponse{
		status:     response.StatusCode,
		isClosing:  response.Close,
		retryAfter: response.Header.Get("Retry-After"),
		reason:     refusal.Error,
	}
}

func TestDisableKeepAlivesClosesCallerConnections(t *testing.T) {
	p := New(Options{Instance: "p1", Zone: "a"})
	entry := serve(t, p.EntryServer()).String()
	if callEntry(t, entry).isClosing {
		t.Error("the connection was closed while keep-alives were enabled")
	}
	p.DisableKeepAlives()
	if !callEntry(t, entry).isClosing {
		t.Error("the connection stayed open although keep-alives were disabled")
	}
}

func TestUnconfiguredProxySendsRetryAfter(t *testing.T) {
	p := New(Options{Instance: "p1", Zone: "a"})
	got := callEntry(t, serve(t, p.EntryServer()).String())
	if got.status != http.StatusServiceUnavailable || got.reason != "not_configured" || got.retryAfter == "" {
		t.Errorf("got %+v, want status 503, reason not_configured and a Retry-After", got)
	}
}
