package instance

import (
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// noInterface is an index that no network interface has.
	noInterface = math.MaxInt32
	// handshakeTime is the time allowed for handshakes that had begun before new ones
	// were refused. It is several round trips between availability zones.
	handshakeTime = 20 * time.Millisecond
)

// socketListener is a listener on a TCP socket.
type socketListener interface {
	net.Listener
	syscall.Conn
}

// retiringListener is a listener that can be closed without a reset of connections that
// the kernel has completed but the server has not accepted.
//
// A close resets whatever is in the accept queue, and the kernel completes connections
// until then. So retire first binds the listening socket to an interface that does not
// exist: the kernel refuses new connections, as if nobody listened, and still completes
// those whose handshake has begun.
type retiringListener struct{ socketListener }

// retire waits until the server has accepted every connection that callers consider
// open, or until the context ends, and closes the listener.
func (l retiringListener) retire(ctx context.Context) {
	defer func() { _ = l.Close() }()
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	if refuseNew(raw) {
		select {
		case <-time.After(handshakeTime):
		case <-ctx.Done():
		}
	}
	pollUntil(ctx, func() bool { return stopListening(raw) })
}

// refuseNew makes the kernel refuse new connections to the listening socket. It reports
// whether it did: the kernel forbids it for a socket that is bound to an interface.
func refuseNew(raw syscall.RawConn) bool {
	isRefusing := false
	err := raw.Control(func(fd uintptr) {
		isRefusing = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface) == nil
	})
	return err == nil && isRefusing
}

// stopListening stops listening unless a connection waits to be accepted. It reports
// whether it did, and true if the queue can't be seen. The two steps are adjacent system
// calls, since without refuseNew a connection may be completed between them.
func stopListening(raw syscall.RawConn) bool {
	isQueued := false
	err := raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(poll, 0)
		isQueued = pollErr == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
		if !isQueued {
			// The close of the listener follows in any case.
			_ = unix.Shutdown(int(fd), unix.SHUT_RD)
		}
	})
	return err != nil || !isQueued
}
