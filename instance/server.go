package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// shutdownTimeout bounds the shutdown of one server, and the export of the
	// remaining trace spans.
	shutdownTimeout = 5 * time.Second
	// lingerTimeout bounds the wait for connections that are not accepted yet, and
	// after the listener was closed that for busy connections, among them new ones
	// without a request yet.
	lingerTimeout = 500 * time.Millisecond
	// lingerPollInterval is the time between two checks for busy connections.
	lingerPollInterval = 5 * time.Millisecond
)

// gracefulServer is an HTTP server that can stop accepting connections before its
// shutdown. http.Server.Shutdown drops requests whose header it reads after the
// call, so stopAccepting closes the listener and waits for busy connections first.
type gracefulServer struct {
	server   *http.Server
	listener net.Listener

	mu sync.Mutex
	// isClosed is true once stopAccepting has begun to close the listener.
	isClosed bool
	// busy holds the connections that are new or active.
	busy map[net.Conn]struct{}
}

func newGracefulServer(server *http.Server, listener net.Listener) *gracefulServer {
	g := &gracefulServer{server: server, listener: listener, busy: map[net.Conn]struct{}{}}
	server.ConnState = g.trackState
	return g
}

// trackState updates the set of busy connections. It is the ConnState hook of
// the server.
func (g *gracefulServer) trackState(conn net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		g.busy[conn] = struct{}{}
	default:
		delete(g.busy, conn)
	}
}

func (g *gracefulServer) busyCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.busy)
}

// stopAccepting closes the listener once the server has accepted the connections
// that the kernel holds for it, since the close would reset them, and waits until no
// connection is busy. Each wait takes at most lingerTimeout.
func (g *gracefulServer) stopAccepting(ctx context.Context) {
	g.mu.Lock()
	g.isClosed = true
	g.mu.Unlock()
	pollUntil(ctx, func() bool { return stopListening(g.listener) })
	_ = g.listener.Close()
	pollUntil(ctx, func() bool { return g.busyCount() == 0 })
}

// pollUntil waits until the condition holds, for at most lingerTimeout.
func pollUntil(ctx context.Context, holds func() bool) {
	ctx, cancel := context.WithTimeout(ctx, lingerTimeout)
	defer cancel()
	ticker := time.NewTicker(lingerPollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stopListening stops listening unless the kernel holds a connection that was not
// accepted yet, since it would reset that one. It reports whether it did, and true if
// the connections can't be seen. The two steps are adjacent system calls, so that hardly
// any connection is completed between them.
func stopListening(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	isPending := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(poll, 0)
		isPending = pollErr == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
		if !isPending {
			// The close of the listener follows in any case.
			_ = unix.Shutdown(int(fd), unix.SHUT_RD)
		}
	})
	return err != nil || !isPending
}

// addTo adds the server to the group. Its actor runs until ctx ends or the
// server fails.
func (g *gracefulServer) addTo(ctx context.Context, group *run.Group) {
	group.Add(func() error { return g.serve(ctx) }, func(error) { g.shutdown() })
}

func (g *gracefulServer) serve(ctx context.Context) error {
	err := g.server.Serve(g.listener)
	g.mu.Lock()
	isClosed := g.isClosed
	g.mu.Unlock()
	if isClosed || errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (g *gracefulServer) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil {
		_ = g.server.Close()
	}
}
