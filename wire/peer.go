package wire

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// dialTimeout limits the time to open a connection. It covers one
	// retransmission of a lost first packet, which the kernel sends after one
	// second.
	dialTimeout = 1200 * time.Millisecond
	// writeTimeout limits the write of writeChunkBytes. After a write has timed out, every
	// later write on the connection fails.
	writeTimeout = 5 * time.Second
	// writeChunkBytes is the size of the parts of a write.
	writeChunkBytes = 64 << 10
	// keepAliveIdle is the time without traffic after which the kernel sends
	// the first keep-alive probe on a connection that this process opened.
	keepAliveIdle = 5 * time.Second
)

var brokenConns = metrics.NewCounter("hornbeamwell_wire_connections_broken_total")

// The error codes of the protocol in addition to those of JSON-RPC.
const (
	// CodeRefused is the code of the reply to a request whose handler returned
	// an error other than a jsonrpc2.Error.
	CodeRefused int64 = -32001
)

// Peer is a connection to another process. It is safe for concurrent use.
type Peer struct {
	conn   *jsonrpc2.Conn
	timed  *timedConn
	remote netip.AddrPort
	// Session is not used.
	Session any
}

// Call sends a request and waits for the reply.
func Call[Req, Resp any](ctx context.Context, p *Peer, method string, req Req) (Resp, error) {
	var resp Resp
	if err := p.conn.Call(ctx, method, req, &resp); err != nil {
		return resp, fmt.Errorf("call %s at %s: %w", method, p.remote, err)
	}
	return resp, nil
}

// Notify sends a message that has no reply.
func Notify[Msg any](ctx context.Context, p *Peer, method string, msg Msg) error {
	if err := p.conn.Notify(ctx, method, msg); err != nil {
		return fmt.Errorf("notify %s at %s: %w", method, p.remote, err)
	}
	return nil
}

// Remote returns the address of the other end.
func (p *Peer) Remote() netip.AddrPort { return p.remote }

// Closed returns a channel that is closed when the connection has ended.
func (p *Peer) Closed() <-chan struct{} { return p.conn.DisconnectNotify() }

// Received returns the number of bytes received on the connection.
func (p *Peer) Received() uint64 { return p.timed.received.Load() }

// Unhandled returns the number of received bytes of messages that have not been handled,
// without those that have not been read.
func (p *Peer) Unhandled() uint64 {
	handled := p.timed.handled.Load()
	return p.timed.received.Load() - handled
}

// HasBacklog reports whether bytes have arrived that have not been read, or a message is
// being handled, so that this process does not know all that the other end has sent.
func (p *Peer) HasBacklog() bool { return p.timed.hasBacklog() }

// Keep records how much memory this process keeps for the connection until it is closed, in
// place of what it recorded before. It fails if there is not as much for it.
func (p *Peer) Keep(bytes int64) error {
	if p.timed.budget == nil {
		return nil
	}
	return p.timed.budget.Keep(bytes)
}

// Sent returns the number of bytes sent on the connection.
func (p *Peer) Sent() uint64 { return p.timed.sent.Load() }

// Close ends the connection.
func (p *Peer) Close() error {
	if err := p.conn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		return fmt.Errorf("close connection to %s: %w", p.remote, err)
	}
	return nil
}

// Mux dispatches messages to handlers by method. All handlers must be
// registered before the first connection is served.
type Mux struct {
	handlers map[string]handler
}

type handler struct {
	run        func(ctx context.Context, p *Peer, params json.RawMessage) (any, error)
	concurrent bool
}

// NewMux returns a mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[string]handler{}} }

// Handle registers a handler for a method. The messages of one connection are
// handled in order and one at a time. A handler should not block, because every
// later message, replies included, waits for it.
func Handle[Req, Resp any](m *Mux, method string, run func(ctx context.Context, p *Peer, req Req) (Resp, error)) {
	m.handlers[method] = handler{run: decodeParams(run)}
}

// HandleConcurrent registers a handler that runs on its own goroutine for each
// message and may block.
func HandleConcurrent[Req, Resp any](m *Mux, method string, run func(ctx context.Context, p *Peer, req Req) (Resp, error)) {
	m.handlers[method] = handler{run: decodeParams(run), concurrent: true}
}

func decodeParams[Req, Resp any](run func(context.Context, *Peer, Req) (Resp, error)) func(context.Context, *Peer, json.RawMessage) (any, error) {
	return func(ctx context.Context, p *Peer, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return run(ctx, p, req)
	}
}

// Dial opens a connection whose incoming messages are handled by the mux. The
// connection is closed when the context ends.
func Dial(ctx context.Context, address netip.AddrPort, mux *Mux) (*Peer, error) {
	return DialTimeout(ctx, dialTimeout, address, mux)
}

// DialTimeout is like Dial with another limit on the time until the connection
// is open.
func DialTimeout(ctx context.Context, timeout time.Duration, address netip.AddrPort, mux *Mux) (*Peer, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: keepAliveIdle}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return NewPeer(ctx, conn, mux), nil
}

// NewPeer returns a Peer for an open connection. The connection is closed when
// the context ends.
func NewPeer(ctx context.Context, conn net.Conn, mux *Mux) *Peer {
	peer := &Peer{}
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		peer.remote = tcp.AddrPort()
	}
	peer.timed = newTimedConn(conn)
	stream := jsonrpc2.NewBufferedStream(peer.timed, frameCodec{conn: peer.timed})
	ready := make(chan struct{})
	peer.conn = jsonrpc2.NewConn(ctx, stream, &muxHandler{mux: mux, peer: peer, ready: ready, running: make(chan struct{}, maxConcurrentHandlers)},
		jsonrpc2.SetLogger(brokenConnLogger{}))
	close(ready)
	stop := context.AfterFunc(ctx, func() { _ = peer.conn.Close() })
	go func() {
		<-peer.conn.DisconnectNotify()
		stop()
	}()
	return peer
}

var acceptFailures = metrics.NewCounter("hornbeamwell_accept_failures_total")

// acceptRetry is the time until the next attempt to accept a connection after one failed,
// such as for lack of file descriptors.
const acceptRetry = 50 * time.Millisecond

// Serve accepts connections until the context ends or the listener is closed. If closed is
// not nil, it is called after each connection has ended.
func Serve(ctx context.Context, listener net.Listener, mux *Mux, closed func(*Peer)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer func() {
		stop()
		_ = listener.Close()
	}()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
		if err != nil {
			acceptFailures.Inc()
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetry):
			}
			continue
		}
		peer := NewPeer(ctx, conn, mux)
		if closed != nil {
			go func() {
				<-peer.Closed()
				closed(peer)
			}()
		}
	}
}

// muxHandler passes the messages of one connection to the mux.
type muxHandler struct {
	mux   *Mux
	peer  *Peer
	ready chan struct{}
	// running holds a token for each handler that runs concurrently.
	running chan struct{}
}

// maxConcurrentHandlers bounds the handlers of one connection that run concurrently. While as
// many run, no message is read.
const maxConcurrentHandlers = 16

// Handle implements jsonrpc2.Handler.
func (h *muxHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-h.ready
	found, ok := h.mux.handlers[req.Method]
	if !ok {
		replyError(ctx, conn, req, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method})
		return
	}
	if found.concurrent {
		h.running <- struct{}{}
		go func() {
			defer func() { <-h.running }()
			h.run(ctx, conn, req, found)
		}()
		return
	}
	h.run(ctx, conn, req, found)
}

func (h *muxHandler) run(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, found handler) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	resp, err := found.run(ctx, h.peer, params)
	if err != nil {
		replyError(ctx, conn, req, err)
		return
	}
	if req.Notif {
		return
	}
	release, err := h.peer.retainReply(resp)
	if err != nil {
		replyError(ctx, conn, req, err)
		return
	}
	defer release()
	_ = conn.Reply(ctx, req.ID, resp)
}

// largeReply is a reply that takes much memory until it is sent.
type largeReply interface {
	// RetainedBytes returns the memory of the reply and its encoded forms.
	RetainedBytes() int64
}

// retainReply draws the memory of a large reply from the budget until it is released.
func (p *Peer) retainReply(resp any) (release func(), err error) {
	large, isLarge := resp.(largeReply)
	if !isLarge || p.timed.budget == nil || large.RetainedBytes() < retainedBytes {
		return func() {}, nil
	}
	return p.timed.budget.Retain(large.RetainedBytes())
}

func replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, err error) {
	if req.Notif {
		return
	}
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		rpcErr = &jsonrpc2.Error{Code: CodeRefused, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, req.ID, rpcErr)
}

// brokenConnLogger counts what the library would log: connections that broke,
// and replies that match no call. A broken connection is not logged because
// Peer.Closed reports its end.
type brokenConnLogger struct{}

// Printf counts one log message. It implements jsonrpc2.Logger.
func (brokenConnLogger) Printf(string, ...any) { brokenConns.Inc() }
