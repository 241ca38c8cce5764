package proxy

import (
	"context"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// callerCheckInterval is the time between two checks whether a caller has closed its
// connection. Most calls end before the first one, and a caller that has left is noticed
// well within half a second.
const callerCheckInterval = 250 * time.Millisecond

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

// withConnection adds a caller's connection to the context of its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// entryConnectionKey is the key of the connection of another proxy in the context of its
// requests.
type entryConnectionKey struct{}

// withEntryConnection adds the connection of another proxy to the context of its requests.
func withEntryConnection(ctx context.Context, connection net.Conn) context.Context {
	socket, isSocket := connection.(syscall.Conn)
	if !isSocket {
		return ctx
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, entryConnectionKey{}, raw)
}

// isEntryGone reports whether the other proxy has closed the connection of the request.
// net/http notices this only once it has read the body of the request.
func isEntryGone(ctx context.Context) bool {
	raw, isSocket := ctx.Value(entryConnectionKey{}).(syscall.RawConn)
	return isSocket && isClosedByPeer(raw)
}

// isCallerGone reports whether the caller has closed the connection of the call. net/http
// notices this only some time after it has read the request, and a request may have waited
// in the socket until its caller left.
func isCallerGone(ctx context.Context) bool {
	connection, isSocket := ctx.Value(connectionKey{}).(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := connection.SyscallConn()
	return err == nil && isClosedByPeer(raw)
}

// watchCaller cancels the call once its caller has closed the connection, until ctx ends.
// net/http does so too, but stops reading once it has received a byte behind the
// request, and with it the notice of the end. The returned function ends the watch.
func watchCaller(ctx context.Context, r *http.Request, cancel context.CancelFunc) (stop func() bool) {
	connection, isSocket := ctx.Value(connectionKey{}).(syscall.Conn)
	if !isSocket || r.ProtoMajor != 1 {
		return func() bool { return true }
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return func() bool { return true }
	}
	// The timer starts with Reset, since its function uses it.
	var timer *time.Timer
	timer = time.AfterFunc(math.MaxInt64, func() {
		switch {
		case ctx.Err() != nil:
		case isClosedByPeer(raw):
			cancel()
		default:
			timer.Reset(callerCheckInterval)
		}
	})
	timer.Reset(callerCheckInterval)
	return timer.Stop
}

// isClosedByPeer reports whether the peer has closed its side of the connection, also if
// bytes from before are still unread.
func isClosedByPeer(raw syscall.RawConn) bool { return wire.Poll(raw, unix.POLLRDHUP) }

// isReadable reports whether a read of the connection would return at once.
func isReadable(raw syscall.RawConn) bool { return wire.Poll(raw, unix.POLLIN) }

// stateClosed is the state of a TCP connection that was reset. One whose peer has closed it
// in order stays in another state until this side closes it too.
const stateClosed = 7

// isReset reports whether the connection was reset or closed by this side, as net/http
// does after a failed write.
func isReset(raw syscall.RawConn) bool {
	isClosed := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State == stateClosed
	})
	return err != nil || isClosed
}
