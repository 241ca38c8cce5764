package wire

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
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

// failingListener fails a number of times before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// TestServeOutlivesFailedAccepts guards against a process that ends, and the calls of all its
// callers with it, because it had no file descriptor left for a connection.
func TestServeOutlivesFailedAccepts(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux()
	received := make(chan struct{})
	Handle(mux, "test.call", func(context.Context, *Peer, struct{}) (any, error) {
		close(received)
		return nil, nil
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, &failingListener{listener, 3}, mux, nil) }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer := NewPeer(t.Context(), conn, NewMux())
	if err := Notify(t.Context(), peer, "test.call", struct{}{}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-received:
	case err := <-ended:
		t.Fatalf("Serve returned %v", err)
	case <-time.After(5 * time.Second):
		t.Fatal("no connection is accepted after the failures")
	}
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("Serve returned %v, want context.Canceled", err)
	}
}
