package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// pipeline opens a connection to the entry of the node and sends the requests in one
// write.
func pipeline(t *testing.T, n *node, requests ...string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	connection, err := dialer.DialContext(t.Context(), "tcp", strings.TrimPrefix(n.entry, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if _, err := io.WriteString(connection, strings.Join(requests, "")); err != nil {
		t.Fatal(err)
	}
	return connection
}

// get returns a request for a path.
func get(path, headers string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n%s\r\n", path, headers)
}

// TestPipelinedRequestsAreAnsweredInOrder guards against responses that overtake one
// another on a connection whose caller does not wait for them, also when a refusal is
// among them and later calls are faster.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	t.Parallel()
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/profiles/0" {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	paths := []string{"/profiles/0", "/profiles/1", "/other", "/profiles/2"}
	requests := make([]string, 0, len(paths))
	for _, path := range paths {
		requests = append(requests, get(path, ""))
	}
	reader := bufio.NewReader(pipeline(t, n, requests...))
	for _, path := range paths {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		isOther := response.StatusCode == http.StatusNotFound && path == "/other"
		if err != nil || !isOther && string(body) != path {
			t.Errorf("the response to %s has status %d, the body %q and the error %v", path, response.StatusCode, body, err)
		}
	}
}

// TestPipelinedRequestsBehindCloseAreNotRun guards against requests that run although
// the response before them has announced the end of the connection, so that their
// callers never learn of it.
func TestPipelinedRequestsBehindCloseAreNotRun(t *testing.T) {
	t.Parallel()
	for name, prepare := range map[string]func(*Proxy) string{
		"caller closes":    func(*Proxy) string { return "Connection: close\r\n" },
		"proxy closes":     func(p *Proxy) string { p.DisableKeepAlives(); return "" },
		"proxy is drained": func(p *Proxy) string { p.draining.Store(true); return "" },
	} {
		var runs atomic.Int64
		n := newSingleNode(t, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/profiles/0" {
				runs.Add(1)
			}
		})
		reader := bufio.NewReader(pipeline(t, n, get("/profiles/0", prepare(n.proxy)), get("/profiles/1", ""), get("/profiles/2", "")))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_ = response.Body.Close()
		if !response.Close {
			t.Errorf("%s: the response does not announce the end of the connection", name)
		}
		if next, err := http.ReadResponse(reader, nil); err == nil {
			_ = next.Body.Close()
			t.Errorf("%s: a response with status %d follows the last one", name, next.StatusCode)
		}
		time.Sleep(100 * time.Millisecond)
		if runs.Load() > 0 {
			t.Errorf("%s: %d requests behind the last response ran", name, runs.Load())
		}
	}
}

// TestLeavingCallerIsNoticedBehindPipelinedBytes guards against calls that run to their
// end for a caller that has gone, because further bytes were received before it left.
func TestLeavingCallerIsNoticedBehindPipelinedBytes(t *testing.T) {
	t.Parallel()
	for name, further := range map[string][2]string{
		"nothing further":                     {},
		"a further request at once":           {get("/profiles/1", ""), ""},
		"a further request while it runs":     {"", get("/profiles/1", "")},
		"one byte of a request while it runs": {"", "G"},
	} {
		started, ended := make(chan struct{}, 2), make(chan error, 2)
		n := newSingleNode(t, func(_ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
			defer cancel()
			<-ctx.Done()
			ended <- ctx.Err()
		})
		connection := pipeline(t, n, get("/profiles/0", ""), further[0])
		<-started
		if _, err := io.WriteString(connection, further[1]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		_ = connection.Close()
		closed := time.Now()
		if err := <-ended; err != context.Canceled { //nolint:errorlint // the error of a context is not wrapped
			t.Errorf("%s: the target was told %v after %s, want the call cancelled", name, err, time.Since(closed))
		}
	}
}
