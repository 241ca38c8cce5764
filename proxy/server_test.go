package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestHTTP2Caller sends calls over HTTP/2 without TLS.
func TestHTTP2Caller(t *testing.T) {
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
		if r.URL.Path == "/packs/cut" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	body := strings.Repeat("x", 200_000)
	for path, isComplete := range map[string]bool{"/packs/1": true, "/packs/cut": false} {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.entry+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if isComplete != (err == nil && string(got) == body) {
			t.Errorf("%s: status %d, %d bytes, error %v, want an error for /packs/cut only", path, response.StatusCode, len(got), err)
		}
	}
}
