package wire

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Poll reports whether one of the events, or an error of the connection, is pending.
func Poll(raw syscall.RawConn, events int16) bool {
	isPending := false
	// An error means that this side has closed the connection.
	err := raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(polled, 0)
		isPending = err == nil && n > 0
	})
	return err == nil && isPending
}
