package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell/connection"
)

// serveBounded serves the mux with a budget of 4 MiB and returns the address.
func serveBounded(t *testing.T, mux *Mux) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := connection.NewTable(connection.Limits{MemoryBytes: 4 << 20, Connections: 100}, log.NewNopLogger())
	bounded := table.Listen(listener, connection.Options{Name: t.Name(), Protocol: connection.Messages})
	go func() { _ = Serve(t.Context(), bounded, mux, nil) }()
	return listener.Addr().String()
}

func dialRaw(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// isClosed reports whether the other end closes the connection within ten seconds.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestMessagesBeyondTheBudgetEndTheirConnections guards against a message that is held although
// it takes more than clients have: one of many bytes, of which the last don't come, and one
// of many objects, which is large only once it is decoded. A small message is handled
// afterwards.
func TestMessagesBeyondTheBudgetEndTheirConnections(t *testing.T) {
	t.Parallel()
	mux := NewMux()
	Handle(mux, "test.list", func(_ context.Context, _ *Peer, list []struct{}) (int, error) { return len(list), nil })
	address := serveBounded(t, mux)
	for name, message := range map[string]string{
		"bytes":   string(binary.AppendUvarint(nil, 30<<20)) + strings.Repeat(" ", 8<<20),
		"objects": frameText(`{"jsonrpc":"2.0","id":1,"method":"test.list","params":[` + strings.Repeat("{},", 20_000) + `{}]}`),
	} {
		conn := dialRaw(t, address)
		// The write fails once the connection is closed.
		go func() { _, _ = conn.Write([]byte(message)) }()
		if !isClosed(conn) {
			t.Errorf("%s: the connection stays open", name)
		}
	}
	peer := NewPeer(t.Context(), dialRaw(t, address), NewMux())
	if n, err := Call[[]struct{}, int](t.Context(), peer, "test.list", make([]struct{}, 3)); err != nil || n != 3 {
		t.Errorf("a small message: %d, %v", n, err)
	}
}

func frameText(message string) string {
	return string(binary.AppendUvarint(nil, uint64(len(message)))) + message
}

// TestConcurrentHandlersAreBounded guards against a connection that runs a handler for each
// message without a bound.
func TestConcurrentHandlersAreBounded(t *testing.T) {
	t.Parallel()
	var running, most atomic.Int64
	release := make(chan struct{})
	mux := NewMux()
	HandleConcurrent(mux, "test.wait", func(context.Context, *Peer, struct{}) (any, error) {
		most.Store(max(most.Load(), running.Add(1)))
		<-release
		running.Add(-1)
		return nil, nil
	})
	conn := dialRaw(t, serveBounded(t, mux))
	call := frameText(`{"jsonrpc":"2.0","id":1,"method":"test.wait","params":{}}`)
	if _, err := conn.Write([]byte(strings.Repeat(call, 200))); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for running.Load() < maxConcurrentHandlers && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	if most.Load() != maxConcurrentHandlers {
		t.Errorf("%d handlers ran at once, want %d", most.Load(), maxConcurrentHandlers)
	}
}
