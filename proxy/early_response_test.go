package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestResponseBeforeTheBodyIsWhole guards against a response that is cut, or replaced by 502,
// because the target does not read the long body of the call. Without proxies it is whole.
func TestResponseBeforeTheBodyIsWhole(t *testing.T) {
	t.Parallel()
	const size = 200_000
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	target := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("p", size))
	})}
	exit := m.addAt("exit", "v1", "north", 10, serve(t, target))
	entry := m.add("entry", "v1", "north", http.NotFoundHandler())
	entry.target.Service = "none"
	m.update()
	exit.proxy.local.Load().pool.transport.ExpectContinueTimeout = time.Minute
	var calls sync.WaitGroup
	for i := range 64 {
		key := ""
		if i%2 == 1 {
			key = "key-" + strconv.Itoa(i)
		}
		if i%8 == 0 {
			calls.Wait()
		}
		calls.Go(func() {
			got := call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", key, strings.Repeat("u", size))
			isWhole := got.err == nil && got.status == http.StatusOK && len(got.body) == size
			// On a busy machine a new connection may not be open in time.
			if !isWhole && got.header.Get(headerReason) != string(ReasonUnreachable) {
				t.Errorf("key %q: status %d, reason %s, %d bytes of %d, error %v", key, got.status, got.header.Get(headerReason), len(got.body), size, got.err)
			}
		})
	}
	calls.Wait()
}

// TestResponseBeforeTheEndOfTheBodyIsWhole guards against a response that is cut, or replaced
// by 502, because the target reads only a part of the long body of the call.
func TestResponseBeforeTheEndOfTheBodyIsWhole(t *testing.T) {
	t.Parallel()
	const size = 200_000
	address := serveTCP(t, func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.CopyN(io.Discard, request.Body, 100_000)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("p", size))
		// The other end closes the connection.
		_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.Copy(io.Discard, connection)
	})
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	m.addAt("exit", "v1", "north", 10, address)
	entry := m.add("entry", "v1", "north", http.NotFoundHandler())
	entry.target.Service = "none"
	m.update()
	var calls sync.WaitGroup
	for i := range 64 {
		if i%8 == 0 {
			calls.Wait()
		}
		calls.Go(func() {
			got := call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", "", strings.Repeat("u", 2*size))
			isWhole := got.err == nil && got.status == http.StatusOK && len(got.body) == size
			// On a busy machine a new connection may not be open in time.
			if !isWhole && got.header.Get(headerReason) != string(ReasonUnreachable) {
				t.Errorf("status %d, reason %s, %d bytes of %d, error %v", got.status, got.header.Get(headerReason), len(got.body), size, got.err)
			}
		})
	}
	calls.Wait()
}
