package connection

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestResponseBeforeTheEndOfTheBodyIsNotReset guards against a response to a request whose
// body was not read that waits for more of the body, or whose connection is closed at once: the
// client, which still sends, would get a reset in the place of the response.
func TestResponseBeforeTheEndOfTheBodyIsNotReset(t *testing.T) {
	t.Parallel()
	const size, bodySize, chunk = 200_000, 4 << 20, 64 << 10
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("p", size))
	})}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(Limits{MemoryBytes: 64 << 20, Connections: 100}, log.NewNopLogger())
	Serve(server, Refuse)
	go func() { _ = server.Serve(table.Listen(listener, Options{Name: "test"})) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	part := strings.Repeat("u", chunk)
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodySize, part); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	// The handler has returned by now. On a closed connection the next bytes cause a reset.
	if _, err := io.WriteString(conn, part); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, err := io.ReadAll(response.Body); err != nil || len(got) != size {
		t.Errorf("%d bytes of %d, error %v", len(got), size, err)
	}
}
