package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestTargetThatAsksForNoBodyGetsIt guards against calls with a long body that time out at
// targets that ignore Expect, as HTTP/1.0 servers do.
func TestTargetThatAsksForNoBodyGetsIt(t *testing.T) {
	t.Parallel()
	const length = 100_000
	address := serveTCP(t, func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n%d", n)
	})
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 10, address)
	m.update()
	watch := watchPauses(t)
	began := time.Now()
	got := call(t.Context(), http.MethodPost, n.entry+"/pairings", "", strings.Repeat("x", length))
	if took := time.Since(began) - watch.paused(); got.status != http.StatusOK || got.body != "100000" || took > time.Second {
		t.Errorf("status %d, reason %s, body %q, error %v after %s", got.status, got.header.Get(headerReason), got.body, got.err, took)
	}
}
