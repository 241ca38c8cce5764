package proxy

import (
	"encoding/json"
	"net/http"
	"testing"
)

// entryAnswer is what a caller sees of an answer.
type entryAnswer struct {
	status     int
	isClosing  bool
	retryAfter string
	reason     string
}

// answerOf sends a call to an entry server.
func answerOf(t *testing.T, entry string) entryAnswer {
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
	return entryAnswer{
		status:     response.StatusCode,
		isClosing:  response.Close,
		retryAfter: response.Header.Get("Retry-After"),
		reason:     refusal.Error,
	}
}

func TestLeavingProxyAsksCallersToCloseTheirConnections(t *testing.T) {
	p := New(Options{Instance: "p1", Zone: "a"})
	entry := serve(t, p.EntryServer()).String()
	if answerOf(t, entry).isClosing {
		t.Error("a connection is closed before the proxy leaves")
	}
	p.DisableKeepAlives()
	if !answerOf(t, entry).isClosing {
		t.Error("a connection stays open although the proxy leaves")
	}
}

func TestProxyWithoutAConfigurationAsksCallersToComeBack(t *testing.T) {
	p := New(Options{Instance: "p1", Zone: "a"})
	got := answerOf(t, serve(t, p.EntryServer()).String())
	if got.status != http.StatusServiceUnavailable || got.reason != "not_configured" || got.retryAfter == "" {
		t.Errorf("got %+v", got)
	}
}
