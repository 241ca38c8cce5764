package wire

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// canceledContext is a context that has ended but whose Done channel is not
// closed yet.
type canceledContext struct{}

func (canceledContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (canceledContext) Done() <-chan struct{}       { return make(chan struct{}) }
func (canceledContext) Err() error                  { return context.Canceled }
func (canceledContext) Value(any) any               { return nil }

// TestServeClosesItsListener checks that neither the listener nor a connection
// that is accepted just as the context ends stays open.
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
	if err := Serve(canceledContext{}, listener, NewMux(), nil); !errors.Is(err, context.Canceled) {
		t.Fatalf("Serve returned %v, want context.Canceled", err)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("the listener accepts connections after Serve has returned: %v", err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the accepted connection stays open: %v", err)
	}
}
