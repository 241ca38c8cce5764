package wire

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// justEnded is a context that has ended and has not told its children yet.
type justEnded struct{}

func (justEnded) Deadline() (time.Time, bool) { return time.Time{}, false }
func (justEnded) Done() <-chan struct{}       { return make(chan struct{}) }
func (justEnded) Err() error                  { return context.Canceled }
func (justEnded) Value(any) any               { return nil }

// TestServeClosesItsListener accepts a connection at the moment at which the
// context ends: neither it nor the listener stays open.
func TestServeClosesItsListener(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := Serve(justEnded{}, listener, NewMux(), nil); !errors.Is(err, context.Canceled) {
		t.Fatalf("Serve returns %v", err)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("the listener accepts after its end: %v", err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the accepted connection stays open: %v", err)
	}
}
