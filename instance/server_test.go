package instance

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// slowListener accepts one connection at a time after a delay, as a process does
// that gets little processor time.
type slowListener struct {
	*net.TCPListener
	delay time.Duration
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	return l.TCPListener.Accept()
}

// TestStopServesConnectionsNotYetAccepted stops a server under load while the kernel
// holds connections, with their requests, that the server has not accepted yet.
func TestStopServesConnectionsNotYetAccepted(t *testing.T) {
	t.Parallel()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := slowListener{TCPListener: listener.(*net.TCPListener), delay: 5 * time.Millisecond}
	server := newGracefulServer(&http.Server{
		ReadHeaderTimeout: time.Second,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}, slow)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.serve(ctx) }()
	const callers = 20
	connections := make([]net.Conn, 0, callers)
	for range callers {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		if _, err := fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		connections = append(connections, connection)
	}
	server.stopAccepting(t.Context())
	for i, connection := range connections {
		if err := connection.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Errorf("caller %d of %d: %v, want a response", i, callers, err)
			continue
		}
		_ = response.Body.Close()
	}
}

// TestStopUnderConnectionsServesEachOfThem guards against a reset of a connection that
// the kernel completes just before the listener is closed. Callers connect all the
// time while a server stops, each for one request: who gets a connection gets a response.
func TestStopUnderConnectionsServesEachOfThem(t *testing.T) {
	t.Parallel()
	const (
		stops   = 100
		callers = 8
	)
	for stop := range stops {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := newGracefulServer(&http.Server{
			ReadHeaderTimeout: time.Second,
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		}, listener)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = server.serve(ctx) }()
		errs := make(chan error, callers)
		for range callers {
			go func() { errs <- callUntilRefused(t.Context(), listener.Addr().String()) }()
		}
		time.Sleep(5 * time.Millisecond)
		server.stopAccepting(t.Context())
		for range callers {
			if err := <-errs; err != nil {
				t.Errorf("stop %d: %v", stop, err)
			}
		}
		cancel()
	}
}

// callUntilRefused sends requests, each on a new connection, until no connection is
// accepted. It returns an error if a connection got no response.
func callUntilRefused(ctx context.Context, address string) error {
	for sent := 0; ; sent++ {
		connection := dialServer(ctx, address)
		if connection == nil {
			return nil
		}
		if err := callOnce(connection); err != nil {
			return fmt.Errorf("request %d got no response: %w", sent, err)
		}
	}
}

// dialServer returns a connection, nil if none is accepted.
func dialServer(ctx context.Context, address string) net.Conn {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	return connection
}

// callOnce sends one request on the connection and reads the response.
func callOnce(connection net.Conn) error {
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
