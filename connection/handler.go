package connection

import (
	"context"
	"io"
	"net"
	"net/http"
)

// contextKey is the key of the connection in the context of its requests.
type contextKey struct{}

// Serve makes the server report its requests to the table, if its listener is one of
// Table.Listen. Requests for which there is no memory are passed to refuse.
func Serve(server *http.Server, refuse http.HandlerFunc) {
	next, inner := server.Handler, server.ConnContext
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, isBounded := r.Context().Value(contextKey{}).(*Conn)
		if !isBounded {
			next.ServeHTTP(w, r)
			return
		}
		head := headBytes(r.Header)
		isAccepted := c.beginRequest(r, head)
		defer c.endRequest(head)
		if !isAccepted {
			c.group.metrics.requestsRefused.Inc()
			w.Header().Set("Connection", "close")
			refuse(w, r)
			return
		}
		if r.ContentLength != 0 {
			r = withBody(r, &body{ReadCloser: r.Body, conn: c})
		}
		next.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, conn)
		}
		if c, isBounded := conn.(*Conn); isBounded {
			ctx = context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
}

// withBody returns a copy of the request with another body. The request of the server must keep
// its own, by which the server knows how much of the body is left: with an unknown one it reads
// on before it writes the response, and closes the connection without waiting for the client,
// whose response is then lost to a reset.
func withBody(r *http.Request, body io.ReadCloser) *http.Request {
	copied := *r
	copied.Body = body
	return &copied
}

// Refuse refuses a request that has not run for lack of memory.
func Refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, ErrLimit.Error(), http.StatusServiceUnavailable)
}

// body reports what is read of the body of a request.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.conn.consumed(n)
	if err != nil {
		b.conn.bodyEnded()
	}
	return n, err
}

// Retain draws bytes from the budget for the handler of a request, such as for a document that it
// decodes. The returned function releases them. The error is ErrLimit or ErrTooLarge. Without a
// bounded connection in the context it does nothing.
func Retain(ctx context.Context, bytes int64) (release func(), err error) {
	c, isBounded := ctx.Value(contextKey{}).(*Conn)
	if !isBounded {
		return func() {}, nil
	}
	return c.Retain(bytes)
}
