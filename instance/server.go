package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/connection"
)

const (
	// shutdownTimeout bounds the shutdown of one server, and the export of the
	// remaining trace spans.
	shutdownTimeout = 5 * time.Second
	// acceptTimeout bounds the wait for connections that are not accepted yet. 500 ms
	// were too short for 20 of them on a machine with a load of 38.
	acceptTimeout = 2 * time.Second
	// lingerTimeout bounds the wait for busy connections after the listener was closed,
	// among them new ones without a request yet.
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
	// accepting is the listener from which the server accepts connections: listener, or one
	// that bounds them.
	accepting net.Listener

	mu sync.Mutex
	// isClosed is true once stopAccepting has begun to close the listener.
	isClosed bool
	// busy holds the connections that are new or active, with their state.
	busy map[net.Conn]http.ConnState

	// shutdownLimits returns the longest time that the shutdown may take, and that for
	// which it waits for connections on which no request has arrived. It is set before the
	// server runs.
	shutdownLimits func() (total, unused time.Duration)
}

func newGracefulServer(server *http.Server, listener net.Listener) *gracefulServer {
	if socket, ok := listener.(socketListener); ok {
		listener = retiringListener{socket}
	}
	g := &gracefulServer{
		server: server, listener: listener, accepting: listener, busy: map[net.Conn]http.ConnState{},
		shutdownLimits: func() (total, unused time.Duration) { return shutdownTimeout, shutdownTimeout },
	}
	server.ConnState = g.trackState
	return g
}

// bound makes the table bound the connections of the server. Requests for which there is no
// memory are passed to refuse.
func (g *gracefulServer) bound(table *connection.Table, options connection.Options, refuse http.HandlerFunc) *gracefulServer {
	g.accepting = table.Listen(g.listener, options)
	connection.Serve(g.server, refuse)
	return g
}

// trackState updates the set of busy connections. It is the ConnState hook of
// the server.
func (g *gracefulServer) trackState(conn net.Conn, state http.ConnState) {
	if bounded, ok := conn.(*connection.Conn); ok {
		bounded.SetState(state)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		g.busy[conn] = state
	default:
		delete(g.busy, conn)
	}
}

func (g *gracefulServer) busyCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.busy)
}

// hasActive reports whether a request is being served.
func (g *gracefulServer) hasActive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.busy {
		if state == http.StateActive {
			return true
		}
	}
	return false
}

// stopAccepting closes the listener once the server has accepted every connection that
// the kernel has completed, since the close would reset the others, and waits until no
// connection is busy.
func (g *gracefulServer) stopAccepting(ctx context.Context) {
	g.mu.Lock()
	g.isClosed = true
	g.mu.Unlock()
	g.closeListener(ctx)
	ctx, cancel := context.WithTimeout(ctx, lingerTimeout)
	defer cancel()
	pollUntil(ctx, func() bool { return g.busyCount() == 0 })
}

// closeListener closes the listener, without a reset of completed connections if that
// is possible within acceptTimeout.
func (g *gracefulServer) closeListener(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if retiring, ok := g.listener.(retiringListener); ok {
		retiring.retire(ctx)
		return
	}
	_ = g.listener.Close()
}

// pollUntil waits until the condition holds or the context ends.
func pollUntil(ctx context.Context, holds func() bool) {
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

// addTo adds the server to the group. Its actor runs until ctx ends or the
// server fails. The limits are those of its shutdown, see gracefulServer.
func (g *gracefulServer) addTo(ctx context.Context, group *run.Group, limits func() (total, unused time.Duration)) {
	g.shutdownLimits = limits
	group.Add(func() error { return g.serve(ctx) }, func(error) { g.shutdown() })
}

func (g *gracefulServer) serve(ctx context.Context) error {
	err := g.server.Serve(g.accepting)
	g.mu.Lock()
	isClosed := g.isClosed
	g.mu.Unlock()
	if isClosed || errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// shutdown closes the connections once they are idle, and all of them at the end of the
// time allowed. http.Server.Shutdown waits up to 5 s for a connection on which no request
// has arrived, so the wait ends earlier if there are only such connections.
func (g *gracefulServer) shutdown() {
	total, unused := g.shutdownLimits()
	ctx, cancel := context.WithTimeout(context.Background(), total)
	defer cancel()
	timer := time.AfterFunc(unused, func() {
		pollUntil(ctx, func() bool { return !g.hasActive() })
		cancel()
	})
	defer timer.Stop()
	if err := g.server.Shutdown(ctx); err != nil {
		_ = g.server.Close()
	}
}
